"""Choose the engines of a request: one for prefill and one for decode, or one for both."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from functools import lru_cache

from shallotmux.fleet import EngineRole
from shallotmux.placement._sources import (
    CROSS_ZONE_TRANSFER_FACTOR,
    CacheHolder,
    FetchSources,
    find_expected_holders,
    find_known_holders,
)
from shallotmux.placement._views import (
    EngineView,
    FetchSource,
    PhaseTime,
    Placement,
    PlacementRequest,
)
from shallotmux.rendezvous import rank_owners

#: Number of engines that are compared for a prefix, in the order of :func:`rank_owners`. Each further
#: engine would cache another copy of the shared parts, and evict prefixes that it owns.
MAX_ENGINES_COMPARED = 3

#: Added to the estimated time of engines that do not own the prefix. They fetch the shared parts from
#: the owner, but evict other prefixes to store them.
NON_OWNER_PENALTY_MS = 20.0

#: Rankings of engines that are kept for the prefixes of further prompts.
MAX_CACHED_RANKINGS = 128

#: Minimum number of shared tokens for which the owner of the prefix is preferred. Prefill of fewer
#: tokens takes about one engine step.
MIN_AFFINITY_TOKENS = 1024

#: Difference of the delays of two decode engines that decides between them. Below it, one is drawn:
#: instances that have the same reports would otherwise all choose the same engine.
DECODE_TIE_MS = 4.0


@dataclass(frozen=True, slots=True)
class _PrefillOption:
    """An engine that could prefill a prompt.

    :param time: estimated time until prefill is complete.
    :param cost_ms: that time, with penalties.
    :param source: engine from which cached parts are fetched, if any.
    """

    engine: EngineView
    uncached_tokens: int
    time: PhaseTime
    cost_ms: float
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
    return direct if is_short and direct.cost_ms < disaggregated.cost_ms else disaggregated


def _place_direct(option: _PrefillOption) -> Placement:
    """Return the placement on one engine for prefill and decode.

    The delay that prefill causes to each stream there counts like a delay of the request itself.
    """
    engine = option.engine
    interference_ms = engine.running * engine.prefill_ms(option.uncached_tokens)
    return Placement(
        engine.identity,
        None,
        option.time.total_ms,
        'direct',
        option.uncached_tokens,
        option.fetch_from,
        option.time.wait_ms,
        option.fetch_ms,
        option.cost_ms + interference_ms,
        option.time,
    )


def _choose_prefill_option(
    request: PlacementRequest, engines: Sequence[EngineView], known: tuple[CacheHolder, ...]
) -> _PrefillOption:
    """Return the engine with the shortest estimated time to the end of prefill.

    :param known: engines of any role that are known to have parts of the prompt in their cache.
    """
    prompt = request.prompt
    by_identity = {each.identity: each for each in engines}
    has_owner = prompt.shared_tokens >= MIN_AFFINITY_TOKENS
    rank = _rank_owners if has_owner else rank_owners
    ranked = [by_identity[each] for each in rank(prompt.affinity_key, tuple(by_identity))]
    candidates = ranked[:MAX_ENGINES_COMPARED] if has_owner else ranked
    others = ranked[len(candidates) :]
    if request.is_to_be_shed and others:
        candidates = [*candidates, min(others, key=lambda each: each.wait_ms)]
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
    return min(estimates, key=lambda each: each.cost_ms)


@lru_cache(maxsize=MAX_CACHED_RANKINGS)
def _rank_owners(key: bytes, identities: tuple[str, ...]) -> Sequence[str]:
    """Return the owners of a prefix; many prompts share one, and the engines change seldom."""
    return rank_owners(key, identities)


def _estimate_prefill(
    request: PlacementRequest, engine: EngineView, rank: int, source: FetchSource | None
) -> _PrefillOption:
    uncached = engine.uncached_tokens(request.prompt, is_owner=not rank)
    fetch_ms = 0.0
    if source is not None and request.prompt.tokens - source.tokens < uncached:
        uncached = request.prompt.tokens - source.tokens
        fetch_ms = source.time_ms
    service_ms = fetch_ms + engine.prefill_ms(uncached) + engine.stream_delay_ms
    time = PhaseTime(engine.wait_ms, service_ms)
    cost_ms = time.total_ms + _zone_penalty_ms(request, engine)
    if engine.role is EngineRole.PREFILL and engine.zone != request.zone:
        cost_ms += (CROSS_ZONE_TRANSFER_FACTOR - 1) * request.transfer_ms
    if rank and request.prompt.shared_tokens >= MIN_AFFINITY_TOKENS:
        cost_ms += NON_OWNER_PENALTY_MS
    return _PrefillOption(engine, uncached, time, cost_ms, source)


def choose_decode_engine(request: PlacementRequest, engines: Iterable[EngineView]) -> str | None:
    """Return the engine that generates for a prompt that was prefilled on another one, or None."""
    decode_engines = [each for each in engines if each.role is not EngineRole.PREFILL]
    return _least_delayed(request, decode_engines).identity if decode_engines else None


def _least_delayed(request: PlacementRequest, decode_engines: Sequence[EngineView]) -> EngineView:
    def rank(engine: EngineView) -> tuple[int, bool, float]:
        busy_ms = engine.wait_ms + engine.stream_delay_ms
        delay_ms = busy_ms + _zone_penalty_ms(request, engine)
        is_far = engine.zone != request.zone
        return round(delay_ms / DECODE_TIE_MS), is_far, request.draw()

    return min(decode_engines, key=rank)


def _place_disaggregated(
    request: PlacementRequest, decode_engines: Sequence[EngineView], option: _PrefillOption
) -> Placement:
    decode_engine = _least_delayed(request, decode_engines)
    wait_ms = decode_engine.wait_ms
    transfer_ms = request.transfer_ms
    return Placement(
        decode_engine.identity,
        option.engine.identity,
        max(option.time.total_ms, wait_ms) + transfer_ms,
        'handed over',
        option.uncached_tokens,
        option.fetch_from,
        max(option.time.wait_ms, wait_ms),
        option.fetch_ms,
        max(option.cost_ms, wait_ms) + transfer_ms,
        option.time,
        PhaseTime(wait_ms, transfer_ms + decode_engine.stream_delay_ms),
    )


def _zone_penalty_ms(request: PlacementRequest, engine: EngineView) -> float:
    return 0.0 if engine.zone == request.zone else request.zone_cost_ms


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
