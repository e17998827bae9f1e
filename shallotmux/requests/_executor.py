"""Run requests on endpoints and relay their answers."""

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
from shallotmux.requests._event_buffer import EventBuffer
from shallotmux.requests._jobs import Jobs
from shallotmux.requests._limits import InstanceDemand
from shallotmux.requests._parts import ExecutorDependencies, Parts, draw_incarnation
from shallotmux.requests._queues import Ticket
from shallotmux.requests._request import (
    CallerRequest,
    RequestRefused,
    ServiceAnswer,
    ServiceRequest,
)
from shallotmux.requests._retries import Breakers, RetryBudget
from shallotmux.requests._services import PlainCall
from shallotmux.requests._suspects import Suspects
from shallotmux.world import Endpoint

#: Seconds between two checks of the keys of open streams. A withdrawn key and a lost authority
#: must end streams within 3 s.
KEY_CHECK_S = 0.5

#: Seconds between two checks whether a draining endpoint is empty.
DRAIN_CHECK_S = 0.05


@dataclass(frozen=True, slots=True)
class Drained:
    """What became of the requests on a drained endpoint.

    :param moved: streams that were resumed elsewhere.
    :param remaining: requests still on the endpoint at the deadline.
    """

    moved: int
    remaining: int


class CallerStalled(ConnectionError):
    """The caller stopped reading, so its connection is closed."""


class RequestExecutor:
    """Admits requests, runs them, and relays the event streams of engines."""

    def __init__(self, tools: ExecutorDependencies) -> None:
        self._tools = tools
        self._accepting = True
        self._open: set[ModelCall] = set()
        self._calls = 0
        settings = tools.settings
        loads = LoadTable(settings.report_age_limit_s)
        breakers = Breakers(settings)
        incarnation = draw_incarnation()
        name = f'{tools.instance}/{incarnation}'
        admission = Admission(
            AdmissionDependencies(
                tools.authority,
                settings,
                tools.random,
                loads,
                breakers,
                self._record,
                tools.routing,
            ),
        )
        self._parts = Parts(
            settings=settings,
            engines=tools.engines,
            services=tools.services,
            admission=admission,
            suspects=Suspects(tools.authority, tools.engines, settings, tools.clock, name),
            budget=RetryBudget(settings),
            breakers=breakers,
            random=tools.random,
            loads=loads,
            name=name,
            usage=tools.usage,
        )
        self._jobs = Jobs(tools.authority, settings, tools.clock, tools.instance, incarnation)

    @property
    def loads(self) -> LoadTable:
        """Return the load reports of the engines as this instance has polled them."""
        return self._parts.loads

    @property
    def name(self) -> str:
        """Return the name and incarnation of this instance."""
        return self._parts.name

    async def run(self) -> None:
        """Poll loads, watch keys and settle jobs until cancelled."""
        poller = LoadPoller(
            self._tools.engines,
            self._parts.loads,
            self._endpoints,
            self._parts.admission.in_flight,
            self._parts.admission.take_report,
            self._parts.settings.poll_per_s,
        )
        lanes = self._parts.admission.lanes
        cache_poller = CachePoller(
            self._tools.engines,
            self._endpoints,
            lanes.follow_cache,
            lanes.restart_cache,
            self._parts.settings.cache_poll_per_s,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(poller.run)
            nursery.start_soon(cache_poller.run)
            nursery.start_soon(self._jobs.settle_pending)
            nursery.start_soon(self._watch_keys)

    @asynccontextmanager
    async def stream(self, request: CallerRequest) -> AsyncIterator[EventBuffer]:
        """Run a request and open its events, which begin when the first one has come.

        :raises RequestRefused: if the request did not run or its outcome is unknown.
        :raises CallerStalled: if the caller did not read for too long.
        """
        self._check(request.key_id)
        call = ModelCall(self._parts, request)
        self._open.add(call)
        body_error: BaseException | None = None
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_run_call, call, nursery.cancel_scope)
                try:
                    await call.event_buffer.wait_started()
                    yield call.event_buffer
                    call.event_buffer.count_sent()
                except Exception as error:
                    # Raised after the nursery has ended, which would wrap it in a group.
                    body_error = error
                nursery.cancel_scope.cancel()
        finally:
            self._open.discard(call)
        if call.stalled:
            raise CallerStalled('the caller stopped reading')
        if body_error is not None:
            raise body_error

    async def call_service(self, request: ServiceRequest) -> ServiceAnswer:
        """Run a call of a plain service and return its whole answer.

        :raises RequestRefused: with the truth on whether the call ran.
        """
        self._check(request.key_id)
        if self._parts.services is None:
            raise RequestRefused('no plain services', code='no_endpoint', not_run=True)
        call = PlainCall(self._parts, self._parts.services, request)
        self._calls += 1
        try:
            if request.idempotency_key and not request.route.repeatable:
                return await self._jobs.run(request, call.run)
            run = await call.run()
        finally:
            self._calls -= 1
        if run.answer is None:
            raise run.error or RuntimeError('a call ended without answer and error')
        return run.answer

    def set_shares(self, shares: Mapping[str, float]) -> None:
        """Set the part of each customer's rate limits that this instance may use.

        :param shares: parts from 0 to 1 by customer; customers that are not named get the whole.
        """
        self._parts.admission.limits.shares = dict(shares)

    def demand(self) -> InstanceDemand:
        """Return the recent demand, from which the leader derives shares, roles and fleet."""
        return self._parts.admission.demand()

    async def drain(self, endpoint: str, deadline_s: float) -> Drained:
        """Take an endpoint out of service without interrupting a request.

        New work stops at once. Running requests finish; streams that would outlast the deadline
        are resumed elsewhere before it. The endpoint gets no work until :meth:`readmit`.

        :param deadline_s: time on the runtime's clock at which the endpoint may vanish.
        """
        admission = self._parts.admission
        admission.exclude(endpoint)
        moved = 0
        move_at_s = deadline_s - self._parts.settings.move_margin_s
        while admission.in_flight(endpoint) and trio.current_time() < deadline_s:
            if trio.current_time() >= move_at_s:
                moved += self._move_from(endpoint)
            await trio.sleep(DRAIN_CHECK_S)
        return Drained(moved, admission.in_flight(endpoint))

    def readmit(self, endpoint: str) -> None:
        """Let a drained endpoint take work again."""
        self._parts.admission.include(endpoint)

    async def finish(self) -> None:
        """Refuse new requests as not run and wait until the open ones have ended."""
        self._accepting = False
        while self._open or self._calls:
            await trio.sleep(DRAIN_CHECK_S)

    def _move_from(self, endpoint: str) -> int:
        moved = 0
        for call in self._open:
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
        if key_id and not self._tools.authority.is_fresh():
            raise RequestRefused(
                'this instance has lost contact with its zone and cannot check keys',
                code='authority_stale',
                not_run=True,
                retry_after_s=1,
            )

    async def _watch_keys(self) -> None:
        authority = self._tools.authority
        while True:
            fresh = authority.is_fresh()
            keys = authority.read().keys.keys
            keyed = [call for call in self._open if call.request.key_id]
            for call in keyed:
                key = keys.get(call.request.key_id)
                if key is None or key.withdrawn:
                    call.stop('the API key was withdrawn', code='key_withdrawn', status=401)
                elif not fresh:
                    call.stop('the zone cannot be reached', code='authority_stale', status=503)
            await trio.sleep(KEY_CHECK_S)

    def _endpoints(self) -> list[Endpoint]:
        state = self._tools.authority.read()
        pools = {route.pool for route in state.routes()}
        found = (self._parts.admission.endpoints(name) for name in sorted(pools))
        return list(chain.from_iterable(found))

    def _record(self, ticket: Ticket, decision: RoutingDecision) -> None:
        self._tools.decisions.record(
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
        # The caller's task is blocked in sending to it.
        request_scope.cancel()
