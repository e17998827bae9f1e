"""Run calls of plain services."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from shallotmux.authority import Figures
from shallotmux.engines import ServiceCall, ServiceClient, ServiceResult
from shallotmux.errors import EndpointError, EndpointRefused
from shallotmux.requests._jobs import Run
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
    judge,
)
from shallotmux.requests._queues import Ticket
from shallotmux.requests._request import RequestRefused, ServiceAnswer, ServiceRequest, refuse
from shallotmux.requests._retries import draw_backoff

if TYPE_CHECKING:
    from shallotmux.requests._parts import Parts

#: Headers of an answer that are passed on besides the content type.
ANSWER_HEADERS = frozenset(('cache-control', 'content-language', 'etag', 'last-modified'))

#: Content type of an answer that names none.
DEFAULT_TYPE = 'application/octet-stream'


@dataclass(frozen=True, slots=True)
class Failed:
    """An attempt without an answer."""

    message: str
    not_run: bool


class PlainCall:
    """A call of a plain service from admission to its answer."""

    def __init__(self, parts: Parts, client: ServiceClient, request: ServiceRequest) -> None:
        self._parts = parts
        self._client = client
        self._request = request
        self._lifecycle = Lifecycle()
        self._avoid: frozenset[str] = frozenset()
        limit_s = min(parts.settings.job_deadline_s, request.timeout_s)
        self._deadline_s = trio.current_time() + limit_s

    async def run(self) -> Run:
        """Return the answer, or the refusal with what it proves."""
        self._advance(Admit())
        try:
            answer = await self._attempt_until_done()
        except RequestRefused as error:
            self._advance(Refuse())
            return Run(self._lifecycle, error=error)
        self._parts.count_usage(self._request.customer, Figures(requests=1))
        return Run(self._lifecycle, answer=answer)

    async def _attempt_until_done(self) -> ServiceAnswer:
        failures = 0
        while True:
            self._advance(Enqueue())
            outcome = await self._pass()
            if isinstance(outcome, ServiceResult):
                self._parts.budget.succeed()
                return build_answer(outcome)
            failures += 1
            self._check_retry(outcome, failures)
            await trio.sleep(draw_backoff(self._parts.settings, failures, self._parts.random))

    async def _pass(self) -> ServiceResult | Failed:
        """Wait for an endpoint and make one attempt there."""
        settings = self._parts.settings
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
        endpoint = await self._parts.admission.acquire(ticket, self._lifecycle)
        attempt_id = self._parts.new_id()
        self._advance(Dispatch(attempt_id))
        try:
            outcome = await self._exchange(ticket, attempt_id)
            if isinstance(outcome, ServiceResult):
                first_byte_s = trio.current_time() - ticket.bound_s
        finally:
            self._parts.admission.release(ticket, first_byte_s)
        self._settle(endpoint.name, attempt_id, outcome)
        return outcome

    async def _exchange(self, ticket: Ticket, attempt_id: str) -> ServiceResult | Failed:
        request = self._request
        left_s = max(0.0, self._deadline_s - trio.current_time())
        call = ServiceCall(
            attempt_id,
            request.method,
            request.path,
            request.body,
            {**request.headers, 'shallotmux-deadline-s': f'{left_s:.3f}'},
            self._parts.settings.answer_limit_bytes,
        )
        if ticket.endpoint is None:
            raise RuntimeError('the ticket has no endpoint')
        try:
            with trio.move_on_at(self._deadline_s):
                return await self._client.call(ticket.endpoint, call)
        except EndpointRefused as error:
            return Failed(str(error), not_run=True)
        except EndpointError as error:
            return Failed(str(error), not_run=False)
        return Failed('the service did not answer in time', not_run=False)

    def _settle(self, name: str, attempt_id: str, outcome: ServiceResult | Failed) -> None:
        now = trio.current_time()
        if isinstance(outcome, ServiceResult):
            self._advance(Complete(attempt_id))
            self._parts.breakers.succeed(name, 0.0)
        else:
            self._advance(AttemptEnded(attempt_id, outcome.not_run))
            self._parts.breakers.fail(name, now)
            self._avoid |= {name}

    def _check_retry(self, failed: Failed, failures: int) -> None:
        """Raise a refusal unless the call may be made again.

        :raises RequestRefused: if it may have run and must not be repeated, or at the limits.
        """
        settings = self._parts.settings
        not_run = judge(self._lifecycle) == Outcome.NOT_RUN
        now = trio.current_time()
        allowed = not_run or self._request.route.repeatable
        in_time = failures < settings.attempts and now < self._deadline_s
        if allowed and in_time and self._parts.budget.spend(now):
            return
        if not_run:
            raise refuse(self._lifecycle, failed.message, code='not_run', retry_after_s=1)
        raise refuse(self._lifecycle, failed.message, code='outcome_unknown', status=502)

    def _advance(self, event: Event) -> None:
        self._lifecycle = advance(self._lifecycle, event)


def build_answer(result: ServiceResult) -> ServiceAnswer:
    """Return what a caller gets of a service's answer."""
    kept = tuple(
        (name, text) for name, text in sorted(result.headers.items()) if name in ANSWER_HEADERS
    )
    content_type = result.headers.get('content-type', DEFAULT_TYPE)
    return ServiceAnswer(result.status, content_type, result.body, kept)
