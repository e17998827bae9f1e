"""What endpoints tell of themselves in their answers, beside load and limits: that they need rest, or leave."""

from __future__ import annotations

from shallotmux.notices._leaving import LEAVING_RESUME_S, LeavingRecords, says_leaving
from shallotmux.notices._rest import MAX_REST_S, RestRecords, parse_rest_s

__all__ = (
    'LEAVING_RESUME_S',
    'MAX_REST_S',
    'LeavingRecords',
    'RestRecords',
    'parse_rest_s',
    'says_leaving',
)
