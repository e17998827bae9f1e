"""Requests and engines of a run."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, cast

from shallotmux.standins import EngineCosts, EngineJob, EngineModel
from shallotmux.world import Endpoint

if TYPE_CHECKING:
    from shallotmux.measure._entry import EntryModel
    from shallotmux.measure._workload import TraceRequest

#: Part of the token gaps that may be slow when the 95th percentile is within its target.
SLOW_SHARE = 0.05


@dataclass(slots=True, eq=False)
class RequestRun:
    """A request of the trace and what became of it.

    :param uncached: prompt tokens that the router expected to be processed.
    :param hit_tokens: prompt tokens that the first engine found in its cache.
    """

    request: TraceRequest
    number: int
    entry: EntryModel
    attempts: int = 0
    priority: int = 0
    first_token_s: float = -1.0
    finished_s: float = -1.0
    slow_steps: int = 0
    generated: int = 0
    uncached: float = 0.0
    hit_tokens: int = 0
    cheap: bool = False
    lost: bool = False

    def good(self, target_s: float) -> bool:
        """Return whether the request met both targets (design, section 1.4)."""
        if self.lost or self.finished_s < 0:
            return False
        in_time = self.first_token_s - self.request.time_s <= target_s
        gaps = max(1, self.request.output_tokens - 1)
        return in_time and self.slow_steps <= SLOW_SHARE * gaps


@dataclass(slots=True, eq=False)
class EngineSlot:
    """An engine of a run with its place in the fleet.

    :param ordered_s: time from which it costs money.
    :param gone_s: time until which it cost money, or -1.
    """

    endpoint: Endpoint
    pool: str
    ordered_s: float
    clock: Callable[[], float]
    engine: EngineModel = field(init=False)
    gone_s: float = -1.0
    leaving: bool = False
    changing: bool = False
    planned: bool = False
    sent_changes: int = 0

    def attach(
        self, costs: EngineCosts, schedule: Callable[[float, Callable[[], None]], None]
    ) -> None:
        """Create the engine."""
        self.engine = EngineModel(costs, schedule, self.clock, self)

    def on_first_token(self, job: EngineJob) -> None:
        """Tell the instance that the first token is out."""
        run = cast('RequestRun', job.owner)
        run.entry.on_first_token(run, job, self)

    def on_finished(self, job: EngineJob, slow_steps: int) -> None:
        """Tell the instance that the stream ended."""
        run = cast('RequestRun', job.owner)
        run.slow_steps += slow_steps
        run.entry.on_finished(run, self)

    def on_lost(self, job: EngineJob) -> None:
        """Tell the instance that the connection broke."""
        run = cast('RequestRun', job.owner)
        run.entry.on_lost(run, job, self)
