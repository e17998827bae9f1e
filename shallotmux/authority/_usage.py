"""Usage of customers: recorded batches, frozen windows, reports."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from shallotmux.authority._codec import registry
from shallotmux.authority._results import Applied, Refused

#: Length of a usage window in seconds.
WINDOW_S = 60

#: Reported windows kept for reconciliation, per customer: two days.
WINDOW_MEMORY = 2 * 24 * 60

#: Instance incarnations whose last batch number is remembered.
SOURCE_MEMORY = 4096


@dataclass(frozen=True, slots=True)
class Figures:
    """Amounts of one customer.

    :param adjusted_tokens: part of the token counts that belongs to earlier, frozen windows.
    """

    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    cheap_tokens: int = 0
    adjusted_tokens: int = 0

    def plus(self, other: Figures) -> Figures:
        """Return the sum of two amounts."""
        return Figures(
            self.requests + other.requests,
            self.prompt_tokens + other.prompt_tokens,
            self.output_tokens + other.output_tokens,
            self.cheap_tokens + other.cheap_tokens,
            self.adjusted_tokens + other.adjusted_tokens,
        )


@dataclass(frozen=True, slots=True)
class UsageEntry:
    """What a customer used in one window, as counted by one instance."""

    customer: str
    window: int
    figures: Figures


@dataclass(frozen=True, slots=True)
class RecordUsage:
    """Adds a batch of counts.

    :param source: instance and incarnation that counted.
    :param batch: number of the batch at its source, counted from 1.
    """

    operation_id: str
    source: str
    batch: int
    entries: tuple[UsageEntry, ...]


@dataclass(frozen=True, slots=True)
class FreezeWindow:
    """Fixes the figures of a window and of all windows before it."""

    operation_id: str
    window: int
    term: int


@dataclass(frozen=True, slots=True)
class MarkReported:
    """Records that the platform accepted a report."""

    operation_id: str
    customer: str
    window: int
    term: int


@dataclass(frozen=True, slots=True)
class Window:
    """Figures of one customer in one window."""

    customer: str
    window: int
    figures: Figures
    frozen: bool = False
    reported: bool = False


UsageCommand = RecordUsage | FreezeWindow | MarkReported

registry.register(Figures, UsageEntry, RecordUsage, FreezeWindow, MarkReported, Window)


@dataclass(slots=True)
class UsageState:
    """Usage windows of all customers of a zone."""

    #: Last window that is frozen for all customers.
    frozen_through: int = -1
    windows: dict[tuple[str, int], Window] = field(default_factory=dict)
    batches: dict[str, int] = field(default_factory=dict)

    def apply(self, command: UsageCommand, revision: int) -> Applied | Refused:
        """Apply a command; a batch that was recorded before is ignored."""
        match command:
            case RecordUsage():
                return self._record(command, revision)
            case FreezeWindow(window=window):
                self._freeze(window)
            case MarkReported(customer=customer, window=window):
                return self._mark_reported((customer, window), revision)
        return Applied(revision)

    def unreported(self) -> tuple[Window, ...]:
        """Return the frozen windows that the platform has not accepted, oldest first."""
        waiting = (each for each in self.windows.values() if each.frozen and not each.reported)
        return tuple(sorted(waiting, key=lambda each: (each.window, each.customer)))

    def dump(self) -> list[bytes]:
        """Return the windows and batch numbers for a snapshot."""
        sources = (f'{number} {source}'.encode() for source, number in self.batches.items())
        return [
            str(self.frozen_through).encode(),
            str(len(self.windows)).encode(),
            *(registry.encode(window) for window in self.windows.values()),
            *sources,
        ]

    def restore(self, dumped: list[bytes]) -> None:
        """Take the windows and batch numbers of a snapshot."""
        self.frozen_through = int(dumped[0])
        end = 2 + int(dumped[1])
        for each in dumped[2:end]:
            window: Window = registry.decode(each)
            self.windows[window.customer, window.window] = window
        for each in dumped[end:]:
            number, _, source = each.decode().partition(' ')
            self.batches[source] = int(number)

    def _record(self, command: RecordUsage, revision: int) -> Applied | Refused:
        if command.batch <= self.batches.get(command.source, 0):
            return Refused(f'batch {command.batch} of {command.source} is recorded already')
        self.batches.pop(command.source, None)
        self.batches[command.source] = command.batch
        if len(self.batches) > SOURCE_MEMORY:
            self.batches.pop(next(iter(self.batches)))
        for entry in command.entries:
            self._add(entry)
        return Applied(revision)

    def _add(self, entry: UsageEntry) -> None:
        figures = entry.figures
        index = entry.window
        if index <= self.frozen_through:
            # A frozen window may have been reported, so its figures never change again.
            index = self.frozen_through + 1
            late = figures.prompt_tokens + figures.output_tokens
            figures = replace(figures, adjusted_tokens=late)
        place = (entry.customer, index)
        window = self.windows.get(place, Window(entry.customer, index, Figures()))
        self.windows[place] = replace(window, figures=window.figures.plus(figures))

    def _freeze(self, window: int) -> None:
        self.frozen_through = max(self.frozen_through, window)
        oldest = self.frozen_through - WINDOW_MEMORY
        self.windows = {
            place: replace(kept, frozen=kept.window <= self.frozen_through)
            for place, kept in self.windows.items()
            if not kept.reported or kept.window >= oldest
        }

    def _mark_reported(self, place: tuple[str, int], revision: int) -> Applied | Refused:
        window = self.windows.get(place)
        if window is None or not window.frozen:
            return Refused(f'window {place[1]} of customer {place[0]!r} is not frozen')
        self.windows[place] = replace(window, reported=True)
        return Applied(revision)
