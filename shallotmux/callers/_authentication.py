"""Replace the caller's key by the customer it belongs to."""

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
    """Who sent a request; both names are empty on routes open to all."""

    customer: str = ''
    key_id: str = ''


def read_secret(scope: Scope) -> str | None:
    """Return the secret that came with a request, or None."""
    header = find_header(scope, b'authorization')
    if header and header[: len(BEARER)].lower() == BEARER:
        return header[len(BEARER) :].strip()
    return None


def authenticate(scope: Scope, authority: Authority, pepper: bytes) -> Caller | None:
    """Return the caller, or None when no key came with the request.

    :raises CallerError: if the key is unknown or withdrawn.
    :raises RequestRefused: if the key is missing from a state that may be incomplete.
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
    """Refuse a request for something that the local state does not hold, if it may lack entries.

    A restarted instance starts with an old or empty state, in which valid keys are missing.

    :raises RequestRefused: if the state was not complete within the freshness limit.
    """
    if not authority.is_fresh():
        raise RequestRefused(
            'this instance has no complete state of its zone; ask another instance',
            code='authority_stale',
            not_run=True,
            retry_after_s=1,
        )


def authorize(caller: Caller | None, route: Route) -> Caller:
    """Return the caller that a request on a route is accounted to.

    :raises CallerError: if the route needs a key and none came.
    """
    if caller is not None:
        return caller
    if route.open_to_all:
        return Caller()
    raise CallerError('missing API key', status=STATUS_UNAUTHORIZED, code='missing_api_key')
