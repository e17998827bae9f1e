"""Measure the demand in a short and a long window."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from shallotmux.decisions._capacity import WorkDemand

#: Length of a bin, in seconds, and the number of bins kept.
BIN_S = 1.0
BINS = 180

#: Weight of a new request in the running averages.
AVERAGE_WEIGHT = 0.02


@dataclass(slots=True)
class DemandBin:
    """Prompt tokens and expected answer tokens that arrived in a second."""

    start_s: float
    prompt_tokens: float = 0.0
    output_tokens: float = 0.0


@dataclass(slots=True)
class DemandMeter:
    """Counts work at its arrival, so that a queue does not hide a rise.

    The part of prompts that is not cached and the length of answers are known only later; running
    averages of both are applied to what arrives.

    :param uncached: running average of the uncached part of prompt tokens.
    :param output: running average of tokens in an answer.
    """

    bins: deque[DemandBin] = field(default_factory=lambda: deque(maxlen=BINS))
    uncached: float = 1.0
    output: float = 200.0

    def arrive(self, now: float, prompt_tokens: float) -> None:
        """Count a request."""
        if not self.bins or now >= self.bins[-1].start_s + BIN_S:
            self.bins.append(DemandBin(now - now % BIN_S))
        self.bins[-1].prompt_tokens += prompt_tokens
        self.bins[-1].output_tokens += self.output

    def dispatch(self, prompt_tokens: float, uncached_tokens: float) -> None:
        """Note how much of a prompt is not cached."""
        if prompt_tokens:
            share = uncached_tokens / prompt_tokens
            weight = min(1.0, AVERAGE_WEIGHT * prompt_tokens / 2048)
            self.uncached += weight * (share - self.uncached)

    def finish(self, output_tokens: float) -> None:
        """Note the length of an answer."""
        self.output += AVERAGE_WEIGHT * (output_tokens - self.output)

    def window(self, now: float, length_s: float) -> WorkDemand:
        """Return the mean demand over the last seconds."""
        recent = [each for each in self.bins if now - length_s <= each.start_s < now]
        span = min(length_s, max(BIN_S, now))
        return WorkDemand(
            sum(each.prompt_tokens for each in recent) * self.uncached / span,
            sum(each.output_tokens for each in recent) / span,
        )
