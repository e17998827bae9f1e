"""Compare what was expected of attempts with what happened."""

from __future__ import annotations

from dataclasses import dataclass

import trio

from shallotmux.estimates import Estimator
from shallotmux.forwarding._attempt import AttemptResult
from shallotmux.forwarding._job import Job
from shallotmux.forwarding._metrics import ForwardingMetrics
from shallotmux.forwarding._relay import MIN_ERROR_STATUS
from shallotmux.forwarding._state import Target
from shallotmux.forwarding._zones import ZoneFollower


@dataclass(frozen=True, slots=True)
class OutlookCheck:
    """Compares the real times of attempts with their estimates, and learns from the difference."""

    estimator: Estimator
    metrics: ForwardingMetrics
    zones: ZoneFollower

    def check(self, job: Job, target: Target, result: AttemptResult) -> None:
        """Record an attempt that has ended, if its answer shows how long the work took."""
        outlook = target.outlook
        if outlook is None or not result.is_delivered or result.status >= MIN_ERROR_STATUS:
            return
        first_part_at = job.request.received_at + job.first_part_s
        if not job.first_part_s or first_part_at < outlook.chosen_at:
            # Without a body, or the first part came from an attempt before.
            return
        real_ms = 1000 * (first_part_at - outlook.placed_at)
        ratio = real_ms / max(0.1, outlook.expected_ms)
        self.zones.record_answer(job, outlook.estimate.service_ms)
        self.metrics.estimate_ratio.labels(job.service).observe(ratio)
        self.estimator.record(
            target.state,
            outlook.estimate,
            1000 * (first_part_at - outlook.chosen_at),
            trio.current_time(),
        )
