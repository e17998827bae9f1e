"""In-memory network between instances, for tests with a simulated clock."""

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
    """Simulated network between the instances of a test, with delay, loss, partitions and pauses.

    A paused instance neither sends nor receives. Its messages are kept until it is resumed, like
    those in the socket buffers of a process that is not scheduled.

    :param loss: probability that an envelope is lost.
    :param partitions: pairs of instances that cannot reach each other.
    """

    random: Random
    delay_s: float = 0.001
    loss: float = 0.0
    handlers: dict[str, PeerHandler] = field(default_factory=dict)
    partitions: set[frozenset[str]] = field(default_factory=set)
    isolated: set[str] = field(default_factory=set)
    paused: set[str] = field(default_factory=set)
    _queue: list[tuple[float, int, PeerEnvelope]] = field(default_factory=list)
    _paused_envelopes: list[PeerEnvelope] = field(default_factory=list)
    _count: int = 0
    _wake: trio.Event = field(default_factory=trio.Event)

    async def run(self) -> None:
        """Deliver envelopes in the order of their arrival times until cancelled."""
        while True:
            self._wake = trio.Event()
            until = self._queue[0][0] if self._queue else float('inf')
            with trio.move_on_at(until):
                await self._wake.wait()
            while self._queue and self._queue[0][0] <= trio.current_time():
                self._deliver(heapq.heappop(self._queue)[2])

    def network(self, name: str) -> MemoryPeerNetwork:
        """Return the network of one instance."""
        return MemoryPeerNetwork(self, name)

    def partition(self, first: str, second: str) -> None:
        """Drop all messages between two instances."""
        self.partitions.add(frozenset((first, second)))

    def isolate(self, name: str) -> None:
        """Drop all messages from and to an instance."""
        self.isolated.add(name)

    def heal(self) -> None:
        """Remove all partitions and isolations."""
        self.partitions.clear()
        self.isolated.clear()

    def pause(self, name: str) -> None:
        """Withhold all messages from and to an instance."""
        self.paused.add(name)

    def resume(self, name: str) -> None:
        """Post the messages that were withheld while the instance was paused."""
        self.paused.discard(name)
        withheld = self._paused_envelopes
        self._paused_envelopes = []
        for envelope in withheld:
            self.post(envelope)

    def is_connected(self, sender: str, recipient: str) -> bool:
        """Return whether two instances can reach each other."""
        pair = {sender, recipient}
        return not (pair & self.isolated) and frozenset(pair) not in self.partitions

    def post(self, envelope: PeerEnvelope) -> None:
        """Schedule the delivery of an envelope, unless it is lost."""
        if self.loss and self.random.random() < self.loss:
            return
        self._count += 1
        arrival = trio.current_time() + self.delay_s
        heapq.heappush(self._queue, (arrival, self._count, envelope))
        self._wake.set()

    def _deliver(self, envelope: PeerEnvelope) -> None:
        sender, recipient = instance_name(envelope.sender), instance_name(envelope.recipient)
        if self.paused & {sender, recipient}:
            self._paused_envelopes.append(envelope)
            return
        handler = self.handlers.get(recipient)
        if handler is not None and self.is_connected(sender, recipient):
            handler.receive(envelope)


@dataclass(frozen=True, slots=True)
class MemoryPeerNetwork:
    """Network of one instance on a :class:`MemoryPeerFabric`."""

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
        """Forward a command to a peer; its answer is lost if a fault separates the two meanwhile.

        :raises AuthorityUnavailable: if the peer cannot be reached.
        :raises OutcomeUnknown: if the answer is lost or late.
        """
        await trio.sleep(self.fabric.delay_s)
        handler = self.fabric.handlers.get(peer)
        if handler is None or not self._is_reachable(peer):
            raise AuthorityUnavailable('cannot connect', step='forward', peer=peer)
        with trio.move_on_after(timeout_s):
            answer = await handler.handle_forward(group, command)
            await trio.sleep(self.fabric.delay_s)
            if self._is_reachable(peer):
                return answer
        raise OutcomeUnknown('no answer', step='forward', peer=peer)

    def _is_reachable(self, peer: str) -> bool:
        paused = self.fabric.paused & {self.name, peer}
        return not paused and self.fabric.is_connected(self.name, peer)
