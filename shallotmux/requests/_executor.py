"""Execution of requests on endpoints."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass
from itertools import chain

import trio

from shallotmux.decisions import RoutingDecision
from shallotmux.engines import CachePoller, LoadPoller, LoadTable
from shallotmux.observability import DecisionRecord
from shallotmux.requests._admission import Admission, AdmissionDependencies
from shallotmux.requests._attempts import ModelCall
from shallotmux.requests._context import CallContext, ExecutorDependencies, draw_incarnation
from shallotmux.requests._crashes import CrashTracker
from shallotmux.requests._event_buffer import EventBuffer
from shallotmux.requests._jobs import Jobs
from shallotmux.requests._limits import InstanceDemand
from shallotmux.requests._queues import Ticket
from shallotmux.requests._request import (
    CallerRequest,
    RequestRefused,
    ServiceAnswer,
    ServiceRequest,
)
from shallotmux.requests._retries import Breakers, RetryBudget
from shallotmux.requests._services import PlainServiceCall
from shallotmux.world import Endpoint

#: Seconds between two checks of the keys of open streams. Streams must end within 3 s of the
#: withdrawal of their key or the loss of the authority.
KEY_CHECK_S = 0.5

#: Seconds between two checks whether a draining endpoint or instance is idle.
DRAIN_CHECK_S = 0.05


@dataclass(frozen=True, slots=True)
class DrainResult:
    """Result of draining an endpoint.

    :param moved: number of streams moved to other endpoints.
    :param remaining: number of requests still on the endpoint at the deadline.
    """

    moved: int
    remaining: int


class CallerStalled(ConnectionError):
    """The caller stopped reading, so its connection is closed."""


class RequestExecutor:
    """Admits requests, runs them on endpoints and relays their answers."""

    def __init__(self, dependencies: ExecutorDependencies) -> None:
        self._dependencies = dependencies
        self._accepting = True
        self._model_calls: set[ModelCall] = set()
        self._service_calls = 0
        settings = dependencies.settings
        loads = LoadTable(settings.report_age_limit_s)
        breakers = Breakers(settings)
        incarnation = draw_incarnation()
        name = f'{dependencies.instance}/{incarnation}'
        admission = Admission(
            AdmissionDependencies(
                dependencies.authority,
                settings,
                dependencies.random,
                loads,
                breakers,
                self._record,
                dependencies.routing,
            ),
        )
        self._context = CallContext(
            settings=settings,
            engines=dependencies.engines,
            services=dependencies.services,
            admission=admission,
            crash_tracker=CrashTracker(
                dependencies.authority, dependencies.engines, settings, dependencies.clock, name
            ),
            budget=RetryBudget(settings),
            breakers=breakers,
            random=dependencies.random,
            loads=loads,
            name=name,
            usage=dependencies.usage,
        )
        self._jobs = Jobs(
            dependencies.authority, settings, dependencies.clock, dependencies.instance, incarnation
        )

    @property
    def loads(self) -> LoadTable:
        """Return the load reports that this instance has polled from engines."""
        return self._context.loads

    @property
    def name(self) -> str:
        """Return the name and incarnation of this instance."""
        return self._context.name

    async def run(self) -> None:
        """Poll engines, check keys of open streams and settle jobs until cancelled."""
        poller = LoadPoller(
            self._dependencies.engines,
            self._context.loads,
            self._endpoints,
            self._context.admission.in_flight,
            self._context.admission.apply_report,
            self._context.settings.poll_per_s,
        )
        pool_views = self._context.admission.pool_views
        cache_poller = CachePoller(
            self._dependencies.engines,
            self._endpoints,
            pool_views.apply_cache_events,
            pool_views.reset_cache,
            self._context.settings.cache_poll_per_s,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(poller.run)
            nursery.start_soon(cache_poller.run)
            nursery.start_soon(self._jobs.settle_pending)
            nursery.start_soon(self._watch_keys)

    @asynccontextmanager
    async def stream(self, request: CallerRequest) -> AsyncIterator[EventBuffer]:
        """Run a model request and yield its events once the first one has arrived.

        :raises RequestRefused: if the request did not run or its outcome is unknown.
        :raises CallerStalled: if the caller did not read for ``stalled_caller_s``.
        """
        self._check(request.key_id)
        call = ModelCall(self._context, request)
        self._model_calls.add(call)
        body_error: BaseException | None = None
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_run_call, call, nursery.cancel_scope)
                try:
                    await call.event_buffer.wait_started()
                    yield call.event_buffer
                    call.event_buffer.count_sent()
                except Exception as error:
                    # Raised after the nursery, which would wrap it in an exception group.
                    body_error = error
                nursery.cancel_scope.cancel()
        finally:
            self._model_calls.discard(call)
        if call.stalled:
            raise CallerStalled('the caller stopped reading')
        if body_error is not None:
            raise body_error

    async def call_service(self, request: ServiceRequest) -> ServiceAnswer:
        """Run a call of a plain service and return its complete answer.

        :raises RequestRefused: if there is no answer; ``not_run`` is set only if it did not run.
        """
        self._check(request.key_id)
        if self._context.services is None:
            raise RequestRefused('no plain services', code='no_endpoint', not_run=True)
        call = PlainServiceCall(self._context, self._context.services, request)
        self._service_calls += 1
        try:
            if request.idempotency_key and not request.route.repeatable:
                return await self._jobs.run(request, call.run)
            run = await call.run()
        finally:
            self._service_calls -= 1
        if run.answer is None:
            raise run.error or RuntimeError('a call ended without answer and error')
        return run.answer

    def set_shares(self, shares: Mapping[str, float]) -> None:
        """Set the fraction of each customer's rate limits that this instance may use.

        :param shares: fractions from 0 to 1 by customer; the default for other customers is 1.
        """
        self._context.admission.limits.shares = dict(shares)

    def demand(self) -> InstanceDemand:
        """Return the recent demand, from which the leader derives shares, roles and fleet size."""
        return self._context.admission.demand()

    async def drain(self, endpoint: str, deadline_s: float) -> DrainResult:
        """Drain an endpoint without interrupting its requests.

        It gets no new requests until :meth:`readmit`. Running requests finish; streams that would
        outlast the deadline are resumed on other endpoints ``move_margin_s`` before it.

        :param deadline_s: time on trio's clock at which the endpoint may disappear.
        """
        admission = self._context.admission
        admission.exclude(endpoint)
        moved = 0
        move_at_s = deadline_s - self._context.settings.move_margin_s
        while admission.in_flight(endpoint) and trio.current_time() < deadline_s:
            if trio.current_time() >= move_at_s:
                moved += self._move_from(endpoint)
            await trio.sleep(DRAIN_CHECK_S)
        return DrainResult(moved, admission.in_flight(endpoint))

    def readmit(self, endpoint: str) -> None:
        """Send requests to a drained endpoint again."""
        self._context.admission.include(endpoint)

    async def finish(self) -> None:
        """Refuse new requests as not run and wait until the open ones have ended."""
        self._accepting = False
        while self._model_calls or self._service_calls:
            await trio.sleep(DRAIN_CHECK_S)

    def _move_from(self, endpoint: str) -> int:
        moved = 0
        for call in self._model_calls:
            attempt = call.attempt
            repeatable = call.request.route.repeatable
            if attempt is not None and attempt.endpoint.name == endpoint and repeatable:
                moved += not attempt.moving
                call.move()
        return moved

    def _check(self, key_id: str) -> None:
        if not self._accepting:
            raise RequestRefused(
                'this instance is shutting down',
                code='shutting_down',
                not_run=True,
                retry_after_s=1,
            )
        if key_id and not self._dependencies.authority.is_fresh():
            raise RequestRefused(
                'this instance has lost contact with its zone and cannot check keys',
                code='authority_stale',
                not_run=True,
                retry_after_s=1,
            )

    async def _watch_keys(self) -> None:
        authority = self._dependencies.authority
        while True:
            fresh = authority.is_fresh()
            keys = authority.read().keys.keys
            keyed = [call for call in self._model_calls if call.request.key_id]
            for call in keyed:
                key = keys.get(call.request.key_id)
                if key is None or key.withdrawn:
                    call.stop('the API key was withdrawn', code='key_withdrawn', status=401)
                elif not fresh:
                    call.stop('the zone cannot be reached', code='authority_stale', status=503)
            await trio.sleep(KEY_CHECK_S)

    def _endpoints(self) -> list[Endpoint]:
        state = self._dependencies.authority.read()
        pools = {route.pool for route in state.routes()}
        found = (self._context.admission.endpoints(name) for name in sorted(pools))
        return list(chain.from_iterable(found))

    def _record(self, ticket: Ticket, decision: RoutingDecision) -> None:
        self._dependencies.decisions.record(
            DecisionRecord(
                kind='routing',
                subject=ticket.subject,
                outcome=decision.endpoint.name,
                reason=decision.reason,
                figures={
                    'customer': ticket.customer,
                    'route': ticket.route.name,
                    'sampled': list(decision.sampled),
                    'wait_s': round(decision.wait_s, 4),
                    'prompt_tokens': ticket.prompt_tokens,
                    'uncached_tokens': round(decision.uncached_tokens),
                    'tier': ticket.priority,
                    'share': ticket.share.name.lower(),
                    'excluded': sorted(ticket.avoid),
                },
                time_s=trio.current_time(),
            ),
        )


async def _run_call(call: ModelCall, request_scope: trio.CancelScope) -> None:
    await call.run()
    if call.stalled:
        # The task that serves the caller is blocked in a send and needs to be cancelled.
        request_scope.cancel()
