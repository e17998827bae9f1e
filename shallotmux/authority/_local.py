"""The seam to the replicated state, and its in-memory form."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

import trio

from shallotmux.authority._state import Command, Result, ZoneState
from shallotmux.errors import AuthorityUnavailable


@dataclass(frozen=True, slots=True)
class Leadership:
    """Who leads a group.

    :param term: the leader's term, which is the first part of a fencing number.
    :param lease_end: time on the runtime's clock until which the leader may act.
    """

    leader: str
    term: int
    lease_end: float
    is_leader: bool


class Authority(Protocol):
    """Access to the replicated state of one zone."""

    async def submit(self, command: Command) -> Result:
        """Commit a command and return its result.

        :raises AuthorityUnavailable: if the command was certainly not committed.
        :raises OutcomeUnknown: if it may have been committed.
        """

    def read(self) -> ZoneState:
        """Return the local replica, which callers must not change."""

    def is_fresh(self) -> bool:
        """Tell whether the local replica was confirmed within the freshness limit."""

    def leadership(self) -> Leadership:
        """Return who leads the group as far as this instance knows."""

    async def wait_changed(self, revision: int) -> None:
        """Return when the revision of the local replica is beyond the given one."""


class LocalAuthority:
    """Applies commands in memory, for a single instance and for tests."""

    def __init__(self, name: str = 'local') -> None:
        self._name = name
        self._state = ZoneState()
        self._changed = trio.Event()
        #: Whether the replica counts as confirmed; tests set it to False.
        self.fresh = True
        #: Whether commands are committed; tests set it to False.
        self.available = True

    async def submit(self, command: Command) -> Result:
        """Apply a command at once.

        :raises AuthorityUnavailable: if tests have taken the authority away.
        """
        await trio.lowlevel.checkpoint()
        if not self.available:
            raise AuthorityUnavailable('no leader', step='submit')
        revision = self._state.revision
        result = self._state.apply(command)
        if self._state.revision > revision:
            self._changed.set()
            self._changed = trio.Event()
        return result

    def read(self) -> ZoneState:
        """Return the state."""
        return self._state

    def is_fresh(self) -> bool:
        """Tell whether the state counts as confirmed."""
        return self.fresh

    def leadership(self) -> Leadership:
        """Return this instance as the permanent leader."""
        return Leadership(self._name, 1, float('inf'), is_leader=True)

    async def wait_changed(self, revision: int) -> None:
        """Return when the revision of the state is beyond the given one."""
        while self._state.revision <= revision:
            await self._changed.wait()
