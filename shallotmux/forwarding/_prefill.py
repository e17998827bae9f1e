"""Prefill a prompt on one engine, for another one that generates."""

from __future__ import annotations

from dataclasses import dataclass

import trio
from eliot import log_message

from shallotmux.errors import EndpointError
from shallotmux.estimates import EndpointEstimate, Estimator
from shallotmux.forwarding._admission import Dialect
from shallotmux.forwarding._budget import SharedRetryBudget
from shallotmux.forwarding._directory import EndpointDirectory
from shallotmux.forwarding._endpoint import (
    CONNECT_TIMEOUT_S,
    ConnectionUnusable,
    EndpointConnection,
    LocalResourcesSpent,
)
from shallotmux.forwarding._headers import Headers
from shallotmux.forwarding._job import Job
from shallotmux.forwarding._outcome import Outcome, classify_answer
from shallotmux.forwarding._pool import ConnectionPool
from shallotmux.forwarding._quota_gate import QuotaGate
from shallotmux.forwarding._state import EndpointState, InFlightWork
from shallotmux.placement import PrefillMeasurement
from shallotmux.quotas import Charge, OverQuota

#: Timeout of a prefill: a multiple of the expected time, plus a margin.
PREFILL_TIMEOUT_FACTOR = 2.5
PREFILL_TIMEOUT_MARGIN_MS = 1500.0

#: Status of a successful prefill.
ACCEPTED_STATUS = 200


@dataclass(frozen=True, slots=True)
class PrefillCall:
    """A prefill to be sent to an engine.

    :param extra: further headers of the call.
    :param uncached_tokens: prompt tokens that the engine does not have in its cache.
    :param expected_ms: expected time to the first token, of which the duration is a part.
    :param estimate: expected duration.
    :param backlog_tokens: tokens that are queued at the engine before this prompt.
    :param fetch_ms: part of the duration in which cached parts are fetched.
    """

    state: EndpointState
    extra: Headers
    uncached_tokens: float
    expected_ms: float
    estimate: EndpointEstimate
    backlog_tokens: float = 0.0
    fetch_ms: float = 0.0

    @property
    def timeout_s(self) -> float:
        """Return the timeout, which a correction lengthens but never shortens.

        Only prefills that have ended are learned from, so corrected times may be too short.
        """
        expected_ms = max(self.expected_ms, self.estimate.base)
        return (PREFILL_TIMEOUT_FACTOR * expected_ms + PREFILL_TIMEOUT_MARGIN_MS) / 1000


class PrefillClient:
    """Sends prompts to engines for prefill only.

    :param budget: is charged for failed calls, which count as retries.
    :param estimator: learns from the duration of each prefill.
    :param quota_gate: charges what is sent.
    """

    def __init__(
        self,
        dialect: Dialect,
        pool: ConnectionPool,
        directory: EndpointDirectory,
        budget: SharedRetryBudget,
        estimator: Estimator,
        quota_gate: QuotaGate,
    ) -> None:
        self._quota_gate = quota_gate
        self._estimator = estimator
        self._dialect = dialect
        self._pool = pool
        self._directory = directory
        self._budget = budget

    async def run_prefill(self, job: Job, call: PrefillCall) -> str | None:
        """Prefill the prompt of a job on an engine.

        :returns: the handle of the KV cache, None if the prefill failed or timed out.
        """
        state = call.state
        if not self._directory.take_permit(state):
            return None
        sent_at = trio.current_time()
        with trio.move_on_after(call.timeout_s):
            return await self._exchange(job, call)
        self._budget.charge(job.service)
        if state.answered_at < sent_at:
            # An engine that answered another request meanwhile is only busy; avoiding it would
            # overload the others.
            self._directory.record_unresponsive(state, 'prefill timed out')
        return None

    async def _exchange(self, job: Job, call: PrefillCall) -> str | None:
        state = call.state
        extra = (*self._dialect.prefill_headers, *call.extra)
        outgoing = job.build_outgoing(self._dialect.names, state.identity, extra)
        connection: EndpointConnection | None = None
        sent_at = trio.current_time()
        charge: Charge | OverQuota | None = None
        is_begun = False
        work = InFlightWork(state, call.uncached_tokens, lambda: True)
        try:
            with work, work.scope:
                connection = await self._pool.acquire(
                    state.identity, state.listed.address, float('inf'), CONNECT_TIMEOUT_S
                )
                work.connection = connection
                if state.is_resting(trio.current_time()):
                    return None
                charge = await self._quota_gate.take(job)
                if isinstance(charge, OverQuota):
                    return None
                sent_at = trio.current_time()
                connection.begin(outgoing)
                is_begun = True
                await connection.send_request()
                handle = await self._read_answer(job, state, connection, work, charge)
                if handle is not None:
                    self._quota_gate.cover_decode(job, charge)
                    self._measure(job, call, sent_at)
                return handle
            if work.was_sent:
                # Given up since the service is out of reach; the engine may still have accepted it.
                self._budget.charge(job.service)
        except LocalResourcesSpent:
            return None
        except ConnectionUnusable as error:
            self._directory.record_unreachable(state, str(error))
        except EndpointError as error:
            self._directory.record_suspected_crash(state, job, sent_at)
            self._budget.charge(job.service)
            self._directory.record_failure(state, str(error))
        finally:
            if isinstance(charge, Charge) and not (is_begun and connection and connection.was_sent):
                self._quota_gate.put_back(job, charge)
            if connection is not None:
                self._pool.release(state.identity, connection)
        return None

    def _measure(self, job: Job, call: PrefillCall, sent_at: float) -> None:
        now = trio.current_time()
        duration_ms = (now - sent_at) * 1000
        self._estimator.speeds.record(
            PrefillMeasurement(
                job.service,
                call.state.identity,
                call.uncached_tokens,
                call.backlog_tokens,
                duration_ms,
                now,
                call.fetch_ms,
                call.estimate.pace,
            )
        )
        self._estimator.record(call.state, call.estimate, duration_ms, now)

    async def _read_answer(
        self,
        job: Job,
        state: EndpointState,
        connection: EndpointConnection,
        work: InFlightWork,
        charge: Charge | None,
    ) -> str | None:
        head = await connection.receive_head()
        work.record_answer()
        self._directory.record_head(state, work.sent_at, head, self._dialect.names)
        content = await connection.receive_body()
        outcome = classify_answer(head, self._dialect.names)
        if outcome is Outcome.NOT_RUN:
            self._quota_gate.put_back(job, charge)
        if outcome is not Outcome.DONE or head.status != ACCEPTED_STATUS or job.prompt is None:
            self._directory.record_refusal(state, head.status, work.sent_at)
            self._budget.charge(job.service)
            log_message(
                message_type='shallotmux:prefill-refused',
                request=job.request_id.decode('latin-1'),
                endpoint=state.identity,
                status=head.status,
            )
            return None
        state.record_prompt(job.prompt)
        state.record_success()
        return self._dialect.read_handle(content)
