"""Inputs and results of the choice of engines."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from shallotmux.fleet import EngineRole
from shallotmux.placement._prompt import Prompt

#: Wait for each queued request at an engine without a free slot.
WAIT_PER_QUEUED_REQUEST_MS = 20.0

#: Delay that each running stream adds to a request on the same engine.
DELAY_PER_STREAM_MS = 1.0


class EngineView(msgspec.Struct, frozen=True):
    """Snapshot of what is known of one engine.

    It is a structure of msgspec, which is built several times faster than a frozen data class: each
    placement builds one for each engine.

    :param prefill_tokens_per_ms: speed of prefill.
    :param backlog_tokens: prompt tokens queued for prefill.
    :param running: estimated number of requests there.
    :param slots: requests that it runs at the same time.
    :param cached_prefixes: prefixes that are assumed to be in its cache.
    :param waiting: estimated number of requests that wait there, apart from those in the backlog.
    :param pace: factor on usual times; 2.0 takes twice as long.
    """

    identity: str
    zone: str
    role: EngineRole
    prefill_tokens_per_ms: float
    backlog_tokens: float = 0.0
    running: float = 0.0
    slots: int = 1
    cached_prefixes: frozenset[bytes] = frozenset()
    waiting: float = 0.0
    pace: float = 1.0

    @property
    def wait_ms(self) -> float:
        """Return the estimated time before it starts the prefill of a new prompt."""
        queued = max(self.waiting, self.running - self.slots, 0.0)
        backlog_ms = self.backlog_tokens / self.prefill_tokens_per_ms
        return self.pace * (backlog_ms + queued * WAIT_PER_QUEUED_REQUEST_MS)

    @property
    def stream_delay_ms(self) -> float:
        """Return the estimated delay by other requests that it runs."""
        return self.pace * self.running * DELAY_PER_STREAM_MS

    def prefill_ms(self, tokens: float) -> float:
        """Return the estimated time of the prefill of some tokens."""
        return self.pace * tokens / self.prefill_tokens_per_ms

    def uncached_tokens(self, prompt: Prompt, *, is_owner: bool) -> int:
        """Return the number of tokens of a prompt that are not in its cache.

        :param is_owner: whether it owns the prefix of the prompt, see :func:`rank_owners`.
        """
        cached = prompt.cached_tokens(self.cached_prefixes)
        if is_owner and self.role is not EngineRole.DECODE:
            # All instances send this prefix here, so its shared parts are assumed to be cached. A
            # decode engine receives requests of all prefixes, and evicts them soon.
            cached = max(cached, prompt.shared_tokens)
        return max(0, prompt.tokens - cached)


@dataclass(frozen=True, slots=True)
class FetchSource:
    """An engine from which cached parts of a prompt are fetched.

    :param tokens: tokens of the beginning of the prompt that are expected in its cache.
    :param time_ms: expected duration of the transfer.
    """

    identity: str
    tokens: int
    time_ms: float


class PhaseTime(msgspec.Struct, frozen=True):
    """Estimated time of a phase of a request.

    :param wait_ms: part that is spent waiting for other requests.
    :param service_ms: the rest.
    """

    wait_ms: float = 0.0
    service_ms: float = 0.0

    @property
    def total_ms(self) -> float:
        """Return the time of the whole phase."""
        return self.wait_ms + self.service_ms


@dataclass(frozen=True, slots=True)
class Placement:
    """Engines chosen for a request.

    :param decode: engine that generates the answer.
    :param prefill: engine that prefills the prompt; None if the decode engine does.
    :param expected_ms: expected time to the first token, without penalties.
    :param reason: kind of placement, for logs.
    :param uncached_tokens: tokens that need prefill.
    :param fetch_from: engine from which the one that prefills fetches cached parts, if any.
    :param wait_ms: part of the expected time that is spent waiting for other requests.
    :param fetch_ms: part of the expected time in which cached parts are fetched.
    :param cost_ms: expected time with the penalties by which placements are compared.
    :param first: time to the end of prefill, or to the first token without a separate prefill.
    :param handover: time from a separate prefill to the first token; None without one.
    """

    decode: str
    prefill: str | None
    expected_ms: float
    reason: str
    uncached_tokens: float = 0.0
    fetch_from: str | None = None
    wait_ms: float = 0.0
    fetch_ms: float = 0.0
    cost_ms: float = 0.0
    first: PhaseTime = PhaseTime()
    handover: PhaseTime | None = None


def _draw_first() -> float:
    return 0.0


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request to place on engines.

    :param zone: availability zone whose engines come first.
    :param transfer_tokens_per_ms: speed of KV cache transfers between engines.
    :param max_direct_tokens: uncached tokens up to which a decode engine may prefill without delaying
        its streams too much.
    :param draw: returns random numbers that decide between decode engines of about the same delay.
    :param is_to_be_shed: whether the request is refused unless an engine with a shorter queue is found
        than those that own the prefix of the prompt.
    :param zone_cost_ms: time that an engine of another zone must save, beside longer transfers.
    """

    prompt: Prompt
    zone: str
    transfer_tokens_per_ms: float
    max_direct_tokens: float
    draw: Callable[[], float] = _draw_first
    is_to_be_shed: bool = False
    zone_cost_ms: float = 0.0

    @property
    def transfer_ms(self) -> float:
        """Return the estimated time to transfer the KV cache of the prompt to another engine."""
        return self.prompt.tokens / self.transfer_tokens_per_ms
