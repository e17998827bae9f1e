"""A node of the simulated group: its clock, its durable state and its state machine."""

from __future__ import annotations

from random import Random

from shallotmux.replication import (
    Effects,
    Entry,
    EntryKind,
    HardState,
    Replica,
    ReplicaOptions,
    Snapshot,
    StoredGroup,
)

#: Commands of the replicated state machine.
COMPARE_AND_SET = 'set'
ORDER = 'order'


class StoredLog:
    """Durable state of a node, held in memory."""

    def __init__(self, stored: StoredGroup) -> None:
        self.hard_state: HardState = stored.hard_state
        self.snapshot: Snapshot | None = stored.snapshot
        self.entries: list[Entry] = list(stored.entries)

    @property
    def base(self) -> int:
        """Return the index that precedes the first entry."""
        return self.snapshot.index if self.snapshot else 0

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base + len(self.entries)

    def load(self) -> StoredGroup:
        """Return the state that a node loads when it restarts."""
        return StoredGroup(self.hard_state, tuple(self.entries), self.snapshot)

    def save(self, effects: Effects) -> None:
        """Store hard state, snapshot and entries."""
        if effects.hard_state is not None:
            self.hard_state = effects.hard_state
        if effects.snapshot is not None:
            self._save_snapshot(effects.snapshot)
        new_entries = [entry for entry in effects.entries if entry.index > self.base]
        if new_entries:
            del self.entries[new_entries[0].index - self.base - 1 :]
            self.entries.extend(new_entries)

    def term_at(self, index: int) -> int:
        """Return the term of an entry, or 0 if it is not stored."""
        offset = index - self.base
        if offset == 0 and self.snapshot is not None:
            return self.snapshot.term
        return self.entries[offset - 1].term if 0 < offset <= len(self.entries) else 0

    def _save_snapshot(self, snapshot: Snapshot) -> None:
        has_same_entry = self.term_at(snapshot.index) == snapshot.term
        remaining_entries = self.entries[snapshot.index - self.base :] if has_same_entry else []
        self.snapshot = snapshot
        self.entries = remaining_entries


class Node:
    """One identity in the group; a diskless instance takes a new identity when it restarts.

    :param clock_rate: seconds of the local clock per second of real time.
    :param seed: seed of the election timeouts.
    """

    def __init__(
        self, name: str, stored: StoredGroup, *, has_disk: bool, clock_rate: float, seed: int
    ) -> None:
        self.name = name
        self.has_disk = has_disk
        self.log = StoredLog(stored)
        self.replica: Replica | None = None
        self.is_paused = False
        self.applied_index = 0
        self.value = 0
        #: Results of the commands applied since the start, by index and term.
        self.results: dict[tuple[int, int], bool] = {}
        self._clock_rate = clock_rate
        self._seed = seed
        self._start_count = 0

    def local_time(self, now: float) -> float:
        """Return the time of the local clock in seconds at a point in real time."""
        return now * self._clock_rate

    def start(self, options: ReplicaOptions, now: float) -> None:
        """Start or restart from the durable state."""
        self._start_count += 1
        random = Random(f'{self._seed}/{self.name}/{self._start_count}')
        stored = self.log.load()
        self.replica = Replica(self.name, stored, options, random, self.local_time(now))
        self.applied_index = 0
        self.value = 0
        self.results = {}
        self.is_paused = False
        if stored.snapshot is not None:
            self._restore(stored.snapshot)

    def apply(self, effects: Effects) -> None:
        """Apply committed entries and a received snapshot to the state machine."""
        if effects.snapshot is not None and effects.snapshot.index > self.applied_index:
            self._restore(effects.snapshot)
        for entry in effects.committed:
            self.applied_index = entry.index
            if entry.kind is EntryKind.COMMAND:
                self.results[entry.index, entry.term] = self._apply_command(entry.payload.decode())

    def _restore(self, snapshot: Snapshot) -> None:
        self.applied_index = snapshot.index
        self.value = int(snapshot.payload)

    def _apply_command(self, command: str) -> bool:
        kind, *arguments = command.split()
        if kind != COMPARE_AND_SET:
            return True
        expected, value = map(int, arguments)
        if self.value != expected:
            return False
        self.value = value
        return True
