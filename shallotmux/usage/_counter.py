"""Count the usage of customers on one instance and record it in the zone's state."""

from __future__ import annotations

from collections.abc import Callable

import trio
from eliot import log_message

from shallotmux.authority import (
    WINDOW_S,
    Authority,
    Figures,
    PoolDemand,
    RecordUsage,
    UsageEntry,
)
from shallotmux.errors import AuthorityUnavailable, OutcomeUnknown

#: Interval between batches; usage of at most this time is lost when an instance is killed.
BATCH_INTERVAL_S = 1.0


class UsageCounter:
    """Accumulates usage and records it in numbered batches.

    A batch is retried under its number until it is recorded, and the zone's state ignores numbers
    that it has recorded already, so each count is recorded exactly once.

    :param source: name and incarnation of this instance.
    :param wall_clock: returns the wall-clock time in seconds.
    :param demand: returns the current demand by pool, which is sent with each batch.
    """

    def __init__(
        self,
        source: str,
        wall_clock: Callable[[], float],
        demand: Callable[[], tuple[PoolDemand, ...]] = tuple,
    ) -> None:
        self._source = source
        self._wall_clock = wall_clock
        self._demand = demand
        self._pending: dict[tuple[str, int], Figures] = {}
        #: Output tokens since the last batch, and how many of them came from cheap endpoints.
        self._tokens: dict[str, list[int]] = {}
        self._unrecorded: RecordUsage | None = None
        self._batch = 0

    def add(self, customer: str, figures: Figures) -> None:
        """Add usage to the current window."""
        entry_key = (customer, int(self._wall_clock() // WINDOW_S))
        self._pending[entry_key] = self._pending.get(entry_key, Figures()).plus(figures)

    def add_tokens(self, customer: str, tokens: int, cheap_tokens: int) -> None:
        """Add output tokens.

        Cheaper than :meth:`add`, since it is called for each block of a stream.
        """
        counts = self._tokens.get(customer)
        if counts is None:
            self._tokens[customer] = [tokens, cheap_tokens]
            return
        counts[0] += tokens
        counts[1] += cheap_tokens

    async def run(self, authority: Authority) -> None:
        """Record a batch at each interval until cancelled."""
        while True:
            await trio.sleep(BATCH_INTERVAL_S)
            await self.flush(authority)

    async def flush(self, authority: Authority) -> bool:
        """Record the counted usage and return whether nothing is left to record."""
        batch = self._unrecorded or self._close_batch()
        if batch is None:
            return True
        self._unrecorded = batch
        try:
            await authority.submit(batch)
        except (AuthorityUnavailable, OutcomeUnknown) as error:
            log_message(
                message_type='shallotmux:usage-not-recorded', batch=batch.batch, detail=str(error)
            )
            return False
        self._unrecorded = None
        return not self._pending and not self._tokens

    def _close_batch(self) -> RecordUsage | None:
        for name, (tokens, cheap_tokens) in self._tokens.items():
            self.add(name, Figures(output_tokens=tokens, cheap_tokens=cheap_tokens))
        self._tokens.clear()
        demand = self._demand()
        if not self._pending and not demand:
            return None
        self._batch += 1
        entries = tuple(
            UsageEntry(customer, window, figures)
            for (customer, window), figures in sorted(self._pending.items(), key=_entry_key)
        )
        self._pending.clear()
        return RecordUsage(
            f'usage/{self._source}/{self._batch}', self._source, self._batch, entries, demand
        )


def _entry_key(entry: tuple[tuple[str, int], Figures]) -> tuple[str, int]:
    return entry[0]
