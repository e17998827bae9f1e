"""Inputs and results of the choice of engines."""

from __future__ import annotations

from dataclasses import dataclass

from shallotmux.fleet import EngineRole
from shallotmux.placement._prompt import Prompt

#: Wait for each queued request at an engine without a free slot.
WAIT_PER_QUEUED_REQUEST_MS = 20.0


@dataclass(frozen=True, slots=True)
class EngineView:
    """Snapshot of what is known of one engine.

    :param prefill_tokens_per_ms: speed of prefill.
    :param backlog_tokens: prompt tokens queued for prefill.
    :param running: estimated number of requests there.
    :param slots: requests that it runs at the same time.
    :param cached_prefixes: prefixes that are assumed to be in its cache.
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
        """Return the estimated time before it starts the prefill of a new prompt."""
        queued = max(0.0, self.running - self.slots)
        return (
            self.backlog_tokens / self.prefill_tokens_per_ms + queued * WAIT_PER_QUEUED_REQUEST_MS
        )

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


@dataclass(frozen=True, slots=True)
class Placement:
    """Engines chosen for a request.

    :param decode: engine that generates the answer.
    :param prefill: engine that prefills the prompt; None if the decode engine does.
    :param expected_ms: expected time to the first token.
    :param reason: kind of placement, for logs.
    :param uncached_tokens: tokens that need prefill.
    :param fetch_from: engine from which the one that prefills fetches cached parts, if any.
    :param wait_ms: part of the expected time that is spent waiting for other requests.
    :param fetch_ms: part of the expected time in which cached parts are fetched.
    """

    decode: str
    prefill: str | None
    expected_ms: float
    reason: str
    uncached_tokens: float = 0.0
    fetch_from: str | None = None
    wait_ms: float = 0.0
    fetch_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request to place on engines.

    :param zone: availability zone from which it is sent.
    :param transfer_tokens_per_ms: speed of KV cache transfers between engines.
    :param max_direct_tokens: uncached tokens up to which a decode engine may prefill without delaying
        its streams too much.
    """

    prompt: Prompt
    zone: str
    transfer_tokens_per_ms: float
    max_direct_tokens: float
