"""Authentication of callers by API key, and authorization on routes."""

from __future__ import annotations

from dataclasses import dataclass

from shallotmux.authority import Authority, digest_secret
from shallotmux.errors import CallerError
from shallotmux.http import Scope, find_header
from shallotmux.requests import RequestRefused
from shallotmux.world import Route

BEARER = 'bearer '
STATUS_UNAUTHORIZED = 401


@dataclass(frozen=True, slots=True)
class Caller:
    """Identity of the sender of a request.

    Both fields are empty for a request without a key on a route that is open to all.
    """

    customer: str = ''
    key_id: str = ''


def read_secret(scope: Scope) -> str | None:
    """Return the secret of the ``Authorization`` header, or None without a bearer token."""
    header = find_header(scope, b'authorization')
    if header and header[: len(BEARER)].lower() == BEARER:
        return header[len(BEARER) :].strip()
    return None


def authenticate(scope: Scope, authority: Authority, pepper: bytes) -> Caller | None:
    """Return the caller that a request's API key identifies, or None without a key.

    :raises CallerError: if the key is unknown or withdrawn.
    :raises RequestRefused: if the key is not found and the local state may be incomplete.
    """
    secret = read_secret(scope)
    if secret is None:
        return None
    key = authority.read().key_by_digest(digest_secret(secret, pepper))
    if key is None:
        require_fresh(authority)
    if key is None or key.withdrawn:
        raise CallerError('invalid API key', status=STATUS_UNAUTHORIZED, code='invalid_api_key')
    return Caller(key.customer, key.key_id)


def require_fresh(authority: Authority) -> None:
    """Check that the local state is recent enough to conclude that an entry does not exist.

    A restarted instance starts with an outdated or empty state, in which valid keys are missing.

    :raises RequestRefused: if the state was not confirmed within the freshness limit.
    """
    if not authority.is_fresh():
        raise RequestRefused(
            'this instance has no complete state of its zone; ask another instance',
            code='authority_stale',
            not_run=True,
            retry_after_s=1,
        )


def authorize(caller: Caller | None, route: Route) -> Caller:
    """Return the caller to whom a request on a route is accounted.

    :raises CallerError: if the route requires a key and the request has none.
    """
    if caller is not None:
        return caller
    if route.open_to_all:
        return Caller()
    raise CallerError('missing API key', status=STATUS_UNAUTHORIZED, code='missing_api_key')
