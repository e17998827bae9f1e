"""What endpoints tell of themselves in their answers, beside load and limits: that they need rest."""

from __future__ import annotations

from shallotmux.notices._rest import MAX_REST_S, RestRecords, parse_rest_s

__all__ = ('MAX_REST_S', 'RestRecords', 'parse_rest_s')
