"""In-memory log of a replica, with its snapshot and configurations."""

from __future__ import annotations

from bisect import bisect_left, bisect_right

from shallotmux.replication._model import (
    Configuration,
    Entry,
    EntryKind,
    Snapshot,
    StoredGroup,
    decode_configuration,
)

#: Configuration of a new member before it receives the log.
EMPTY_CONFIGURATION = Configuration(frozenset())


class ReplicaLog:
    """Log entries by index; the first entry has index 1, and index 0 has term 0.

    Some entries before the snapshot are retained, so that a follower that is slightly behind does
    not need the whole snapshot.
    """

    def __init__(self, stored: StoredGroup) -> None:
        #: Latest snapshot, if any.
        self.snapshot = stored.snapshot
        #: Last index that the driver has reported as durable.
        self.persisted_index = 0
        self._base_index = 0
        self._base_term = 0
        self._entries: list[Entry] = []
        #: Payload bytes of all entries ever held, up to the base and up to each entry held.
        self._base_bytes = 0
        self._end_bytes: list[int] = []
        self._configurations: list[tuple[int, Configuration]] = [(0, EMPTY_CONFIGURATION)]
        if stored.snapshot is not None:
            self._reset_to(stored.snapshot)
        for entry in stored.entries:
            self._append(entry)
        self.persisted_index = self.last_index
        self._unsaved_from = self.last_index + 1
        self._durable_limit = self.last_index

    @property
    def first_index(self) -> int:
        """Return the index of the first entry held."""
        return self._base_index + 1

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def configuration(self) -> Configuration:
        """Return the latest configuration in the log, committed or not."""
        return self._configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        """Return the index of the latest configuration."""
        return self._configurations[-1][0]

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if the entry is not held."""
        offset = index - self._base_index
        if offset == 0:
            return self._base_term
        return self._entries[offset - 1].term if 0 < offset <= len(self._entries) else None

    def slice_from(self, first: int, last: int) -> tuple[Entry, ...]:
        """Return the entries from first to last, both inclusive."""
        return tuple(self._entries[first - self._base_index - 1 : last - self._base_index])

    def payload_bytes(self, first: int, last: int) -> int:
        """Return the payload size of the entries held from first to last, both inclusive."""
        first = max(first, self.first_index)
        return self._bytes_up_to(last) - self._bytes_up_to(first - 1) if first <= last else 0

    def last_within(self, first: int, limit: int) -> int:
        """Return the last index up to which the entries from first on hold at most ``limit`` bytes.

        Entries that are no longer held count as empty.
        """
        allowed = self._bytes_up_to(first - 1) + limit
        return self._base_index + bisect_right(self._end_bytes, allowed)

    def is_no_newer_than(self, last_term: int, last_index: int) -> bool:
        """Return whether a log with this last entry is at least as up to date as this one."""
        return (last_term, last_index) >= (self.last_term, self.last_index)

    def is_no_older_than(self, last_term: int, last_index: int) -> bool:
        """Return whether this log is at least as up to date as one with this last entry."""
        return (self.last_term, self.last_index) >= (last_term, last_index)

    def first_index_of_term_at(self, index: int) -> int:
        """Return the index of the first entry held of the same term as the entry at an index."""
        term = self.term_at(index)
        while index > self.first_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def append(self, entry: Entry) -> None:
        """Append an entry after removing the entry at its index and all that follow it."""
        if entry.index <= self.last_index:
            self._truncate(entry.index)
        self._append(entry)

    def compact(self, index: int, payload: bytes, retained: int, retained_bytes: int) -> Snapshot:
        """Store a snapshot at an index and drop old entries.

        :param retained: maximum number of entries to keep before the index.
        :param retained_bytes: maximum payload size of these entries.
        :raises ValueError: if the entry at the index is not held.
        """
        term = self.term_at(index)
        if term is None:
            raise ValueError(f'entry {index} is not held')
        self.snapshot = Snapshot(index, term, self._configuration_at(index), payload)
        base = max(index - retained, self._first_retained(index, retained_bytes) - 1)
        base = max(self._base_index, min(base, self.persisted_index))
        self._base_term = self.term_at(base) or 0
        self._base_bytes = self._bytes_up_to(base)
        self._entries = self._entries[base - self._base_index :]
        self._end_bytes = self._end_bytes[base - self._base_index :]
        self._base_index = base
        self._drop_configurations(base)
        return self.snapshot

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the log by a snapshot of the leader, keeping the entries that follow it."""
        following: tuple[Entry, ...] = ()
        if self.term_at(snapshot.index) == snapshot.term:
            following = self.slice_from(snapshot.index + 1, self.last_index)
        self.snapshot = snapshot
        self._reset_to(snapshot)
        for entry in following:
            self._append(entry)
        self._unsaved_from = max(self._unsaved_from, snapshot.index + 1)
        self._unsaved_from = min(self._unsaved_from, self.last_index + 1)
        self._durable_limit = min(self._durable_limit, self.last_index)
        self.persisted_index = max(snapshot.index, min(self.persisted_index, self.last_index))

    def take_unsaved(self) -> tuple[Entry, ...]:
        """Return the entries appended since the last call."""
        unsaved = self.slice_from(self._unsaved_from, self.last_index)
        self._unsaved_from = self.last_index + 1
        self._durable_limit = self.last_index
        return unsaved

    def mark_persisted(self, last_index: int) -> None:
        """Record that entries are durable, except those replaced after :meth:`take_unsaved`."""
        self.persisted_index = max(self.persisted_index, min(last_index, self._durable_limit))

    def _append(self, entry: Entry) -> None:
        self._entries.append(entry)
        self._end_bytes.append(self._bytes_up_to(entry.index - 1) + len(entry.payload))
        if entry.kind is EntryKind.CONFIGURATION:
            self._configurations.append((entry.index, decode_configuration(entry.payload)))

    def _truncate(self, first: int) -> None:
        self._entries = self._entries[: first - self._base_index - 1]
        self._end_bytes = self._end_bytes[: first - self._base_index - 1]
        self._unsaved_from = min(self._unsaved_from, first)
        self._durable_limit = min(self._durable_limit, first - 1)
        self.persisted_index = min(self.persisted_index, first - 1)
        while self.configuration_index >= first:
            self._configurations.pop()

    def _reset_to(self, snapshot: Snapshot) -> None:
        self._base_index = snapshot.index
        self._base_term = snapshot.term
        self._entries = []
        self._end_bytes = []
        self._base_bytes = 0
        self._configurations = [(snapshot.index, snapshot.configuration)]

    def _bytes_up_to(self, index: int) -> int:
        offset = min(index, self.last_index) - self._base_index
        return self._end_bytes[offset - 1] if offset > 0 else self._base_bytes

    def _first_retained(self, index: int, retained_bytes: int) -> int:
        """Return the first index from which the entries up to an index hold at most these bytes."""
        dropped_bytes = self._bytes_up_to(index) - retained_bytes
        if dropped_bytes <= self._base_bytes:
            return self.first_index
        return self.first_index + bisect_left(self._end_bytes, dropped_bytes) + 1

    def _configuration_at(self, index: int) -> Configuration:
        return next(held for first, held in reversed(self._configurations) if first <= index)

    def _drop_configurations(self, base: int) -> None:
        while len(self._configurations) > 1 and self._configurations[1][0] <= base:
            self._configurations.pop(0)
