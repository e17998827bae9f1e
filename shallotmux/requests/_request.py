"""Requests as the caller border hands them over, and their refusal."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from shallotmux.errors import ShallotmuxError
from shallotmux.requests._lifecycle import Lifecycle, Outcome, judge
from shallotmux.world import Route


class RequestRefused(ShallotmuxError):
    """A request is refused or cannot be completed.

    :param not_run: whether it certainly did not run.
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

    :param customer: name of the customer, or empty on routes open to all.
    :param key_id: key that came with the request, or empty.
    :param response_id: identifies the response across reconnects.
    :param payload: request body, decoded; holds no key.
    :param offset: tokens that the caller already has.
    :param priority: -1, 0 or 1; engines prefer higher ones.
    :param timeout_s: time that the caller allows, in seconds.
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
        """Return what a poison request is recognized by."""
        return f'{self.customer}/{self.route.name}/{self.body_hash}'


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A call of a plain service after authentication.

    :param path: path and query below the route.
    :param headers: headers to forward; hold no key.
    :param idempotency_key: names the job on routes that must not be repeated, or empty.
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
    """The whole answer of a plain service."""

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
    """Return a refusal whose ``not_run`` is what the lifecycle proves."""
    return RequestRefused(
        message,
        code=code,
        not_run=judge(lifecycle) == Outcome.NOT_RUN,
        status=status,
        retry_after_s=retry_after_s,
    )


def hash_body(body: bytes) -> str:
    """Return the hash by which repeats of a request are recognized."""
    return hashlib.sha256(body).hexdigest()
