"""Charge a request to the quota of its customer before it is sent to an endpoint."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from shallotmux.forwarding._job import Job
from shallotmux.forwarding._outcome import NOT_RUN_STATUSES
from shallotmux.forwarding._refusals import Refusal
from shallotmux.quotas import Charge, CustomerQuotas, OverQuota

#: Status of refusals of requests over the quota. It guarantees that the request did not run.
OVER_QUOTA_STATUS = 429


@dataclass(frozen=True, slots=True)
class QuotaGate:
    """Charges requests once, at the instance that took them.

    A peer that relays a request does not charge it, as it never passes this gate there.
    """

    quotas: CustomerQuotas | None = None

    async def run(
        self, job: Job, run: Callable[[Job], Awaitable[Refusal | None]]
    ) -> Refusal | None:
        """Charge a job and run it; what it did not use is given back."""
        if self.quotas is None or not job.quota_amount:
            return await run(job)
        refusal = await self._charge(job)
        if refusal is not None:
            return refusal
        has_ended = False
        try:
            refusal = await run(job)
            has_ended = True
        finally:
            if has_ended:
                may_have_run = refusal is None or refusal.status not in NOT_RUN_STATUSES
            else:
                may_have_run = job.sends > 0
            # An engine has worked on a request that was prefilled.
            if not may_have_run and not job.prefills:
                self._give_back(job)
        return refusal

    async def renew(self, job: Job) -> Refusal | None:
        """Charge a job again if its charge is too old, and it has run nowhere.

        What is charged must arrive at an endpoint soon, as the use in a window could exceed the bound
        otherwise.
        """
        charge = job.charge
        if charge is None or job.runs or job.prefills or trio.current_time() <= charge.send_by:
            return None
        self._give_back(job)
        return await self._charge(job)

    async def _charge(self, job: Job) -> Refusal | None:
        if self.quotas is None:
            return None
        verdict = await self.quotas.charge(job.customer, job.quota_amount)
        match verdict:
            case Charge():
                job.charge = verdict
            case OverQuota():
                return Refusal(OVER_QUOTA_STATUS, 'over the quota', verdict.retry_after_s)
        return None

    def _give_back(self, job: Job) -> None:
        if self.quotas is not None and job.charge is not None:
            self.quotas.give_back(job.charge)
            job.charge = None
