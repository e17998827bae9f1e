"""A group of replicas on a virtual clock, with a network that delivers in order."""

from __future__ import annotations

from random import Random

from shallotmux.replication import (
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
    """Replicas by name; each step passes time, carries out effects and delivers messages."""

    def __init__(
        self, configuration: Configuration, seed: int = 1, options: ReplicaOptions | None = None
    ) -> None:
        self.options = options or ReplicaOptions()
        self.random = Random(seed)
        self.now = 0.0
        self.replicas: dict[str, Replica] = {}
        self.applied: dict[str, list[Entry]] = {}
        self.reads: list[ReadReady] = []
        self.cut: set[str] = set()
        self._transit: list[Envelope] = []
        for name in sorted(configuration.voters):
            self.start(name, bootstrap_group(configuration))

    def start(self, name: str, stored: StoredGroup) -> None:
        """Start a replica."""
        random = Random(self.random.random())
        self.replicas[name] = Replica(name, stored, self.options, random, self.now)
        self.applied[name] = []

    def kill(self, name: str) -> None:
        """Remove a replica for good."""
        self.replicas.pop(name)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def step(self) -> None:
        """Deliver messages and let the clock advance by one step."""
        transit = self._transit
        self._transit = []
        self.now += STEP_S
        for envelope in transit:
            replica = self.replicas.get(envelope.recipient)
            if replica is not None:
                replica.receive(envelope, self.now)
        for name, replica in self.replicas.items():
            replica.tick(self.now)
            self.settle(name)

    def settle(self, name: str) -> None:
        """Carry out a replica's effects until there are none."""
        replica = self.replicas[name]
        is_settled = False
        while not is_settled:
            effects = replica.take_effects()
            is_settled = not effects.entries
            replica.persisted(replica.status().last_index)
            self.applied[name].extend(effects.committed)
            self.reads.extend(effects.reads)
            for envelope in effects.messages:
                if not self.cut & {name, envelope.recipient}:
                    self._transit.append(decode_envelope(encode_envelope(envelope)))

    def leader(self) -> str:
        """Return the leader of the highest term."""
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
    """Return a configuration of voters with disks."""
    names = frozenset(f'v{number}' for number in range(1, count + 1))
    return Configuration(names, disks=names)
