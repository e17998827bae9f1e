"""Interface to the replicated state, and an in-memory implementation."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

import trio

from shallotmux.authority._state import Command, Result, ZoneState
from shallotmux.errors import AuthorityUnavailable


@dataclass(frozen=True, slots=True)
class Leadership:
    """Current leader of a group, as known to this instance.

    :param term: term of the leader, which is the first part of a fencing token.
    :param lease_end: end of the leader's lease on the local monotonic clock, in seconds.
    :param is_leader: whether this instance is the leader.
    """

    leader: str
    term: int
    lease_end: float
    is_leader: bool


class Authority(Protocol):
    """Access to the replicated state of one zone."""

    async def submit(self, command: Command) -> Result:
        """Commit a command and return its result.

        :raises AuthorityUnavailable: if the command is known not to have been committed.
        :raises OutcomeUnknown: if it may have been committed.
        """

    def read(self) -> ZoneState:
        """Return the local replica of the state, which callers must not change."""

    def is_fresh(self) -> bool:
        """Return whether the local replica was confirmed within the freshness limit."""

    def leadership(self) -> Leadership:
        """Return the leader of the group as known to this instance."""

    async def wait_changed(self, revision: int) -> None:
        """Wait until the revision of the local replica exceeds the given one."""


class LocalAuthority:
    """Applies commands in memory, for a single instance and for tests."""

    def __init__(self, name: str = 'local') -> None:
        self._name = name
        self._state = ZoneState()
        self._changed = trio.Event()
        #: Value of :meth:`is_fresh`; tests set it to False.
        self.fresh = True
        #: Whether commands are committed; tests set it to False.
        self.available = True

    async def submit(self, command: Command) -> Result:
        """Apply a command at once.

        :raises AuthorityUnavailable: if ``available`` is False.
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
        """Return the value of ``fresh``."""
        return self.fresh

    def leadership(self) -> Leadership:
        """Return this instance as the permanent leader."""
        return Leadership(self._name, 1, float('inf'), is_leader=True)

    async def wait_changed(self, revision: int) -> None:
        """Wait until the revision of the state exceeds the given one."""
        while self._state.revision <= revision:
            await self._changed.wait()
