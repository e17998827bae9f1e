"""Choose the engines of a request: one for prefill and one for decode, or one for both."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from shallotmux.fleet import EngineRole
from shallotmux.placement._sources import (
    CacheHolder,
    FetchSources,
    find_expected_holders,
    find_known_holders,
)
from shallotmux.placement._views import EngineView, FetchSource, Placement, PlacementRequest
from shallotmux.rendezvous import rank_owners

#: Number of engines that are compared for a prefix, in the order of :func:`rank_owners`. Each further
#: engine would cache another copy of the shared parts, and evict prefixes that it owns.
MAX_ENGINES_COMPARED = 3

#: Added to the estimated time of engines that do not own the prefix. They fetch the shared parts from
#: the owner, but evict other prefixes to store them.
NON_OWNER_PENALTY_MS = 20.0

#: Minimum number of shared tokens for which the owner of the prefix is preferred. Prefill of fewer
#: tokens takes about one engine step.
MIN_AFFINITY_TOKENS = 1024

#: Added to the estimated time of engines in other zones, as traffic between zones is billed.
CROSS_ZONE_PENALTY_MS = 12.0

#: Delay that each running stream adds to a request on the same engine.
DELAY_PER_STREAM_MS = 1.0


@dataclass(frozen=True, slots=True)
class _PrefillOption:
    """An engine that could prefill a prompt.

    :param time_ms: estimated time until prefill is complete, penalties included.
    :param source: engine from which cached parts are fetched, if any.
    """

    engine: EngineView
    uncached_tokens: int
    time_ms: float
    source: FetchSource | None = None

    @property
    def fetch_from(self) -> str | None:
        """Return the identity of the engine from which cached parts are fetched, or None."""
        return self.source.identity if self.source else None

    @property
    def fetch_ms(self) -> float:
        """Return the time in which cached parts are fetched."""
        return self.source.time_ms if self.source else 0.0


def place_request(request: PlacementRequest, engines: Iterable[EngineView]) -> Placement | None:
    """Return the placement of a request, or None without an engine that can decode.

    Prefill on a decode engine delays the tokens of the other streams there. Prompts are therefore
    usually prefilled on a prefill engine, and their KV cache is transferred. A short prompt is
    prefilled on the decode engine if that is faster, as while the prefill engines are busy.
    """
    usable = tuple(engines)
    decode_engines = [each for each in usable if each.role is not EngineRole.PREFILL]
    prefill_engines = [each for each in usable if each.role is EngineRole.PREFILL]
    if not decode_engines:
        return None
    known = find_known_holders(request.prompt, usable)
    direct = _place_direct(_choose_prefill_option(request, decode_engines, known))
    if not prefill_engines:
        return direct
    disaggregated = _place_disaggregated(
        request, decode_engines, _choose_prefill_option(request, prefill_engines, known)
    )
    is_short = direct.uncached_tokens <= request.max_direct_tokens
    return direct if is_short and direct.expected_ms < disaggregated.expected_ms else disaggregated


def _place_direct(option: _PrefillOption) -> Placement:
    """Return the placement on one engine for prefill and decode.

    The delay that prefill causes to each stream there counts like a delay of the request itself.
    """
    engine = option.engine
    interference_ms = engine.running * option.uncached_tokens / engine.prefill_tokens_per_ms
    return Placement(
        engine.identity,
        None,
        option.time_ms + interference_ms,
        'direct',
        option.uncached_tokens,
        option.fetch_from,
        engine.wait_ms,
        option.fetch_ms,
    )


def _choose_prefill_option(
    request: PlacementRequest, engines: Sequence[EngineView], known: tuple[CacheHolder, ...]
) -> _PrefillOption:
    """Return the engine with the shortest estimated time to the end of prefill.

    :param known: engines of any role that are known to have parts of the prompt in their cache.
    """
    prompt = request.prompt
    by_identity = {each.identity: each for each in engines}
    ranked = [by_identity[each] for each in rank_owners(prompt.affinity_key, by_identity)]
    candidates = (
        ranked[:MAX_ENGINES_COMPARED] if prompt.shared_tokens >= MIN_AFFINITY_TOKENS else ranked
    )
    # Decode engines are not expected to have the shared parts in their cache. If that expectation
    # were wrong, a decode engine would have to prefill a long prompt.
    expected = [each for each in ranked if each.role is not EngineRole.DECODE]
    sources = FetchSources(
        prompt, known, find_expected_holders(prompt, expected), request.transfer_tokens_per_ms
    )
    estimates = (
        _estimate_prefill(request, engine, rank, sources.find(engine))
        for rank, engine in enumerate(candidates)
    )
    return min(estimates, key=lambda each: each.time_ms)


def _estimate_prefill(
    request: PlacementRequest, engine: EngineView, rank: int, source: FetchSource | None
) -> _PrefillOption:
    uncached = engine.uncached_tokens(request.prompt, is_owner=not rank)
    time_ms = engine.wait_ms + _zone_penalty_ms(request, engine)
    if source is not None and request.prompt.tokens - source.tokens < uncached:
        uncached = request.prompt.tokens - source.tokens
        time_ms += source.time_ms
    time_ms += uncached / engine.prefill_tokens_per_ms
    if rank and request.prompt.shared_tokens >= MIN_AFFINITY_TOKENS:
        time_ms += NON_OWNER_PENALTY_MS
    return _PrefillOption(engine, uncached, time_ms + engine.running * DELAY_PER_STREAM_MS, source)


def choose_decode_engine(request: PlacementRequest, engines: Iterable[EngineView]) -> str | None:
    """Return the engine that generates for a prompt that was prefilled on another one, or None."""
    decode_engines = [each for each in engines if each.role is not EngineRole.PREFILL]
    return _least_delayed(request, decode_engines).identity if decode_engines else None


def _least_delayed(request: PlacementRequest, decode_engines: Sequence[EngineView]) -> EngineView:
    def delay_ms(engine: EngineView) -> float:
        busy_ms = engine.wait_ms + engine.running * DELAY_PER_STREAM_MS
        return busy_ms + _zone_penalty_ms(request, engine)

    return min(decode_engines, key=delay_ms)


def _place_disaggregated(
    request: PlacementRequest, decode_engines: Sequence[EngineView], option: _PrefillOption
) -> Placement:
    decode_engine = _least_delayed(request, decode_engines)
    transfer_ms = request.prompt.tokens / request.transfer_tokens_per_ms
    expected_ms = max(option.time_ms, decode_engine.wait_ms) + transfer_ms
    return Placement(
        decode_engine.identity,
        option.engine.identity,
        expected_ms,
        'handed over',
        option.uncached_tokens,
        option.fetch_from,
        max(option.engine.wait_ms, decode_engine.wait_ms),
        option.fetch_ms,
    )


def _zone_penalty_ms(request: PlacementRequest, engine: EngineView) -> float:
    return 0.0 if engine.zone == request.zone else CROSS_ZONE_PENALTY_MS


#: Fraction of the token gap objective by which prefill may delay the other streams of an engine.
DIRECT_GAP_FRACTION = 0.3


def direct_prefill_limit(gap_objective_ms: float, prefill_tokens_per_ms: float) -> float:
    """Return the uncached prompt tokens up to which a decode engine may prefill.

    :param gap_objective_ms: objective for the time between tokens; 0 without an objective.
    :returns: a number of tokens; infinite without an objective.
    """
    if not gap_objective_ms:
        return float('inf')
    return DIRECT_GAP_FRACTION * gap_objective_ms * prefill_tokens_per_ms
