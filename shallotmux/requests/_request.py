"""The request as the caller border hands it over, and what becomes of it."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from shallotmux.world import Route


class RequestState(StrEnum):
    """Where a request is in its lifecycle."""

    RECEIVED = 'received'
    ADMITTED = 'admitted'
    QUEUED = 'queued'
    DISPATCHED = 'dispatched'
    STREAMING = 'streaming'
    FINISHED = 'finished'
    REFUSED = 'refused'


#: States in which no byte of the request can have reached an endpoint.
NOT_RUN_STATES = frozenset((RequestState.RECEIVED, RequestState.ADMITTED, RequestState.QUEUED))


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A model request after authentication.

    :param customer: name of the customer, or empty on routes open to all.
    :param key_id: key that came with the request, or empty.
    :param response_id: identifies the response across reconnects.
    :param payload: request body, decoded; holds no key.
    :param offset: tokens that the caller already has.
    """

    response_id: str
    customer: str
    key_id: str
    route: Route
    payload: dict[str, Any]
    body_hash: str
    offset: int = 0
    chat: bool = True


def hash_body(body: bytes) -> str:
    """Return the hash by which repeats of a request are recognized."""
    return hashlib.sha256(body).hexdigest()
