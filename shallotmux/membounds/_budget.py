"""Bytes that a process holds for others, from one budget."""

from __future__ import annotations

from dataclasses import dataclass, field

#: Budget of an object that is given none, as in tests and stand-ins.
DEFAULT_BYTES = 64 << 20

#: Part of the budget above which little is read at once.
SHORT_FRACTION = 0.5

#: Bytes of one read, usually and while the budget is short.
READ_BYTES = 65_536
SHORT_READ_BYTES = 4096


@dataclass(slots=True, eq=False)
class MemoryBudget:
    """Bytes that a process holds for callers, endpoints and other instances.

    :param limit: bytes that may be held at once.
    """

    limit: int = DEFAULT_BYTES
    used: int = 0
    #: Times that something was refused since the budget was used up.
    refusals: int = 0

    @property
    def is_short(self) -> bool:
        """Return whether only what is needed may be held."""
        return self.used > SHORT_FRACTION * self.limit

    @property
    def read_bytes(self) -> int:
        """Return how many bytes to read at once."""
        return SHORT_READ_BYTES if self.is_short else READ_BYTES

    def has_room(self, size: int) -> bool:
        """Return whether some bytes may be added; a refusal is counted."""
        has_room = not size or self.used + size <= self.limit
        self.refusals += not has_room
        return has_room


@dataclass(slots=True, eq=False)
class Holding:
    """Bytes of a budget that one connection holds."""

    budget: MemoryBudget = field(default_factory=MemoryBudget)
    held: int = 0

    def add(self, size: int) -> None:
        """Count bytes that are held already, whether or not there is room."""
        self.held += size
        self.budget.used += size

    def try_add(self, size: int) -> bool:
        """Count bytes unless the budget is used up; returns whether they were counted."""
        if not self.budget.has_room(size):
            return False
        self.add(size)
        return True

    def replace(self, size: int) -> None:
        """Count some bytes instead of those counted before."""
        self.add(size - self.held)

    def release(self) -> None:
        """Give all bytes back."""
        self.replace(0)
