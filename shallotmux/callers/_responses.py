"""Signed response ids, by which a caller can resume a response at any instance."""

from __future__ import annotations

import hashlib
import hmac
import re
import secrets

from shallotmux.callers._models import MAX_TOKENS
from shallotmux.errors import CallerError
from shallotmux.http import Scope, find_header

RESPONSE_ID_HEADER = b'shallotmux-response-id'
LAST_EVENT_ID_HEADER = b'last-event-id'

_RESPONSE_ID = re.compile(r'(chatcmpl|cmpl)-[0-9a-f]{16}-([0-9a-f]{32})')

#: Maximum length of a valid event id in decimal digits.
MAX_EVENT_ID_DIGITS = 9


def sign_response(pepper: bytes, customer: str, body_hash: str, kind: str) -> str:
    """Return the signature that binds a response id to its customer, body and kind.

    Any instance can verify it, so streams are resumed without shared state.
    """
    signed = f'{kind}\n{customer}\n{body_hash}'.encode()
    return hmac.new(pepper, signed, hashlib.sha256).hexdigest()[:32]


def read_response_id(
    scope: Scope, pepper: bytes, customer: str, body_hash: str, *, chat: bool
) -> str:
    """Return the response id that the caller sent to resume a response, or a new one.

    :raises CallerError: if the id is malformed or belongs to another customer, body or kind of
        completion.
    """
    kind = 'chatcmpl' if chat else 'cmpl'
    signature = sign_response(pepper, customer, body_hash, kind)
    header = find_header(scope, RESPONSE_ID_HEADER)
    if header is None:
        return f'{kind}-{secrets.token_hex(8)}-{signature}'
    match = _RESPONSE_ID.fullmatch(header)
    if match is None or match[1] != kind or not hmac.compare_digest(match[2], signature):
        raise CallerError(
            'response id belongs to another request', status=409, code='response_mismatch'
        )
    return header


def read_offset(scope: Scope) -> int:
    """Return the number of events that the caller has already received, 0 without the header.

    :raises CallerError: if ``Last-Event-ID`` is not a number of at most ``MAX_TOKENS``.
    """
    header = find_header(scope, LAST_EVENT_ID_HEADER)
    if header is None:
        return 0
    valid = header.isascii() and header.isdigit() and len(header) <= MAX_EVENT_ID_DIGITS
    if not valid or int(header) > MAX_TOKENS:
        raise CallerError(
            'Last-Event-ID is not the id of an event', status=400, code='invalid_last_event_id'
        )
    return int(header)
