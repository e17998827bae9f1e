"""Send orders and reports only while the lease is held."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

import trio

from shallotmux.authority import Authority
from shallotmux.calls import MAX_ANSWER_BYTES, HttpRequest, LeaseExpired
from shallotmux.http import HttpClient, fetch


@dataclass(frozen=True, slots=True)
class LeaseGuard:
    """Checks whether this instance still holds the lease of a term."""

    authority: Authority
    term: int

    def check(self) -> None:
        """Check that the lease is held.

        :raises LeaseExpired: if it is not.
        """
        leadership = self.authority.leadership()
        holds = leadership.is_leader and leadership.term == self.term
        if not holds or trio.current_time() >= leadership.lease_end:
            raise LeaseExpired(f'the lease of term {self.term} has expired', step='send')

    def holds(self) -> bool:
        """Tell whether the lease is held."""
        try:
            self.check()
        except LeaseExpired:
            return False
        return True


class OrderSender(Protocol):
    """Sends single requests under a lease."""

    async def send(self, request: HttpRequest, guard: LeaseGuard) -> tuple[int, bytes]:
        """Send a request once and return the status and body of the response.

        :raises LeaseExpired: if nothing was sent because the lease has expired.
        :raises EndpointRefused: if nothing was sent because the connection failed.
        :raises EndpointError: if the request may have arrived but no response did.
        """


@dataclass(frozen=True, slots=True)
class ClientSender:
    """Checks the lease once and sends through any HTTP client; for tests and the demo."""

    client: HttpClient

    async def send(self, request: HttpRequest, guard: LeaseGuard) -> tuple[int, bytes]:
        """Send a request once."""
        guard.check()
        return await fetch(self.client, request, MAX_ANSWER_BYTES)
