"""Fair queueing of requests by virtual token counters."""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field
from typing import Generic, TypeVar

ItemT = TypeVar('ItemT')


@dataclass(frozen=True, slots=True)
class Flow:
    """The requests of one customer on one route."""

    customer: str
    route: str


@dataclass(frozen=True, slots=True)
class TokenCosts:
    """Engine seconds per prefill token and per decode token."""

    prefill_s: float = 0.00005
    decode_s: float = 0.001

    def cost(self, prefill_tokens: float, decode_tokens: float) -> float:
        """Return the cost of tokens in engine seconds."""
        return prefill_tokens * self.prefill_s + decode_tokens * self.decode_s


@dataclass(slots=True)
class FlowState(Generic[ItemT]):
    """Counter and waiting items of a flow.

    :param counter: engine seconds charged, divided by the weight.
    :param entry_id: identifies the valid heap entry of the flow; older entries are skipped.
    :param waiting: expected cost and item of each waiting request.
    """

    counter: float = 0.0
    weight: float = 1.0
    entry_id: int = 0
    waiting: deque[tuple[float, ItemT]] = field(default_factory=deque)


@dataclass(slots=True)
class FairQueue(Generic[ItemT]):
    """Queue that serves the flow with the smallest counter first.

    The queue is work-conserving: a lone flow is always served. A newly active flow starts at the
    current virtual time, so that it gains no credit from its idle time.
    """

    flows: dict[Flow, FlowState[ItemT]] = field(default_factory=dict)
    heap: list[tuple[float, int, Flow]] = field(default_factory=list)
    virtual_time: float = 0.0
    size: int = 0
    entry_id: int = 0

    def push(self, flow: Flow, item: ItemT, cost: float, weight: float = 1.0) -> None:
        """Add an item.

        :param cost: expected engine seconds of the item.
        :param weight: share of the customer relative to others.
        """
        state = self.flows.setdefault(flow, FlowState())
        state.weight = weight
        if not state.waiting:
            state.counter = max(state.counter, self.virtual_time)
            self._push_flow(flow, state)
        state.waiting.append((cost, item))
        self.size += 1

    def head(self) -> tuple[Flow, ItemT] | None:
        """Return the next item without removing it."""
        while self.heap:
            _, entry_id, flow = self.heap[0]
            state = self.flows[flow]
            if entry_id == state.entry_id and state.waiting:
                return flow, state.waiting[0][1]
            heapq.heappop(self.heap)
        return None

    def pop(self) -> ItemT | None:
        """Remove and return the next item, and charge its expected cost to its flow."""
        head = self.head()
        if head is None:
            return None
        flow, item = head
        heapq.heappop(self.heap)
        state = self.flows[flow]
        cost, _ = state.waiting.popleft()
        self.size -= 1
        self.virtual_time = max(self.virtual_time, state.counter)
        state.counter += cost / state.weight
        if state.waiting:
            self._push_flow(flow, state)
        return item

    def pop_uncharged(self) -> ItemT | None:
        """Remove and return the next item without charging it, as it is served elsewhere."""
        head = self.head()
        if head is None:
            return None
        state = self.flows[head[0]]
        state.waiting.popleft()
        self.size -= 1
        return head[1]

    def discard(self, flow: Flow, item: ItemT) -> bool:
        """Remove a cancelled item without charging it, and tell whether it was present."""
        state = self.flows.get(flow)
        for index, entry in enumerate(state.waiting if state else ()):
            if state and entry[1] is item:
                del state.waiting[index]  # noqa: WPS420
                self.size -= 1
                return True
        return False

    def charge(self, flow: Flow, correction: float) -> None:
        """Correct the counter of a flow by the actual minus the expected cost."""
        state = self.flows.get(flow)
        if state is not None:
            state.counter += correction / state.weight
            if state.waiting:
                self._push_flow(flow, state)

    def _push_flow(self, flow: Flow, state: FlowState[ItemT]) -> None:
        self.entry_id += 1
        state.entry_id = self.entry_id
        heapq.heappush(self.heap, (state.counter, self.entry_id, flow))
