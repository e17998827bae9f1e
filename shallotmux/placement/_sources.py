"""From which engine another one fetches the parts of a prompt that it does not hold itself."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from shallotmux.placement._prompt import Prompt
from shallotmux.placement._views import EngineView, FetchSource

#: Tokens from which fetching pays. Fewer are read in the time in which a transfer is set up.
MIN_FETCH_TOKENS = 512

#: Time for which a transfer is set up, in ms; stated by the engines' description.
TRANSFER_SETUP_MS = 3.0

#: Factor on the time of a transfer between availability zones.
CROSS_ZONE_TRANSFER_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class Holder:
    """An engine and the tokens of the prompt's beginning that it holds."""

    engine: EngineView
    tokens: int


@dataclass(frozen=True, slots=True)
class FetchSources:
    """Engines that hold the beginning of one prompt.

    :param known: engines that are known to hold most of it, best first.
    :param expected: the two engines that are expected to hold its shared parts.
    :param tokens_per_ms: speed of transfers within a zone.
    """

    prompt: Prompt
    known: tuple[Holder, ...]
    expected: tuple[Holder, ...]
    tokens_per_ms: float

    def find(self, engine: EngineView) -> FetchSource | None:
        """Return where an engine best fetches the prompt, or None if that is no gain."""
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


def find_known_holders(prompt: Prompt, engines: Iterable[EngineView]) -> tuple[Holder, ...]:
    """Return the two engines that are known to hold most of a prompt, as one may be the reader."""
    holders = (Holder(each, prompt.cached_tokens(each.cached_prefixes)) for each in engines)
    return tuple(heapq.nlargest(2, holders, key=lambda holder: holder.tokens))


def find_expected_holders(prompt: Prompt, homes: Sequence[EngineView]) -> tuple[Holder, ...]:
    """Return the two engines that are expected to hold the shared parts of a prompt.

    :param homes: engines that read prompts by preference for this one. The first one is expected to
        hold the shared parts; the second one is the home of before when the first one is new.
    """
    return tuple(Holder(each, prompt.shared_tokens) for each in homes[:2])


def _first_other(holders: Iterable[Holder], engine: EngineView) -> Holder | None:
    others = (each for each in holders if each.engine.identity != engine.identity)
    return next(others, None)
