"""The seam to the replicated state, and its in-memory form."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from shallotmux.authority._state import Command, Result, ZoneState


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


class LocalAuthority:
    """Applies commands in memory, for a single instance and for tests."""

    def __init__(self, name: str = 'local') -> None:
        self._name = name
        self._state = ZoneState()
        #: Whether the replica counts as confirmed; tests set it to False.
        self.fresh = True

    async def submit(self, command: Command) -> Result:
        """Apply a command at once."""
        return self._state.apply(command)

    def read(self) -> ZoneState:
        """Return the state."""
        return self._state

    def is_fresh(self) -> bool:
        """Tell whether the state counts as confirmed."""
        return self.fresh

    def leadership(self) -> Leadership:
        """Return this instance as the permanent leader."""
        return Leadership(self._name, 1, float('inf'), is_leader=True)
