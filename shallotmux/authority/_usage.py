"""Usage of customers in windows of time: recorded batches, frozen and reported windows."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from shallotmux.authority._codec import registry
from shallotmux.authority._results import Applied, Refused

#: Length of a usage window in seconds.
WINDOW_S = 60

#: Number of reported windows kept for reconciliation, per customer: two days.
MAX_REPORTED_WINDOWS = 2 * 24 * 60

#: Maximum number of instance incarnations whose last batch number is kept.
MAX_SOURCES = 4096


@dataclass(frozen=True, slots=True)
class Figures:
    """Amounts used by one customer.

    :param adjusted_tokens: part of the token counts that was used in earlier windows and counted
        late, after those were frozen.
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
    """Usage of a customer in one window, as counted by one instance."""

    customer: str
    window: int
    figures: Figures


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """Demand for a pool as measured by one instance, in tokens per second.

    It is sent with the usage batches, which saves a separate message.
    """

    pool: str
    short_prefill_tokens_per_s: float = 0.0
    short_decode_tokens_per_s: float = 0.0
    long_prefill_tokens_per_s: float = 0.0
    long_decode_tokens_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RecordUsage:
    """Adds a batch of usage counts.

    :param source: instance and incarnation that counted.
    :param batch: sequence number of the batch at its source, from 1.
    :param demand: demand for each pool at the end of the batch.
    """

    operation_id: str
    source: str
    batch: int
    entries: tuple[UsageEntry, ...]
    demand: tuple[PoolDemand, ...] = ()


@dataclass(frozen=True, slots=True)
class FreezeWindow:
    """Freezes the figures of a window and of all windows before it."""

    operation_id: str
    window: int
    term: int


@dataclass(frozen=True, slots=True)
class MarkReported:
    """Records that the platform accepted the report of a window."""

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

registry.register(PoolDemand, Figures, UsageEntry, RecordUsage, FreezeWindow, MarkReported, Window)


@dataclass(slots=True)
class UsageState:
    """Usage windows of all customers of a zone."""

    #: Last frozen window, for all customers.
    frozen_through: int = -1
    windows: dict[tuple[str, int], Window] = field(default_factory=dict)
    batches: dict[str, int] = field(default_factory=dict)
    #: Last demand of each source; not part of a snapshot, since it is outdated within seconds.
    demand: dict[str, tuple[PoolDemand, ...]] = field(default_factory=dict, compare=False)

    def apply(self, command: UsageCommand, revision: int) -> Applied | Refused:
        """Apply a command; a batch that was recorded before is refused."""
        match command:
            case RecordUsage():
                return self._record(command, revision)
            case FreezeWindow(window=window):
                self._freeze(window)
            case MarkReported(customer=customer, window=window):
                return self._mark_reported((customer, window), revision)
        return Applied(revision)

    def unreported(self) -> tuple[Window, ...]:
        """Return the frozen windows that the platform has not accepted yet, oldest first."""
        unreported_windows = (
            each for each in self.windows.values() if each.frozen and not each.reported
        )
        return tuple(sorted(unreported_windows, key=lambda each: (each.window, each.customer)))

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
        """Load the windows and batch numbers of a snapshot."""
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
        self.demand[command.source] = command.demand
        if len(self.batches) > MAX_SOURCES:
            oldest = next(iter(self.batches))
            self.batches.pop(oldest)
            self.demand.pop(oldest, None)
        for entry in command.entries:
            self._add(entry)
        return Applied(revision)

    def _add(self, entry: UsageEntry) -> None:
        figures = entry.figures
        index = entry.window
        if index <= self.frozen_through:
            # A frozen window may have been reported already, so its figures must not change.
            index = self.frozen_through + 1
            late = figures.prompt_tokens + figures.output_tokens
            figures = replace(figures, adjusted_tokens=late)
        key = (entry.customer, index)
        window = self.windows.get(key, Window(entry.customer, index, Figures()))
        self.windows[key] = replace(window, figures=window.figures.plus(figures))

    def _freeze(self, window: int) -> None:
        self.frozen_through = max(self.frozen_through, window)
        oldest = self.frozen_through - MAX_REPORTED_WINDOWS
        self.windows = {
            key: replace(stored, frozen=stored.window <= self.frozen_through)
            for key, stored in self.windows.items()
            if not stored.reported or stored.window >= oldest
        }

    def _mark_reported(self, key: tuple[str, int], revision: int) -> Applied | Refused:
        window = self.windows.get(key)
        if window is None or not window.frozen:
            return Refused(f'window {key[1]} of customer {key[0]!r} is not frozen')
        self.windows[key] = replace(window, reported=True)
        return Applied(revision)
