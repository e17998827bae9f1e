"""Measure the demand over sliding windows."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from shallotmux.decisions._capacity import WorkDemand

#: Length of a bin, in seconds, and the number of bins kept.
BIN_S = 1.0
BINS = 180

#: Smoothing factor of a new request in the moving averages.
AVERAGE_WEIGHT = 0.02


@dataclass(slots=True)
class DemandBin:
    """Prompt tokens and expected output tokens of the requests that arrived in one bin."""

    start_s: float
    prompt_tokens: float = 0.0
    output_tokens: float = 0.0


@dataclass(slots=True)
class DemandMeter:
    """Meter of the demand, which counts work on arrival so that a queue does not hide an increase.

    The uncached fraction of a prompt and the length of its answer become known only later.
    Therefore the moving averages of both are applied to arriving requests.

    :param uncached_fraction: moving average of the uncached fraction of prompt tokens.
    :param mean_output_tokens: moving average of the output tokens of a request.
    """

    bins: deque[DemandBin] = field(default_factory=lambda: deque(maxlen=BINS))
    uncached_fraction: float = 1.0
    mean_output_tokens: float = 200.0

    def record_arrival(self, now: float, prompt_tokens: float) -> None:
        """Record the arrival of a request."""
        if not self.bins or now >= self.bins[-1].start_s + BIN_S:
            self.bins.append(DemandBin(now - now % BIN_S))
        self.bins[-1].prompt_tokens += prompt_tokens
        self.bins[-1].output_tokens += self.mean_output_tokens

    def dispatch(self, prompt_tokens: float, uncached_tokens: float) -> None:
        """Record how many tokens of a dispatched prompt are not cached."""
        if prompt_tokens:
            share = uncached_tokens / prompt_tokens
            weight = min(1.0, AVERAGE_WEIGHT * prompt_tokens / 2048)
            self.uncached_fraction += weight * (share - self.uncached_fraction)

    def record_output(self, output_tokens: float) -> None:
        """Record the output tokens of a finished request."""
        self.mean_output_tokens += AVERAGE_WEIGHT * (output_tokens - self.mean_output_tokens)

    def window(self, now: float, length_s: float) -> WorkDemand:
        """Return the mean demand over the last ``length_s`` seconds."""
        recent = [each for each in self.bins if now - length_s <= each.start_s < now]
        span = min(length_s, max(BIN_S, now))
        return WorkDemand(
            sum(each.prompt_tokens for each in recent) * self.uncached_fraction / span,
            sum(each.output_tokens for each in recent) / span,
        )
