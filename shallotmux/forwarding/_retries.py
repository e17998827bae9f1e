"""Decide whether a request is sent to another endpoint, and when."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from shallotmux.forwarding._attempt import AttemptResult
from shallotmux.forwarding._budget import SharedRetryBudget
from shallotmux.forwarding._directory import EndpointDirectory
from shallotmux.forwarding._job import Job
from shallotmux.forwarding._outcome import Outcome
from shallotmux.forwarding._state import Target

#: Times that a request is sent to endpoints before it is refused.
MAX_SENDS = 4

#: Multiple of a route's latency objective after which a repeatable request is tried elsewhere.
ANSWER_TIMEOUT_FACTOR = 2.0

#: Multiple of the time of an endpoint that a peer gets, as it tries another endpoint itself.
PEER_TIMEOUT_FACTOR = 2.0

#: Part of the remaining time that a peer gets at least. Each peer may run the request several times,
#: so that only one that has stopped answering is replaced.
PEER_TIME_SHARE = 0.5


#: Multiple of the usual time to an answer after which another endpoint is tried, if that is later.
USUAL_TIME_FACTOR = 2.0

#: Part of the remaining time that is waited at most on account of the usual time, so that another
#: attempt can still answer.
MAX_TIME_SHARE = 0.5

#: Weight of the newest answer in the usual time.
NEWEST_WEIGHT = 0.1

#: Routes of which the usual time is remembered.
MAX_ROUTES = 2048


@dataclass(slots=True)
class AnswerTimes:
    """Tells how long answers usually take, by route.

    Where all endpoints are slow, a repeat is no sooner than the first attempt. It would use up the retry
    budget, which the requests at an endpoint that is silent for good need.
    """

    _usual: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def record(self, route: str, took_s: float) -> None:
        """Record the time from the start of an attempt to the start of its answer."""
        usual_s = self._usual.pop(route, took_s)
        self._usual[route] = usual_s + NEWEST_WEIGHT * (took_s - usual_s)
        if len(self._usual) > MAX_ROUTES:
            self._usual.popitem(last=False)

    def of(self, route: str) -> float:
        """Return the usual time of a route; 0 if it is not known."""
        return self._usual.get(route, 0.0)


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Applies the limits of routes and the retry budget."""

    directory: EndpointDirectory
    budget: SharedRetryBudget
    answer_times: AnswerTimes = field(default_factory=AnswerTimes)

    def answer_timeout_s(self, job: Job, target: Target) -> float:
        """Return the time to the start of an answer after which another endpoint is tried."""
        objective_s = job.route.latency_objective_ms / 1000
        timeout_s = ANSWER_TIMEOUT_FACTOR * objective_s if objective_s else float('inf')
        if target.peer is None:
            usual_s = USUAL_TIME_FACTOR * self.answer_times.of(job.route.name)
            return max(timeout_s, min(usual_s, MAX_TIME_SHARE * job.remaining_s))
        return max(PEER_TIMEOUT_FACTOR * timeout_s, PEER_TIME_SHARE * job.remaining_s)

    def has_attempts_left(self, job: Job, runs: int) -> bool:
        """Return whether another attempt is allowed after a number of runs."""
        return runs < job.route.max_attempts and job.sends + 1 < MAX_SENDS

    def reserve(self, job: Job, runs: int) -> bool:
        """Charge the next retry to the budget, before the attempt that it replaces is given up.

        :param runs: runs of the job, those in progress included.
        """
        is_allowed = job.route.is_repeatable and self._may_follow(job)
        if not (is_allowed and self.has_attempts_left(job, runs)):
            # A retry that was reserved for another attempt does not help this one.
            return False
        if not job.is_retry_reserved:
            job.is_retry_reserved = self.budget.try_spend(job.service)
        return job.is_retry_reserved

    def may_retry(self, job: Job, result: AttemptResult) -> bool:
        """Return whether another attempt is allowed after a failed one."""
        if not self._may_follow(job) or result.retry_after_s is not None:
            return False
        if result.outcome is not Outcome.NOT_RUN:
            if not job.route.is_repeatable or job.runs >= job.route.max_attempts:
                return False
        if job.is_retry_reserved:
            job.is_retry_reserved = False
            return True
        # The next attempt is no retry if nothing was sent so far.
        return not job.sends or self.budget.try_spend(job.service)

    def _may_follow(self, job: Job) -> bool:
        """Return whether another answer may follow what the caller already has."""
        if job.reply.is_started and (job.events is None or not job.events.can_be_continued):
            # Only a stream of events with ids can be resumed, after a complete event.
            return False
        if job.reply.is_started and job.relayed_for:
            # The instance that took the request resumes the stream, as it knows what the caller has.
            return False
        version = job.stream_version
        return version is None or self.directory.has_version(job.service, version)
