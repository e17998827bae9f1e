"""In-memory network between instances, for tests on the test clock."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from random import Random

import trio

from shallotmux.errors import AuthorityUnavailable, OutcomeUnknown
from shallotmux.transport._messages import (
    ForwardAnswer,
    PeerEnvelope,
    PeerHandler,
    instance_name,
)


@dataclass(slots=True)
class MemoryPeerFabric:
    """Carries messages between the instances of a test with delay, loss, cuts and pauses.

    A paused instance neither sends nor receives; its messages wait until it is resumed, as they
    do in the buffers of a process that the operating system does not schedule.

    :param loss: probability that an envelope is lost.
    """

    random: Random
    delay_s: float = 0.001
    loss: float = 0.0
    handlers: dict[str, PeerHandler] = field(default_factory=dict)
    cuts: set[frozenset[str]] = field(default_factory=set)
    isolated: set[str] = field(default_factory=set)
    paused: set[str] = field(default_factory=set)
    _queue: list[tuple[float, int, PeerEnvelope]] = field(default_factory=list)
    _held: list[PeerEnvelope] = field(default_factory=list)
    _count: int = 0
    _wake: trio.Event = field(default_factory=trio.Event)

    async def run(self) -> None:
        """Deliver envelopes in order of their arrival times."""
        while True:
            self._wake = trio.Event()
            until = self._queue[0][0] if self._queue else float('inf')
            with trio.move_on_at(until):
                await self._wake.wait()
            while self._queue and self._queue[0][0] <= trio.current_time():
                self._deliver(heapq.heappop(self._queue)[2])

    def network(self, name: str) -> MemoryPeerNetwork:
        """Return an instance's connection to the fabric."""
        return MemoryPeerNetwork(self, name)

    def partition(self, first: str, second: str) -> None:
        """Lose everything between two instances."""
        self.cuts.add(frozenset((first, second)))

    def isolate(self, name: str) -> None:
        """Lose everything from and to an instance."""
        self.isolated.add(name)

    def heal(self) -> None:
        """Remove all cuts and isolations."""
        self.cuts.clear()
        self.isolated.clear()

    def pause(self, name: str) -> None:
        """Hold back everything from and to an instance."""
        self.paused.add(name)

    def resume(self, name: str) -> None:
        """Deliver what was held back for and by an instance."""
        self.paused.discard(name)
        held = self._held
        self._held = []
        for envelope in held:
            self.post(envelope)

    def connects(self, sender: str, recipient: str) -> bool:
        """Tell whether a message between two instances would arrive."""
        ends = {sender, recipient}
        return not (ends & self.isolated) and frozenset(ends) not in self.cuts

    def post(self, envelope: PeerEnvelope) -> None:
        """Schedule the delivery of an envelope."""
        if self.loss and self.random.random() < self.loss:
            return
        self._count += 1
        arrival = trio.current_time() + self.delay_s
        heapq.heappush(self._queue, (arrival, self._count, envelope))
        self._wake.set()

    def _deliver(self, envelope: PeerEnvelope) -> None:
        sender, recipient = instance_name(envelope.sender), instance_name(envelope.recipient)
        if self.paused & {sender, recipient}:
            self._held.append(envelope)
            return
        handler = self.handlers.get(recipient)
        if handler is not None and self.connects(sender, recipient):
            handler.receive(envelope)


@dataclass(frozen=True, slots=True)
class MemoryPeerNetwork:
    """One instance's connection to a :class:`MemoryPeerFabric`."""

    fabric: MemoryPeerFabric
    name: str

    async def run(
        self, handler: PeerHandler, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Receive envelopes until cancelled."""
        self.fabric.handlers[self.name] = handler
        task_status.started(self.name)
        try:
            await trio.sleep_forever()
        finally:
            if self.fabric.handlers.get(self.name) is handler:
                self.fabric.handlers.pop(self.name)

    def send(self, envelope: PeerEnvelope) -> None:
        """Send an envelope."""
        self.fabric.post(envelope)

    async def forward(
        self, peer: str, group: str, command: bytes, timeout_s: float
    ) -> ForwardAnswer:
        """Let a peer commit a command; the answer is lost when the link is cut meanwhile."""
        await trio.sleep(self.fabric.delay_s)
        handler = self.fabric.handlers.get(peer)
        if handler is None or not self._reaches(peer):
            raise AuthorityUnavailable('cannot connect', step='forward', peer=peer)
        with trio.move_on_after(timeout_s):
            answer = await handler.handle_forward(group, command)
            await trio.sleep(self.fabric.delay_s)
            if self._reaches(peer):
                return answer
        raise OutcomeUnknown('no answer', step='forward', peer=peer)

    def _reaches(self, peer: str) -> bool:
        stopped = self.fabric.paused & {self.name, peer}
        return not stopped and self.fabric.connects(self.name, peer)
