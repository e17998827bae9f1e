"""Group of replicas on a virtual clock, with a simulated network that delivers in order."""

from __future__ import annotations

from collections import Counter
from random import Random

from shallotmux.replication import (
    AppendRequest,
    Configuration,
    Entry,
    Envelope,
    ReadReady,
    Replica,
    ReplicaOptions,
    Role,
    StoredGroup,
    bootstrap_group,
    decode_envelope,
    encode_envelope,
)

STEP_S = 0.01


class Group:
    """Replicas by name; each step advances the clock, delivers messages and executes effects.

    Messages from and to the members in ``isolated`` are dropped.
    """

    def __init__(
        self, configuration: Configuration, seed: int = 1, options: ReplicaOptions | None = None
    ) -> None:
        self.options = options or ReplicaOptions()
        self.random = Random(seed)
        self.now = 0.0
        self.replicas: dict[str, Replica] = {}
        self.applied: dict[str, list[Entry]] = {}
        self.reads: list[ReadReady] = []
        self.isolated: set[str] = set()
        #: Payload bytes of entries sent to each member, delivered or not.
        self.sent_bytes: Counter[str] = Counter()
        self._in_flight: list[Envelope] = []
        for name in sorted(configuration.voters):
            self.start(name, bootstrap_group(configuration))

    def start(self, name: str, stored: StoredGroup) -> None:
        """Start a replica."""
        random = Random(self.random.random())
        self.replicas[name] = Replica(name, stored, self.options, random, self.now)
        self.applied[name] = []

    def kill(self, name: str) -> None:
        """Remove a replica permanently."""
        self.replicas.pop(name)

    def run(self, seconds: float) -> None:
        """Advance the clock in steps."""
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def step(self) -> None:
        """Advance the clock by one step and deliver the messages in flight."""
        in_flight = self._in_flight
        self._in_flight = []
        self.now += STEP_S
        for envelope in in_flight:
            replica = self.replicas.get(envelope.recipient)
            if replica is not None:
                replica.receive(envelope, self.now)
        for name, replica in self.replicas.items():
            replica.tick(self.now)
            self.execute_effects(name)

    def execute_effects(self, name: str) -> None:
        """Execute a replica's effects until none are left."""
        replica = self.replicas[name]
        is_done = False
        while not is_done:
            effects = replica.take_effects()
            is_done = not effects.entries
            replica.mark_persisted(replica.status().last_index)
            self.applied[name].extend(effects.committed)
            self.reads.extend(effects.reads)
            for envelope in effects.messages:
                if isinstance(envelope.message, AppendRequest):
                    size = sum(len(each.payload) for each in envelope.message.entries)
                    self.sent_bytes[envelope.recipient] += size
                if not self.isolated & {name, envelope.recipient}:
                    self._in_flight.append(decode_envelope(encode_envelope(envelope)))

    def leader(self) -> str:
        """Return the leader with the highest term."""
        leading = [
            (replica.status().term, name)
            for name, replica in self.replicas.items()
            if replica.status().role is Role.LEADER
        ]
        return max(leading)[1]

    def commands(self, name: str) -> list[bytes]:
        """Return the commands that a replica applied."""
        return [each.payload for each in self.applied[name] if each.kind.value == 'command']


def voters(count: int) -> Configuration:
    """Return a configuration of voters that all have disks."""
    names = frozenset(f'v{number}' for number in range(1, count + 1))
    return Configuration(names, disks=names)
