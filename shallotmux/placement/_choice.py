"""Choose the engines of a request: where its prompt is read and where its answer is generated."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from shallotmux.fleet import EngineRole
from shallotmux.placement._homes import rank_homes
from shallotmux.placement._prompt import Prompt

#: Homes of a prefix that are weighed against each other, in their order.
HOMES_WEIGHED = 2

#: Time by which another engine must be better before a request leaves its home, in ms. It is
#: about the time that reading a shared part again takes.
LEAVE_HOME_MS = 60.0

#: Tokens of a shared part from which it is worth while to keep its requests together. Fewer are
#: read again within about a step of an engine.
HOME_TOKENS = 1024

#: Time by which an engine of another zone must be better, in ms: bytes between zones are paid for.
OTHER_ZONE_MS = 12.0

#: Time that a request waits for each one before it at an engine without a free slot.
QUEUED_REQUEST_MS = 20.0

#: Time by which a running stream delays the tokens of another one, in ms.
RUNNING_STREAM_MS = 1.0


@dataclass(frozen=True, slots=True)
class EngineView:
    """What is known of one engine at the moment of a choice.

    :param read_tokens_per_ms: speed at which it reads prompts.
    :param backlog_tokens: tokens that it has yet to read before a new request.
    :param running: requests for which it generates.
    :param held: prefixes that it is believed to hold.
    """

    identity: str
    zone: str
    role: EngineRole
    read_tokens_per_ms: float
    backlog_tokens: float = 0.0
    running: float = 0.0
    slots: int = 1
    held: frozenset[bytes] = frozenset()

    @property
    def wait_ms(self) -> float:
        """Return the time before it starts to read a new prompt."""
        queued = max(0.0, self.running - self.slots)
        return self.backlog_tokens / self.read_tokens_per_ms + queued * QUEUED_REQUEST_MS

    def unread_tokens(self, prompt: Prompt, *, is_home: bool) -> int:
        """Return the tokens of a prompt that it does not hold."""
        cached = prompt.cached_tokens(self.held)
        if is_home and self.role is not EngineRole.DECODE:
            # Other instances send the same prefix here, so it is held without their telling. An
            # engine that only generates gets requests of all prefixes and drops them soon.
            cached = max(cached, prompt.shared_tokens)
        return max(0, prompt.tokens - cached)


@dataclass(frozen=True, slots=True)
class Placement:
    """Where a request goes.

    :param prefill: engine that reads the prompt first; None if the other one reads it itself.
    :param expected_ms: expected time to the first token.
    :param unread_tokens: tokens that have to be read.
    """

    decode: str
    prefill: str | None
    expected_ms: float
    reason: str
    unread_tokens: float = 0.0


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request that needs engines.

    :param zone: availability zone from which it is sent.
    :param transfer_tokens_per_ms: speed at which KV cache is moved between engines.
    :param direct_tokens: tokens that an engine may read between the tokens of its streams before
        their gaps become too long.
    """

    prompt: Prompt
    zone: str
    transfer_tokens_per_ms: float
    direct_tokens: float


@dataclass(frozen=True, slots=True)
class _Reading:
    """An engine that reads a prompt, and when it is done."""

    engine: EngineView
    unread_tokens: int
    time_ms: float


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
    direct = _read_directly(_choose_reader(request, decoding))
    if not prefilling:
        return direct
    handed = _hand_over(request, decoding, _choose_reader(request, prefilling))
    is_short = direct.unread_tokens <= request.direct_tokens
    return direct if is_short and direct.expected_ms < handed.expected_ms else handed


def _read_directly(reading: _Reading) -> Placement:
    """Return the placement at an engine that reads and generates.

    Reading delays each stream there, which counts like a delay of the request itself.
    """
    engine = reading.engine
    harm_ms = engine.running * reading.unread_tokens / engine.read_tokens_per_ms
    return Placement(
        engine.identity, None, reading.time_ms + harm_ms, 'direct', reading.unread_tokens
    )


def _choose_reader(request: PlacementRequest, engines: Sequence[EngineView]) -> _Reading:
    """Return the engine that has read the prompt first; leaving its home counts as a delay."""
    prompt = request.prompt
    by_identity = {each.identity: each for each in engines}
    homes = [by_identity[each] for each in rank_homes(prompt.home_key, by_identity)]
    candidates = homes[:HOMES_WEIGHED] if prompt.shared_tokens >= HOME_TOKENS else homes
    weighed = (_weigh_reading(request, engine, rank) for rank, engine in enumerate(candidates))
    return min(weighed, key=lambda each: each.time_ms)


def _weigh_reading(request: PlacementRequest, engine: EngineView, rank: int) -> _Reading:
    unread = engine.unread_tokens(request.prompt, is_home=not rank)
    time_ms = engine.wait_ms + unread / engine.read_tokens_per_ms + _distance_ms(request, engine)
    if rank and request.prompt.shared_tokens >= HOME_TOKENS:
        time_ms += LEAVE_HOME_MS
    return _Reading(engine, unread, time_ms + engine.running * RUNNING_STREAM_MS)


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
