"""Charge requests to the quotas of their customers before they are sent to endpoints."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from math import inf

import trio

from shallotmux.forwarding._job import Job
from shallotmux.forwarding._refusals import Refusal
from shallotmux.quotas import Charge, CustomerQuotas, OverQuota

#: Status of refusals of requests over the quota. It guarantees that the request did not run.
OVER_QUOTA_STATUS = 429

#: Reason of these refusals.
OVER_QUOTA = 'over the quota'

_Run = Callable[[Job], Awaitable[Refusal | None]]


@dataclass(slots=True)
class QuotaGate:
    """Charges a request when it is admitted, and once more for each further endpoint that may run it.

    An attempt takes the charge of the job just before its first byte is sent, and puts it back if the
    request certainly did not run. So a charge is given back if no attempt has used it, whatever the
    caller is told.
    """

    quotas: CustomerQuotas | None = None

    async def run(self, job: Job, run: _Run) -> Refusal | None:
        """Charge a job and run it; what no attempt has used is given back."""
        if self.quotas is None or not job.quota_amount:
            return await run(job)
        match await self.quotas.charge(job.customer, job.quota_amount):
            case OverQuota(retry_after_s=retry_after_s):
                return Refusal(OVER_QUOTA_STATUS, OVER_QUOTA, retry_after_s)
            case Charge() as charge:
                job.charge = charge
        return await self._run_charged(job, run)

    async def run_relayed(self, job: Job, run: _Run) -> Refusal | None:
        """Run a job that the instance that took it has charged."""
        if self.quotas is None or not job.quota_amount:
            return await run(job)
        send_by = trio.current_time() + job.charged_s
        job.charge = Charge(job.customer, job.quota_amount, send_by, is_prepaid=True)
        return await self._run_charged(job, run)

    async def take(self, job: Job) -> Charge | OverQuota | None:
        """Return the charge for an attempt that is sent now; None without a quota.

        What is charged must arrive at an endpoint soon, as the use in a window could exceed the bound
        otherwise. So a charge that is too old is replaced.
        """
        if self.quotas is None or not job.quota_amount:
            return None
        charge = job.charge
        job.charge = None
        if charge is not None:
            if trio.current_time() <= charge.send_by:
                return charge
            self._give_back(charge)
        return await self.quotas.charge(job.customer, job.quota_amount)

    def put_back(self, job: Job, charge: Charge | None) -> None:
        """Take the charge of an attempt that did not run; the next attempt can use it."""
        if charge is None:
            return
        if job.charge is None:
            job.charge = charge
        else:
            self._give_back(charge)

    def cover_decode(self, job: Job, charge: Charge | None) -> None:
        """Let the engine that generates use the charge of an accepted prefill, whenever that is."""
        if charge is not None:
            job.has_used_charge = True
            self.put_back(job, replace(charge, send_by=inf, is_prepaid=True))

    async def _run_charged(self, job: Job, run: _Run) -> Refusal | None:
        try:
            return await run(job)
        finally:
            charge = job.charge
            job.charge = None
            job.has_used_charge |= charge is None
            if charge is not None:
                self._give_back(charge)

    def _give_back(self, charge: Charge) -> None:
        if self.quotas is not None and not charge.is_prepaid:
            self.quotas.give_back(charge)
