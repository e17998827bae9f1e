"""Choose the engines of a request: where its prompt is read and where its answer is generated."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from shallotmux.fleet import EngineRole
from shallotmux.placement._homes import rank_homes
from shallotmux.placement._sources import FetchSources, Holder, expect_holders, find_holders
from shallotmux.placement._views import EngineView, FetchSource, Placement, PlacementRequest

#: Homes of a prefix that are weighed against each other, in their order. Others would each keep a
#: copy of the shared parts, and have less room for the parts of their own homes.
HOMES_WEIGHED = 3

#: Time by which another engine must be better before a request leaves its home, in ms. The shared
#: parts are fetched from the home, but displace others at the engine that fetches them.
LEAVE_HOME_MS = 20.0

#: Tokens of a shared part from which it is worth while to keep its requests together. Fewer are
#: read again within about a step of an engine.
HOME_TOKENS = 1024

#: Time by which an engine of another zone must be better, in ms: bytes between zones are paid for.
OTHER_ZONE_MS = 12.0

#: Time by which a running stream delays the tokens of another one, in ms.
RUNNING_STREAM_MS = 1.0


@dataclass(frozen=True, slots=True)
class _Reading:
    """An engine that reads a prompt, and when it is done."""

    engine: EngineView
    unread_tokens: int
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
    decoding = [each for each in usable if each.role is not EngineRole.PREFILL]
    prefilling = [each for each in usable if each.role is EngineRole.PREFILL]
    if not decoding:
        return None
    known = find_holders(request.prompt, usable)
    direct = _read_directly(_choose_reader(request, decoding, known))
    if not prefilling:
        return direct
    handed = _hand_over(request, decoding, _choose_reader(request, prefilling, known))
    is_short = direct.unread_tokens <= request.direct_tokens
    return direct if is_short and direct.expected_ms < handed.expected_ms else handed


def _read_directly(reading: _Reading) -> Placement:
    """Return the placement at an engine that reads and generates.

    Reading delays each stream there, which counts like a delay of the request itself.
    """
    engine = reading.engine
    harm_ms = engine.running * reading.unread_tokens / engine.read_tokens_per_ms
    return Placement(
        engine.identity,
        None,
        reading.time_ms + harm_ms,
        'direct',
        reading.unread_tokens,
        reading.fetch_from,
        engine.wait_ms,
    )


def _choose_reader(
    request: PlacementRequest, engines: Sequence[EngineView], known: tuple[Holder, ...]
) -> _Reading:
    """Return the engine that has read the prompt first; leaving its home counts as a delay.

    :param known: engines of both roles from which cached parts may be fetched.
    """
    prompt = request.prompt
    by_identity = {each.identity: each for each in engines}
    homes = [by_identity[each] for each in rank_homes(prompt.home_key, by_identity)]
    candidates = homes[:HOMES_WEIGHED] if prompt.shared_tokens >= HOME_TOKENS else homes
    # An engine that generates must not read a long prompt because a home did not hold it after all.
    expected = [each for each in homes if each.role is not EngineRole.DECODE]
    sources = FetchSources(
        prompt, known, expect_holders(prompt, expected), request.transfer_tokens_per_ms
    )
    weighed = (
        _weigh_reading(request, engine, rank, sources.find(engine))
        for rank, engine in enumerate(candidates)
    )
    return min(weighed, key=lambda each: each.time_ms)


def _weigh_reading(
    request: PlacementRequest, engine: EngineView, rank: int, source: FetchSource | None
) -> _Reading:
    unread = engine.unread_tokens(request.prompt, is_home=not rank)
    time_ms = engine.wait_ms + _distance_ms(request, engine)
    if source is not None and request.prompt.tokens - source.tokens < unread:
        unread = request.prompt.tokens - source.tokens
        time_ms += source.time_ms
    time_ms += unread / engine.read_tokens_per_ms
    if rank and request.prompt.shared_tokens >= HOME_TOKENS:
        time_ms += LEAVE_HOME_MS
    return _Reading(engine, unread, time_ms + engine.running * RUNNING_STREAM_MS, source)


def choose_generator(request: PlacementRequest, engines: Iterable[EngineView]) -> str | None:
    """Return the engine that generates for a prompt which was read elsewhere."""
    decoding = [each for each in engines if each.role is not EngineRole.PREFILL]
    return _least_delayed(request, decoding).identity if decoding else None


def _least_delayed(request: PlacementRequest, decoding: Sequence[EngineView]) -> EngineView:
    def delay_ms(engine: EngineView) -> float:
        busy_ms = engine.wait_ms + engine.running * RUNNING_STREAM_MS
        return busy_ms + _distance_ms(request, engine)

    return min(decoding, key=delay_ms)


def _hand_over(
    request: PlacementRequest, decoding: Sequence[EngineView], reading: _Reading
) -> Placement:
    taker = _least_delayed(request, decoding)
    transfer_ms = request.prompt.tokens / request.transfer_tokens_per_ms
    expected_ms = max(reading.time_ms, taker.wait_ms) + transfer_ms
    return Placement(
        taker.identity,
        reading.engine.identity,
        expected_ms,
        'handed over',
        reading.unread_tokens,
        reading.fetch_from,
        max(reading.engine.wait_ms, taker.wait_ms),
    )


def _distance_ms(request: PlacementRequest, engine: EngineView) -> float:
    return 0.0 if engine.zone == request.zone else OTHER_ZONE_MS


#: Part of the longest gap that reading a prompt may add to the streams beside it.
DIRECT_GAP_PART = 0.3


def direct_limit(gap_objective_ms: float, read_tokens_per_ms: float) -> float:
    """Return the tokens that may be read between the tokens of streams.

    :param gap_objective_ms: longest gap of the streams; 0 when there is no objective.
    """
    if not gap_objective_ms:
        return float('inf')
    return DIRECT_GAP_PART * gap_objective_ms * read_tokens_per_ms
