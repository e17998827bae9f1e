"""Event heap of the discrete-event simulation."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class EventHeap:
    """Runs callbacks in the order of their times; equal times run in the order of scheduling."""

    def __init__(self) -> None:
        self._now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    def now(self) -> float:
        """Return the time in seconds."""
        return self._now

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay."""
        self._sequence += 1
        heapq.heappush(self._heap, (self._now + delay_s, self._sequence, callback))

    def run(self, until_s: float) -> None:
        """Run all events up to and including a time, and advance the clock to it."""
        heap = self._heap
        while heap and heap[0][0] <= until_s:
            event = heapq.heappop(heap)
            self._now = event[0]
            event[2]()
        self._now = until_s
