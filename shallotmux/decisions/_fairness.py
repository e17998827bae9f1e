"""Fair order of waiting requests by virtual token counters."""

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
    """Engine seconds for a token, by which prefill and decode are weighted."""

    prefill_s: float = 0.00005
    decode_s: float = 0.001

    def cost(self, prefill_tokens: float, decode_tokens: float) -> float:
        """Return the engine seconds that tokens cost."""
        return prefill_tokens * self.prefill_s + decode_tokens * self.decode_s


@dataclass(slots=True)
class FlowState(Generic[ItemT]):
    """Counter and waiting items of a flow.

    :param ticket: the only valid entry of the flow in the heap; older entries are skipped.
    """

    counter: float = 0.0
    weight: float = 1.0
    ticket: int = 0
    waiting: deque[tuple[float, ItemT]] = field(default_factory=deque)


@dataclass(slots=True)
class FairQueue(Generic[ItemT]):
    """Serves the flow with the smallest counter first.

    Any waiting item is served when no other flow waits, so the queue conserves work. A newly
    active flow starts at the current virtual time and gains no credit from its idle time.
    """

    flows: dict[Flow, FlowState[ItemT]] = field(default_factory=dict)
    heap: list[tuple[float, int, Flow]] = field(default_factory=list)
    virtual_time: float = 0.0
    size: int = 0
    ticket: int = 0

    def push(self, flow: Flow, item: ItemT, cost: float, weight: float = 1.0) -> None:
        """Add an item.

        :param cost: expected engine seconds of the item.
        :param weight: share of the customer relative to others.
        """
        state = self.flows.setdefault(flow, FlowState())
        state.weight = weight
        if not state.waiting:
            state.counter = max(state.counter, self.virtual_time)
            self._offer(flow, state)
        state.waiting.append((cost, item))
        self.size += 1

    def head(self) -> tuple[Flow, ItemT] | None:
        """Return the item that is served next, without taking it."""
        while self.heap:
            _, ticket, flow = self.heap[0]
            state = self.flows[flow]
            if ticket == state.ticket and state.waiting:
                return flow, state.waiting[0][1]
            heapq.heappop(self.heap)
        return None

    def pop(self) -> ItemT | None:
        """Take the next item and charge its expected cost to its flow."""
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
            self._offer(flow, state)
        return item

    def withdraw(self) -> ItemT | None:
        """Take the next item without a charge, because it is not served from here."""
        head = self.head()
        if head is None:
            return None
        state = self.flows[head[0]]
        state.waiting.popleft()
        self.size -= 1
        return head[1]

    def discard(self, flow: Flow, item: ItemT) -> bool:
        """Remove an item that gave up, without a charge, and tell whether it was there."""
        state = self.flows.get(flow)
        for place, entry in enumerate(state.waiting if state else ()):
            if state and entry[1] is item:
                del state.waiting[place]  # noqa: WPS420
                self.size -= 1
                return True
        return False

    def charge(self, flow: Flow, correction: float) -> None:
        """Correct the counter by the difference between actual and expected cost."""
        state = self.flows.get(flow)
        if state is not None:
            state.counter += correction / state.weight
            if state.waiting:
                self._offer(flow, state)

    def _offer(self, flow: Flow, state: FlowState[ItemT]) -> None:
        self.ticket += 1
        state.ticket = self.ticket
        heapq.heappush(self.heap, (state.counter, self.ticket, flow))
