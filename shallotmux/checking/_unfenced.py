"""Calls of leaders to a target that checks no fencing token, over a network that delays them."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

from shallotmux.checking._node import Node
from shallotmux.checking._violations import InvariantViolation
from shallotmux.replication import Role

#: Longest time for which a call is on its way: its sender's kernel drops it after that.
MAX_FLIGHT_S = 0.5

#: Number of flight times that a step can choose, from none to nearly the longest.
FLIGHT_CHOICES = 8

#: Time within which calls of A, B and A again are a violation.
ALTERNATION_S = 2.0


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
            returned to a sender within :data:`ALTERNATION_S`.
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
        recent = [
            each for each in self._arrived if call.arrives_at - each.arrives_at < ALTERNATION_S
        ]
        self._arrived = [*recent, call]
        senders = [each.sender for each in recent]
        if call.sender in senders:
            first = senders.index(call.sender)
            if any(sender != call.sender for sender in senders[first:]):
                raise InvariantViolation('unfenced-alternation', f'{call} arrives after {recent}')


@dataclass(slots=True)
class LeaderCalls:
    """Makes the calls of leaders to one target.

    :param takeover_delay_s: time on its own clock for which a new leader makes no calls.
    """

    takeover_delay_s: float
    target: UnfencedTarget = field(default_factory=UnfencedTarget)
    #: Term and local time since when each node leads.
    _leading: dict[str, tuple[int, float]] = field(default_factory=dict)

    def update(self, node: Node, now: float) -> None:
        """Record since when a node leads in its term."""
        status = node.replica.status() if node.replica else None
        if status is None or status.role is not Role.LEADER:
            self._leading.pop(node.name, None)
        elif self._leading.get(node.name, (0, 0.0))[0] != status.term:
            self._leading[node.name] = (status.term, node.local_time(now))

    def make(self, node: Node, now: float, choice: int, *, is_frozen: bool) -> None:
        """Make a call under the lease; it arrives after a delay.

        A call that is written after a freeze is not sent: no wait of a successor bounds the freeze,
        and the platform does not count what arrives right after its sender woke.

        :param choice: number of the flight time.
        :param is_frozen: whether the node freezes between the check and the write.
        """
        if not self._may_call(node, node.local_time(now)):
            return
        if is_frozen:
            node.is_paused = True
            return
        flight_s = MAX_FLIGHT_S * choice / FLIGHT_CHOICES
        self.target.send(Call(now + flight_s, node.name, self._leading[node.name][0]))

    def _may_call(self, node: Node, local_now: float) -> bool:
        leading = self._leading.get(node.name)
        if leading is None or node.replica is None:
            return False
        status = node.replica.status()
        has_waited = local_now - leading[1] >= self.takeover_delay_s
        return status.term == leading[0] and has_waited and local_now < status.lease_end
