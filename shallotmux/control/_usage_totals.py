"""Aggregate the usage that entry instances report."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping

from shallotmux.fleet import CustomerCount

#: Number of the latest windows for which counts are kept.
MAX_WINDOWS = 16

#: Largest number of requests that is believed of one instance, customer and window. Sums of larger ones
#: do not fit into a command.
MAX_REQUESTS = 1_000_000_000


class UsageTotals:
    """Usage counts of all entry instances by window.

    Senders report running totals, so a newer report replaces the sender's earlier one.
    """

    def __init__(self) -> None:
        self._counts: dict[int, dict[str, dict[str, int]]] = defaultdict(dict)

    def merge(
        self, sender: str, counts: tuple[CustomerCount, ...], present: int | None = None
    ) -> bool:
        """Merge running totals of one sender, and return whether none was ignored.

        :param present: number of the present window; windows far from it are ignored, as they would take
            the place of the real ones. None if it is not known.
        """
        ignored = 0
        for each in counts:
            if present is not None and abs(each.window - present) > MAX_WINDOWS:
                ignored += 1
                continue
            if not 0 <= each.requests <= MAX_REQUESTS:
                ignored += 1
                continue
            sender_counts = self._counts[each.window].setdefault(sender, {})
            # Polls can arrive out of order; totals never decrease, so the maximum is the latest.
            sender_counts[each.customer] = max(each.requests, sender_counts.get(each.customer, 0))
        for window in sorted(self._counts)[:-MAX_WINDOWS]:
            self._counts.pop(window)
        return not ignored

    def first_window(self) -> int | None:
        """Return the oldest window with counts, or None."""
        return min(self._counts, default=None)

    def totals(self, window: int) -> Mapping[str, int]:
        """Return the number of requests in a window, by customer."""
        totals: Counter[str] = Counter()
        for counts in self._counts.get(window, {}).values():
            totals.update(counts)
        return totals
