"""Order of queued requests on an instance: fair among customers, overdue ones last."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, TypeVar

from shallotmux.decisions._fairness import FairQueue, Flow

ItemT = TypeVar('ItemT')


@dataclass(frozen=True, slots=True)
class QueuedRequest(Generic[ItemT]):
    """A request that waits for an engine with free capacity.

    :param cost: expected engine seconds.
    :param due_s: time after which the first token can no longer meet its target.
    :param weight: share of the customer relative to others.
    """

    item: ItemT
    flow: Flow
    cost: float
    due_s: float
    weight: float = 1.0


@dataclass(slots=True)
class DispatchQueue(Generic[ItemT]):
    """Queue of requests that are bound to an engine only when it has free capacity.

    A request that can no longer meet its target would delay others without benefit, so it is
    served only when no request is waiting that can. The caller enforces the limit on waiting.
    """

    in_time: FairQueue[QueuedRequest[ItemT]] = field(default_factory=FairQueue)
    overdue: FairQueue[QueuedRequest[ItemT]] = field(default_factory=FairQueue)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self.in_time.size + self.overdue.size

    def push(self, waiting: QueuedRequest[ItemT]) -> None:
        """Add a request."""
        self.in_time.push(waiting.flow, waiting, waiting.cost, waiting.weight)

    def head(self, now: float) -> QueuedRequest[ItemT] | None:
        """Return the next request; overdue requests move behind the others."""
        while True:
            first = self.in_time.head()
            if first is None:
                late = self.overdue.head()
                return late[1] if late else None
            waiting = first[1]
            if waiting.due_s >= now:
                return waiting
            self.in_time.pop_uncharged()
            self.overdue.push(waiting.flow, waiting, waiting.cost, waiting.weight)

    def pop(self, now: float) -> QueuedRequest[ItemT] | None:
        """Remove and return the request that :meth:`head` returns."""
        if self.head(now) is None:
            return None
        return self.in_time.pop() if self.in_time.size else self.overdue.pop()

    def discard(self, waiting: QueuedRequest[ItemT]) -> None:
        """Remove a request that was cancelled."""
        if not self.in_time.discard(waiting.flow, waiting):
            self.overdue.discard(waiting.flow, waiting)

    def charge(self, flow: Flow, correction: float) -> None:
        """Correct the counter of a flow by the actual minus the expected cost."""
        self.in_time.charge(flow, correction)
