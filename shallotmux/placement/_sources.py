"""Choose the engine from which another one fetches cached parts of a prompt."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from shallotmux.placement._prompt import Prompt
from shallotmux.placement._views import EngineView, FetchSource

#: Minimum number of tokens that are fetched. Prefill of fewer takes no longer than setting up a
#: transfer.
MIN_FETCH_TOKENS = 512

#: Time to set up a transfer, as the specification of the engines states it.
TRANSFER_SETUP_MS = 3.0

#: Factor on the duration of a transfer between availability zones.
CROSS_ZONE_TRANSFER_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class CacheHolder:
    """An engine that has the beginning of a prompt in its cache.

    :param tokens: number of cached tokens.
    """

    engine: EngineView
    tokens: int


@dataclass(frozen=True, slots=True)
class FetchSources:
    """Engines that have the beginning of one prompt in their cache.

    :param known: engines known to have the most tokens of it, best first.
    :param expected: the two engines that are expected to have its shared parts.
    :param tokens_per_ms: speed of transfers within a zone.
    """

    prompt: Prompt
    known: tuple[CacheHolder, ...]
    expected: tuple[CacheHolder, ...]
    tokens_per_ms: float

    def find(self, engine: EngineView) -> FetchSource | None:
        """Return the best source for an engine, or None if fetching does not pay."""
        holder = _first_other(self.known, engine)
        if holder is None or holder.tokens < self.prompt.shared_tokens:
            holder = _first_other(self.expected, engine)
        if holder is None:
            return None
        gained = holder.tokens - self.prompt.cached_tokens(engine.cached_prefixes)
        if gained < MIN_FETCH_TOKENS:
            return None
        factor = 1.0 if holder.engine.zone == engine.zone else CROSS_ZONE_TRANSFER_FACTOR
        time_ms = TRANSFER_SETUP_MS + factor * gained / self.tokens_per_ms
        return FetchSource(holder.engine.identity, holder.tokens, time_ms)


def find_known_holders(prompt: Prompt, engines: Iterable[EngineView]) -> tuple[CacheHolder, ...]:
    """Return the two engines known to have the most tokens of a prompt in their cache.

    There are two because one of them may be the engine that fetches.
    """
    holders = (
        CacheHolder(each, prompt.cached_tokens(each.cached_prefixes))
        for each in engines
        if each.cached_prefixes
    )
    return tuple(heapq.nlargest(2, holders, key=lambda holder: holder.tokens))


def find_expected_holders(prompt: Prompt, ranked: Sequence[EngineView]) -> tuple[CacheHolder, ...]:
    """Return the two engines that are expected to have the shared parts of a prompt.

    :param ranked: engines in the order of :func:`rank_owners`, without decode engines. The first one
        is the owner. If it was added recently, the second one was the owner before.
    """
    return tuple(CacheHolder(each, prompt.shared_tokens) for each in ranked[:2])


def _first_other(holders: Iterable[CacheHolder], engine: EngineView) -> CacheHolder | None:
    others = (each for each in holders if each.engine.identity != engine.identity)
    return next(others, None)
