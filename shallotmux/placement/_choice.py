"""Choose the engines of a request: where its prompt is read and where its answer is generated."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from shallotmux.fleet import EngineRole
from shallotmux.placement._homes import rank_homes
from shallotmux.placement._prompt import Prompt

#: Engines of each role that are weighed against each other, in the order of the homes.
HOMES_WEIGHED = 2

#: Time by which another engine must be better before a request leaves its home, in ms. It is
#: about the time that reading a shared part again takes.
LEAVE_HOME_MS = 60.0


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

    def read_ms(self, prompt: Prompt, *, is_home: bool) -> float:
        """Return the time for reading what it does not hold of a prompt."""
        cached = prompt.cached_tokens(self.held)
        if is_home:
            # Other instances send the same prefix here, so it is held without their telling.
            shared = sum(part.tokens for part in prompt.parts[:-1])
            cached = max(cached, shared)
        return max(0, prompt.tokens - cached) / self.read_tokens_per_ms


#: Time that a request waits for each one before it at an engine without a free slot.
QUEUED_REQUEST_MS = 20.0


@dataclass(frozen=True, slots=True)
class Placement:
    """Where a request goes.

    :param prefill: engine that reads the prompt first; None if the other one reads it itself.
    :param expected_ms: expected time to the first token.
    """

    decode: str
    prefill: str | None
    expected_ms: float
    reason: str


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request that needs engines.

    :param transfer_tokens_per_ms: speed at which KV cache is moved between engines.
    :param excluded: engines that refused it or failed.
    """

    prompt: Prompt
    zone: str
    transfer_tokens_per_ms: float
    excluded: frozenset[str] = field(default_factory=frozenset)


def place_request(request: PlacementRequest, engines: Iterable[EngineView]) -> Placement | None:
    """Return the placement with the earliest first token, or None without an engine to decode.

    Reading at the engine that also generates saves the transfer but goes at a lower speed and
    between the tokens of others; reading at a prefill engine needs a transfer.
    """
    usable = [each for each in engines if each.identity not in request.excluded]
    decoding = [each for each in usable if each.role is not EngineRole.PREFILL]
    if not decoding:
        return None
    prefilling = [each for each in usable if each.role is EngineRole.PREFILL]
    homes = _homes(request.prompt, decoding)
    direct = _best_reader(request.prompt, homes)
    best = Placement(direct[0].identity, None, direct[1], 'direct')
    if prefilling:
        handed = _hand_over(request, homes, _homes(request.prompt, prefilling))
        best = min((best, handed), key=lambda each: each.expected_ms)
    return best


def _homes(prompt: Prompt, engines: Sequence[EngineView]) -> list[EngineView]:
    by_identity = {each.identity: each for each in engines}
    return [by_identity[each] for each in rank_homes(prompt.home_key, by_identity)]


def _best_reader(prompt: Prompt, homes: Sequence[EngineView]) -> tuple[EngineView, float]:
    """Return the engine that has read the prompt first, and the time until then."""
    weighed = [
        (engine.wait_ms + engine.read_ms(prompt, is_home=not rank) + rank * LEAVE_HOME_MS, engine)
        for rank, engine in enumerate(homes[:HOMES_WEIGHED])
    ]
    time_ms, engine = min(weighed, key=lambda each: each[0])
    return engine, time_ms


def _hand_over(
    request: PlacementRequest, decoding: Sequence[EngineView], prefilling: Sequence[EngineView]
) -> Placement:
    reader, read_ms = _best_reader(request.prompt, prefilling)
    taker = min(decoding, key=lambda each: (each.wait_ms, each.running))
    transfer_ms = request.prompt.tokens / request.transfer_tokens_per_ms
    expected_ms = max(read_ms, taker.wait_ms) + transfer_ms
    return Placement(taker.identity, reader.identity, expected_ms, 'handed over')
