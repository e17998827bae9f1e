"""Single HTTP requests, sent only while a guard allows it.

Does not import the HTTP server, which the programs of a deployment do without.
"""

from __future__ import annotations

from shallotmux.calls._guarded import (
    MAX_ANSWER_BYTES,
    GuardedSender,
    LeaseExpired,
    SendGuard,
    read_bounded,
)
from shallotmux.calls._request import HttpRequest, build_url

__all__ = (
    'MAX_ANSWER_BYTES',
    'GuardedSender',
    'HttpRequest',
    'LeaseExpired',
    'SendGuard',
    'build_url',
    'read_bounded',
)
