"""Decide whether a request is sent to another endpoint, and when."""

from __future__ import annotations

from dataclasses import dataclass

from shallotmux.forwarding._attempt import AttemptResult
from shallotmux.forwarding._budget import SharedRetryBudget
from shallotmux.forwarding._directory import EndpointDirectory
from shallotmux.forwarding._job import Job
from shallotmux.forwarding._outcome import Outcome

#: Times that a request is sent to endpoints before it is refused.
MAX_SENDS = 4

#: Multiple of a route's latency objective after which a repeatable request is tried elsewhere.
ANSWER_TIMEOUT_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Applies the limits of routes and the retry budget."""

    directory: EndpointDirectory
    budget: SharedRetryBudget

    def answer_timeout_s(self, job: Job) -> float:
        """Return the time to the start of an answer after which another endpoint is tried."""
        objective_s = job.route.latency_objective_ms / 1000
        return ANSWER_TIMEOUT_FACTOR * objective_s if objective_s else float('inf')

    def has_attempts_left(self, job: Job, runs: int) -> bool:
        """Return whether another attempt is allowed after a number of runs."""
        return runs < job.route.max_attempts and job.sends + 1 < MAX_SENDS

    def may_retry(self, job: Job, result: AttemptResult) -> bool:
        """Return whether another attempt is allowed after a failed one."""
        if job.reply.is_started and (job.events is None or not job.events.can_be_continued):
            # Only a stream of events with ids can be resumed, after a complete event.
            return False
        if job.reply.is_started and job.relayed_for:
            # The instance that took the request resumes the stream, as it knows what the caller has.
            return False
        if result.retry_after_s is not None:
            return False
        if result.outcome is not Outcome.NOT_RUN:
            if not job.route.is_repeatable or job.runs >= job.route.max_attempts:
                return False
        version = job.stream_version
        if version is not None and not self.directory.has_version(job.service, version):
            return False
        # The next attempt is no retry if nothing was sent so far.
        return not job.sends or self.budget.try_spend(job.service)
