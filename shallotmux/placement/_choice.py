"""Choose the engines of a request: where its prompt is read and where its answer is generated."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from shallotmux.fleet import EngineRole
from shallotmux.placement._homes import rank_homes
from shallotmux.placement._sources import (
    FetchSources,
    Holder,
    find_expected_holders,
    find_known_holders,
)
from shallotmux.placement._views import EngineView, FetchSource, Placement, PlacementRequest

#: Homes of a prefix that are weighed against each other, in their order. Others would each keep a
#: copy of the shared parts, and have less room for the parts of their own homes.
MAX_HOMES_COMPARED = 3

#: Time by which another engine must be better before a request leaves its home, in ms. The shared
#: parts are fetched from the home, but displace others at the engine that fetches them.
NON_HOME_PENALTY_MS = 20.0

#: Tokens of a shared part from which it is worth while to keep its requests together. Fewer are
#: read again within about a step of an engine.
MIN_HOME_TOKENS = 1024

#: Time by which an engine of another zone must be better, in ms: bytes between zones are paid for.
CROSS_ZONE_PENALTY_MS = 12.0

#: Time by which a running stream delays the tokens of another one, in ms.
DELAY_PER_STREAM_MS = 1.0


@dataclass(frozen=True, slots=True)
class _PrefillOption:
    """An engine that reads a prompt, and when it is done."""

    engine: EngineView
    uncached_tokens: int
    time_ms: float
    source: FetchSource | None = None

    @property
    def fetch_from(self) -> str | None:
        """Return the engine from which cached parts are fetched."""
        return self.source.identity if self.source else None


def place_request(request: PlacementRequest, engines: Iterable[EngineView]) -> Placement | None:
    """Return the placement of a request, or None without an engine to decode.

    A prompt that is read by the engine which generates the answer stretches the gaps of the other
    streams there. Mostly it is therefore read by an engine that does nothing else, and its KV cache
    is moved; a short one is read directly while those engines are busy.
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
    """Return the placement at an engine that reads and generates.

    Reading delays each stream there, which counts like a delay of the request itself.
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
    )


def _choose_prefill_option(
    request: PlacementRequest, engines: Sequence[EngineView], known: tuple[Holder, ...]
) -> _PrefillOption:
    """Return the engine that has read the prompt first; leaving its home counts as a delay.

    :param known: engines of both roles from which cached parts may be fetched.
    """
    prompt = request.prompt
    by_identity = {each.identity: each for each in engines}
    homes = [by_identity[each] for each in rank_homes(prompt.home_key, by_identity)]
    candidates = homes[:MAX_HOMES_COMPARED] if prompt.shared_tokens >= MIN_HOME_TOKENS else homes
    # An engine that generates must not read a long prompt because a home did not hold it after all.
    expected = [each for each in homes if each.role is not EngineRole.DECODE]
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
    uncached = engine.uncached_tokens(request.prompt, is_home=not rank)
    time_ms = engine.wait_ms + _zone_penalty_ms(request, engine)
    if source is not None and request.prompt.tokens - source.tokens < uncached:
        uncached = request.prompt.tokens - source.tokens
        time_ms += source.time_ms
    time_ms += uncached / engine.prefill_tokens_per_ms
    if rank and request.prompt.shared_tokens >= MIN_HOME_TOKENS:
        time_ms += NON_HOME_PENALTY_MS
    return _PrefillOption(engine, uncached, time_ms + engine.running * DELAY_PER_STREAM_MS, source)


def choose_decode_engine(request: PlacementRequest, engines: Iterable[EngineView]) -> str | None:
    """Return the engine that generates for a prompt which was read elsewhere."""
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
    )


def _zone_penalty_ms(request: PlacementRequest, engine: EngineView) -> float:
    return 0.0 if engine.zone == request.zone else CROSS_ZONE_PENALTY_MS


#: Part of the longest gap that reading a prompt may add to the streams beside it.
DIRECT_GAP_FRACTION = 0.3


def direct_prefill_limit(gap_objective_ms: float, prefill_tokens_per_ms: float) -> float:
    """Return the tokens that may be read between the tokens of streams.

    :param gap_objective_ms: longest gap of the streams; 0 when there is no objective.
    """
    if not gap_objective_ms:
        return float('inf')
    return DIRECT_GAP_FRACTION * gap_objective_ms * prefill_tokens_per_ms
