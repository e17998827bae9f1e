"""Applied state of a group's log on one instance, with change notification."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import trio

from shallotmux.authority._state import Result, ZoneState, decode_command
from shallotmux.replication import Entry, EntryKind

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Applied entries kept for instances that follow this one. An instance further behind receives
#: the whole state.
MAX_RECENT_ENTRIES = 1024

#: Payload bytes of these entries, except that the latest entry is kept whatever its size.
MAX_RECENT_BYTES = 8 << 20

#: Confirmations kept until their entries are applied. The oldest are dropped, since the newest one
#: supersedes them once its entries are applied.
MAX_PENDING_CONFIRMATIONS = 64


class GroupState:
    """The applied state of one group on one instance.

    Entries may arrive through the replica and from a followed instance at the same time; each
    index is applied once, in order.
    """

    def __init__(self) -> None:
        self.zone = ZoneState()
        self.applied_index = 0
        self.applied_term = 0
        #: Latest local time at which the state is known to have held all committed entries; minus
        #: infinity before the first confirmation.
        self.confirmed_at = float('-inf')
        #: Local time since which the state is one that was read from the disk, and may lack entries
        #: committed since; None once a leader has told what is committed.
        self.outdated_since: float | None = None
        self._recent: deque[Entry] = deque()
        self._recent_bytes = 0
        self._pending: deque[tuple[int, float]] = deque(maxlen=MAX_PENDING_CONFIRMATIONS)
        self._changed = trio.Event()

    def apply(self, entry: Entry) -> Result | None:
        """Apply the next committed entry; ignore any other index.

        :returns: the result of the command, or None if the entry holds none or was ignored.
        """
        if entry.index != self.applied_index + 1:
            return None
        result = None
        if entry.kind is EntryKind.COMMAND:
            result = self.zone.apply(decode_command(entry.payload))
        self.applied_index = entry.index
        self.applied_term = entry.term
        self._keep(entry)
        return result

    def restore(self, index: int, term: int, payload: bytes) -> None:
        """Replace the state by a snapshot with a higher index."""
        if index <= self.applied_index:
            return
        self.zone = ZoneState.restore(payload) if payload else ZoneState()
        self.applied_index = index
        self.applied_term = term
        self._recent.clear()
        self._recent_bytes = 0

    def entries_after(self, index: int) -> tuple[Entry, ...] | None:
        """Return the entries applied after an index, or None if some are no longer kept."""
        if index > self.applied_index:
            return ()
        missing = self.applied_index - index
        if missing > len(self._recent):
            return None
        return tuple(self._recent)[len(self._recent) - missing :]

    def confirm(self, index: int, at: float) -> None:
        """Record that at a local time no entry beyond an index was committed."""
        self._pending.append((index, at))
        self.apply_confirmations()

    def apply_confirmations(self) -> None:
        """Update ``confirmed_at`` from the confirmations whose entries have been applied."""
        for index, at in tuple(self._pending):
            if index <= self.applied_index:
                self._pending.remove((index, at))
                self.confirmed_at = max(self.confirmed_at, at)

    def notify(self) -> None:
        """Wake the tasks that wait for a change of the state."""
        self._changed.set()
        self._changed = trio.Event()

    async def wait_changed(self, revision: int) -> None:
        """Wait until the revision of the local state exceeds the given one."""
        while self.zone.revision <= revision:
            await self._changed.wait()

    async def wait_applied(self, index: int) -> int:
        """Wait until an entry beyond an index is applied, and return the last applied index."""
        while self.applied_index <= index:
            await self._changed.wait()
        return self.applied_index

    def apply_all(self, entries: Iterable[Entry]) -> None:
        """Apply entries received from a followed instance."""
        before = self.applied_index
        for entry in entries:
            self.apply(entry)
        if self.applied_index != before:
            self.apply_confirmations()
            self.notify()

    def _keep(self, entry: Entry) -> None:
        """Keep an entry for instances that follow this one, and drop the oldest over the limits."""
        self._recent.append(entry)
        self._recent_bytes += len(entry.payload)
        while len(self._recent) > 1 and (
            len(self._recent) > MAX_RECENT_ENTRIES or self._recent_bytes > MAX_RECENT_BYTES
        ):
            self._recent_bytes -= len(self._recent.popleft().payload)
