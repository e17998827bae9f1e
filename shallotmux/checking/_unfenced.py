"""Calls of leaders to a target that checks no fencing token, over a network that delays them."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

from shallotmux.checking._violations import InvariantViolation

#: Longest time for which a call is on its way: its sender's kernel drops it after that.
MAX_FLIGHT_S = 0.5

#: Time within which calls of A, B and A again are a violation.
TURN_S = 2.0


@dataclass(frozen=True, slots=True, order=True)
class Call:
    """A call on its way.

    :param arrives_at: real time of arrival.
    :param token: term of the sender.
    """

    arrives_at: float
    sender: str
    token: int


@dataclass(slots=True)
class UnfencedTarget:
    """Receives calls and checks the order of their senders and tokens."""

    arrived_count: int = 0
    _in_flight: list[Call] = field(default_factory=list)
    _arrived: list[Call] = field(default_factory=list)
    _highest_token: int = 0

    def send(self, call: Call) -> None:
        """Put a call on its way."""
        heapq.heappush(self._in_flight, call)

    def advance(self, now: float) -> None:
        """Let all calls arrive that are due, and check each.

        :raises InvariantViolation: if a token is lower than an earlier one, or if leadership
            returned to a sender within :data:`TURN_S`.
        """
        while self._in_flight and self._in_flight[0].arrives_at <= now:
            self._receive(heapq.heappop(self._in_flight))

    def _receive(self, call: Call) -> None:
        if call.token < self._highest_token:
            raise InvariantViolation(
                'unfenced-token', f'{call} arrives after token {self._highest_token}'
            )
        self.arrived_count += 1
        self._highest_token = call.token
        recent = [each for each in self._arrived if call.arrives_at - each.arrives_at < TURN_S]
        self._arrived = [*recent, call]
        senders = [each.sender for each in recent]
        if call.sender in senders:
            first = senders.index(call.sender)
            if any(sender != call.sender for sender in senders[first:]):
                raise InvariantViolation('unfenced-turn', f'{call} arrives after {recent}')
