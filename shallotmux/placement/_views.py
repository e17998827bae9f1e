"""What a choice of engines rests on."""

from __future__ import annotations

from dataclasses import dataclass

from shallotmux.fleet import EngineRole
from shallotmux.placement._prompt import Prompt

#: Time that a request waits for each one before it at an engine without a free slot.
WAIT_PER_QUEUED_REQUEST_MS = 20.0


@dataclass(frozen=True, slots=True)
class EngineView:
    """What is known of one engine at the moment of a choice.

    :param prefill_tokens_per_ms: speed at which it reads prompts.
    :param backlog_tokens: tokens that it has yet to read before a new request.
    :param running: requests for which it generates.
    :param cached_prefixes: prefixes that it is believed to hold.
    """

    identity: str
    zone: str
    role: EngineRole
    prefill_tokens_per_ms: float
    backlog_tokens: float = 0.0
    running: float = 0.0
    slots: int = 1
    cached_prefixes: frozenset[bytes] = frozenset()

    @property
    def wait_ms(self) -> float:
        """Return the time before it starts to read a new prompt."""
        queued = max(0.0, self.running - self.slots)
        return (
            self.backlog_tokens / self.prefill_tokens_per_ms + queued * WAIT_PER_QUEUED_REQUEST_MS
        )

    def uncached_tokens(self, prompt: Prompt, *, is_home: bool) -> int:
        """Return the tokens of a prompt that it does not hold."""
        cached = prompt.cached_tokens(self.cached_prefixes)
        if is_home and self.role is not EngineRole.DECODE:
            # Other instances send the same prefix here, so it is held without their telling. An
            # engine that only generates gets requests of all prefixes and drops them soon.
            cached = max(cached, prompt.shared_tokens)
        return max(0, prompt.tokens - cached)


@dataclass(frozen=True, slots=True)
class FetchSource:
    """An engine from which cached parts of a prompt are fetched.

    :param tokens: tokens of the prompt's beginning that it is expected to hold.
    :param time_ms: expected time of the transfer.
    """

    identity: str
    tokens: int
    time_ms: float


@dataclass(frozen=True, slots=True)
class Placement:
    """Where a request goes.

    :param prefill: engine that reads the prompt first; None if the other one reads it itself.
    :param expected_ms: expected time to the first token.
    :param uncached_tokens: tokens that have to be read.
    :param wait_ms: part of that time in which others are served.
    :param fetch_from: engine from which the reading one fetches what it does not hold, if any.
    """

    decode: str
    prefill: str | None
    expected_ms: float
    reason: str
    uncached_tokens: float = 0.0
    fetch_from: str | None = None
    wait_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request that needs engines.

    :param zone: availability zone from which it is sent.
    :param transfer_tokens_per_ms: speed at which KV cache is moved between engines.
    :param max_direct_tokens: tokens that an engine may read between the tokens of its streams before
        their gaps become too long.
    """

    prompt: Prompt
    zone: str
    transfer_tokens_per_ms: float
    max_direct_tokens: float
