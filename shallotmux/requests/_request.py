"""Requests after authentication, and their refusal."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from shallotmux.errors import ShallotmuxError
from shallotmux.requests._lifecycle import Lifecycle, Outcome, determine_outcome
from shallotmux.world import Route


class RequestRefused(ShallotmuxError):
    """A request is refused or cannot be completed.

    :param code: stable machine-readable code.
    :param not_run: whether it is proven that the request did not run.
    :param status: HTTP status code of the refusal.
    :param retry_after_s: seconds after which a retry may succeed, or None.
    """

    def __init__(
        self,
        message: str,
        *,
        code: str,
        not_run: bool,
        status: int = 503,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message, step='execute')
        self.code = code
        self.not_run = not_run
        self.status = status
        self.retry_after_s = None if retry_after_s is None else max(1, math.ceil(retry_after_s))


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A model request after authentication.

    :param response_id: identifies the response across reconnects.
    :param customer: name of the customer, or empty on routes open to all.
    :param key_id: id of the API key sent with the request, or empty.
    :param payload: decoded request body, which contains no API key.
    :param offset: number of tokens that the caller already has.
    :param priority: -1, 0 or 1; engines prefer higher values.
    :param timeout_s: timeout requested by the caller, in seconds.
    :param size_bytes: size of the body.
    """

    response_id: str
    customer: str
    key_id: str
    route: Route
    payload: dict[str, Any]
    body_hash: str
    offset: int = 0
    chat: bool = True
    priority: int = 0
    timeout_s: float = math.inf
    size_bytes: int = 0

    @property
    def fingerprint(self) -> str:
        """Return the key by which a poison request is recognized when it is resent."""
        return f'{self.customer}/{self.route.name}/{self.body_hash}'


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A call of a plain service after authentication.

    :param path: path and query below the route.
    :param headers: headers to forward, which contain no API key.
    :param idempotency_key: identifies the job on routes whose calls must not run twice, or empty.
    """

    request_id: str
    customer: str
    key_id: str
    route: Route
    method: str
    path: str
    body: bytes
    body_hash: str
    headers: Mapping[str, str] = field(default_factory=dict)
    idempotency_key: str = ''
    timeout_s: float = math.inf


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Complete answer of a plain service."""

    status: int
    content_type: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


def refuse(
    lifecycle: Lifecycle,
    message: str,
    *,
    code: str,
    status: int = 503,
    retry_after_s: float | None = None,
) -> RequestRefused:
    """Return a refusal with ``not_run`` derived from the lifecycle."""
    return RequestRefused(
        message,
        code=code,
        not_run=determine_outcome(lifecycle) == Outcome.NOT_RUN,
        status=status,
        retry_after_s=retry_after_s,
    )


def hash_body(body: bytes) -> str:
    """Return the hash by which resends of a request are recognized."""
    return hashlib.sha256(body).hexdigest()
