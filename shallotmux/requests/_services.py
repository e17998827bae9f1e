"""Execution of calls of plain services."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from shallotmux.authority import Figures
from shallotmux.engines import ServiceCall, ServiceClient, ServiceResult
from shallotmux.errors import EndpointError, EndpointRefused
from shallotmux.requests._jobs import DispatchResult
from shallotmux.requests._lifecycle import (
    Admit,
    AttemptEnded,
    Complete,
    Dispatch,
    Enqueue,
    Event,
    Lifecycle,
    Outcome,
    Refuse,
    advance,
    determine_outcome,
)
from shallotmux.requests._queues import Ticket
from shallotmux.requests._request import RequestRefused, ServiceAnswer, ServiceRequest, refuse
from shallotmux.requests._retries import draw_backoff

if TYPE_CHECKING:
    from shallotmux.requests._context import CallContext

#: Headers of an answer that are forwarded in addition to the content type.
ANSWER_HEADERS = frozenset(('cache-control', 'content-language', 'etag', 'last-modified'))

#: Content type of an answer without one.
DEFAULT_TYPE = 'application/octet-stream'


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """An attempt without an answer."""

    message: str
    not_run: bool


class PlainServiceCall:
    """Execution of a call of a plain service from admission to its answer."""

    def __init__(
        self, context: CallContext, client: ServiceClient, request: ServiceRequest
    ) -> None:
        self._context = context
        self._client = client
        self._request = request
        self._lifecycle = Lifecycle()
        self._avoid: frozenset[str] = frozenset()
        limit_s = min(context.settings.job_deadline_s, request.timeout_s)
        self._deadline_s = trio.current_time() + limit_s

    async def run(self) -> DispatchResult:
        """Run the call and return its answer, or its error."""
        self._advance(Admit())
        try:
            answer = await self._attempt_until_done()
        except RequestRefused as error:
            self._advance(Refuse())
            return DispatchResult(self._lifecycle, error=error)
        self._context.count_usage(self._request.customer, Figures(requests=1))
        return DispatchResult(self._lifecycle, answer=answer)

    async def _attempt_until_done(self) -> ServiceAnswer:
        failures = 0
        while True:
            self._advance(Enqueue())
            outcome = await self._run_attempt()
            if isinstance(outcome, ServiceResult):
                self._context.budget.record_success()
                return build_answer(outcome)
            failures += 1
            self._check_retry(outcome, failures)
            await trio.sleep(draw_backoff(self._context.settings, failures, self._context.random))

    async def _run_attempt(self) -> ServiceResult | FailedAttempt:
        """Wait for an endpoint and run one attempt on it."""
        settings = self._context.settings
        ticket = Ticket(
            subject=self._request.request_id,
            customer=self._request.customer,
            route=self._request.route,
            deadline_s=min(self._deadline_s, trio.current_time() + settings.queue_wait_s),
            started=bool(self._lifecycle.attempts),
            repeatable=self._request.route.repeatable,
            avoid=self._avoid,
        )
        first_byte_s = None
        endpoint = await self._context.admission.acquire(ticket, self._lifecycle)
        attempt_id = self._context.new_id()
        self._advance(Dispatch(attempt_id))
        try:
            outcome = await self._exchange(ticket, attempt_id)
            if isinstance(outcome, ServiceResult):
                first_byte_s = trio.current_time() - ticket.bound_s
        finally:
            self._context.admission.release(ticket, first_byte_s)
        self._record_outcome(endpoint.name, attempt_id, outcome)
        return outcome

    async def _exchange(self, ticket: Ticket, attempt_id: str) -> ServiceResult | FailedAttempt:
        request = self._request
        left_s = max(0.0, self._deadline_s - trio.current_time())
        call = ServiceCall(
            attempt_id,
            request.method,
            request.path,
            request.body,
            {**request.headers, 'shallotmux-deadline-s': f'{left_s:.3f}'},
            self._context.settings.answer_limit_bytes,
        )
        if ticket.endpoint is None:
            raise RuntimeError('the ticket has no endpoint')
        try:
            with trio.move_on_at(self._deadline_s):
                return await self._client.call(ticket.endpoint, call)
        except EndpointRefused as error:
            return FailedAttempt(str(error), not_run=True)
        except EndpointError as error:
            return FailedAttempt(str(error), not_run=False)
        return FailedAttempt('the service did not answer in time', not_run=False)

    def _record_outcome(
        self, name: str, attempt_id: str, outcome: ServiceResult | FailedAttempt
    ) -> None:
        now = trio.current_time()
        if isinstance(outcome, ServiceResult):
            self._advance(Complete(attempt_id))
            self._context.breakers.record_success(name, 0.0)
        else:
            self._advance(AttemptEnded(attempt_id, outcome.not_run))
            self._context.breakers.record_failure(name, now)
            self._avoid |= {name}

    def _check_retry(self, failed: FailedAttempt, failures: int) -> None:
        """Check that the call may be retried.

        :raises RequestRefused: if it may have run and is not repeatable, or if attempts, time or
            the retry budget are exhausted.
        """
        settings = self._context.settings
        not_run = determine_outcome(self._lifecycle) == Outcome.NOT_RUN
        now = trio.current_time()
        allowed = not_run or self._request.route.repeatable
        in_time = failures < settings.attempts and now < self._deadline_s
        if allowed and in_time and self._context.budget.try_spend(now):
            return
        if not_run:
            raise refuse(self._lifecycle, failed.message, code='not_run', retry_after_s=1)
        raise refuse(self._lifecycle, failed.message, code='outcome_unknown', status=502)

    def _advance(self, event: Event) -> None:
        self._lifecycle = advance(self._lifecycle, event)


def build_answer(result: ServiceResult) -> ServiceAnswer:
    """Return the part of a service's answer that is forwarded to the caller."""
    kept = tuple(
        (name, text) for name, text in sorted(result.headers.items()) if name in ANSWER_HEADERS
    )
    content_type = result.headers.get('content-type', DEFAULT_TYPE)
    return ServiceAnswer(result.status, content_type, result.body, kept)
