"""Run a model request: attempts, resumption on another engine, retries."""

from __future__ import annotations

import math
from contextlib import suppress
from dataclasses import dataclass, field
from enum import StrEnum
from functools import partial
from typing import TYPE_CHECKING

import trio

from shallotmux.authority import Figures
from shallotmux.engines import BLOCK_BYTES, BYTES_PER_TOKEN, EngineRun, hash_prompt
from shallotmux.errors import EndpointError, EndpointRefused
from shallotmux.http import open_relay
from shallotmux.requests._event_buffer import EventBuffer
from shallotmux.requests._events import EventCutter, StreamFault
from shallotmux.requests._lifecycle import (
    Admit,
    AttemptEnded,
    Complete,
    Dispatch,
    Enqueue,
    Event,
    FirstByte,
    Lifecycle,
    Outcome,
    Refuse,
    advance,
    judge,
)
from shallotmux.requests._queues import Ticket
from shallotmux.requests._request import CallerRequest, RequestRefused, refuse
from shallotmux.requests._retries import draw_backoff

if TYPE_CHECKING:
    from shallotmux.requests._parts import Parts
    from shallotmux.world import Endpoint

#: Seconds for which the cancellation of an attempt is waited for.
CANCEL_TIMEOUT_S = 0.5

#: Share of the token gap's limit by which its deadline may be early: with the default limit it is
#: moved once a second, since setting it for each token costs CPU time.
DEADLINE_SLACK = 0.2

#: Header in which an engine names the attempt that it answers.
ATTEMPT_HEADER = 'shallotmux-attempt-id'


class Failure(StrEnum):
    """How an attempt ended without the whole answer."""

    UNREACHABLE = 'the engine cannot be reached'
    REFUSED = 'the engine refused it'
    BROKEN = 'the connection broke'
    CRASHED = 'the engine crashed'
    SILENT = 'the engine fell silent'
    FAULTY = 'the engine sent a wrong stream'
    MOVED = 'the endpoint is leaving'


@dataclass(eq=False, slots=True)
class Attempt:
    """One try on one endpoint.

    :param cleared: whether a suspect request has got past its crash.
    :param first_token_s: time from dispatch to the first event, or None.
    :param renew_s: time from which an event moves the deadline of the token gap.
    """

    attempt_id: str
    ticket: Ticket
    on_trial: bool
    first_token_s: float | None = None
    moving: bool = False
    cleared: bool = False
    renew_s: float = -math.inf
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    @property
    def endpoint(self) -> Endpoint:
        """Return the endpoint that the ticket is bound to."""
        if self.ticket.endpoint is None:
            raise RuntimeError(f'attempt {self.attempt_id!r} has no endpoint')
        return self.ticket.endpoint


class ModelCall:
    """A model request from admission to its last event."""

    def __init__(self, parts: Parts, request: CallerRequest) -> None:
        settings = parts.settings
        self.request = request
        self.event_buffer = EventBuffer(
            settings.buffer_bytes, settings.coalesce_s, self._count_usage
        )
        self.lifecycle = Lifecycle()
        self.attempt: Attempt | None = None
        #: Whether the caller stopped reading for longer than the limit.
        self.stalled = False
        self._parts = parts
        self._cutter = EventCutter(request.response_id, request.offset)
        limit_s = min(settings.request_deadline_s, request.timeout_s)
        self._deadline_s = trio.current_time() + limit_s
        self._crash_offset = math.inf
        self._avoid: frozenset[str] = frozenset()
        self._failures = 0
        has_blocks = request.size_bytes >= BLOCK_BYTES
        self._put_tokens = request.offset
        self._is_counted = bool(request.offset)
        self._blocks = hash_prompt(request.payload) if has_blocks else ()
        self._stop: RequestRefused | None = None
        self._scope = trio.CancelScope(deadline=self._deadline_s)

    async def run(self) -> None:
        """Run the request and put its events into the outbox."""
        async with trio.open_nursery() as helpers:
            error = None
            try:
                with self._scope:
                    await self._run(helpers)
            except RequestRefused as refused:
                error = refused
            if self._scope.cancelled_caught:
                error = self._stop or refuse(
                    self.lifecycle, 'the deadline has passed', code='deadline', status=504
                )
            if error is not None:
                self._advance(Refuse())
            self.event_buffer.end(error)

    def move(self) -> None:
        """Leave the present endpoint and resume on another one."""
        if self.attempt is not None:
            self.attempt.moving = True
            self.attempt.scope.cancel()

    def stop(self, message: str, *, code: str, status: int) -> None:
        """End the request, for example because its key was withdrawn."""
        if judge(self.lifecycle) != Outcome.DONE:
            self._stop = refuse(self.lifecycle, message, code=code, status=status)
            self._scope.cancel()

    async def _run(self, helpers: trio.Nursery) -> None:
        self._advance(Admit())
        failure = await self._pass(helpers)
        while failure is not None:
            await self._prepare_retry(failure)
            failure = await self._pass(helpers)
        self._parts.budget.succeed()

    async def _pass(self, helpers: trio.Nursery) -> Failure | None:
        """Wait for an endpoint and make one attempt there."""
        self._advance(Enqueue())
        attempt_id = self._parts.new_id()
        trial_deadline_s = trio.current_time() + self._parts.settings.trial_s
        on_trial = await self._parts.suspects.start_trial(
            self.request.fingerprint,
            attempt_id,
            self.lifecycle,
            min(self._deadline_s, trial_deadline_s),
        )
        ticket = self._ticket(on_trial=on_trial)
        attempt = Attempt(attempt_id, ticket, on_trial)
        before = self._cutter.delivered
        try:
            await self._parts.admission.acquire(ticket, self.lifecycle)
            return await self._try(attempt, helpers)
        finally:
            ticket.output_tokens = self._cutter.delivered - before
            self._parts.admission.release(ticket, attempt.first_token_s)
            if on_trial and not attempt.cleared:
                helpers.start_soon(self._end_trial, attempt_id, False)

    def _ticket(self, *, on_trial: bool) -> Ticket:
        settings = self._parts.settings
        wait_s = settings.trial_s if on_trial else settings.queue_wait_s
        return Ticket(
            subject=self.request.response_id,
            customer=self.request.customer,
            route=self.request.route,
            deadline_s=min(self._deadline_s, trio.current_time() + wait_s),
            priority=self.request.priority,
            started=bool(self.lifecycle.attempts) or bool(self.request.offset),
            exclusive=on_trial,
            repeatable=self.request.route.repeatable,
            prompt_tokens=self.request.size_bytes // BYTES_PER_TOKEN,
            blocks=self._blocks,
            avoid=self._avoid,
        )

    async def _try(self, attempt: Attempt, helpers: trio.Nursery) -> Failure | None:
        suspects = self._parts.suspects
        endpoint = attempt.endpoint
        attempt_id = attempt.attempt_id
        self.attempt = attempt
        self._advance(Dispatch(attempt_id))
        suspects.enter(endpoint.name, attempt_id, self.request.fingerprint)
        needs_cancel = True
        try:
            failure = await self._exchange(attempt, helpers)
            needs_cancel = failure not in {None, Failure.REFUSED}
        finally:
            self.attempt = None
            suspects.leave(endpoint.name, attempt_id)
            if needs_cancel:
                helpers.start_soon(self._cancel, endpoint, attempt_id)
        self._settle(attempt, failure)
        return failure

    def _settle(self, attempt: Attempt, failure: Failure | None) -> None:
        breakers = self._parts.breakers
        name = attempt.endpoint.name
        if failure is None:
            self._advance(Complete(attempt.attempt_id))
            breakers.succeed(name, attempt.first_token_s or 0.0)
            return
        not_run = failure in {Failure.REFUSED, Failure.UNREACHABLE}
        self._advance(AttemptEnded(attempt.attempt_id, not_run=not_run))
        if failure == Failure.CRASHED:
            self._parts.admission.lanes.doubt_cache(name)
        if failure not in {Failure.REFUSED, Failure.MOVED}:
            certain = failure in {Failure.UNREACHABLE, Failure.CRASHED}
            breakers.fail(name, trio.current_time(), certain=certain)
        self._avoid |= {name}

    async def _exchange(self, attempt: Attempt, helpers: trio.Nursery) -> Failure | None:
        """Make an attempt and tell how it failed."""
        settings = self._parts.settings
        try:
            with attempt.scope:
                attempt.scope.deadline = trio.current_time() + settings.first_token_timeout_s
                await self._relay(attempt, helpers)
                return None
        except EndpointRefused as error:
            return Failure.UNREACHABLE if error.step == 'connect' else Failure.REFUSED
        except StreamFault:
            return Failure.FAULTY
        except EndpointError:
            return await self._explain_break(attempt)
        return Failure.MOVED if attempt.moving else Failure.SILENT

    async def _explain_break(self, attempt: Attempt) -> Failure:
        name = attempt.endpoint.name
        if self._parts.admission.is_draining(name):
            return Failure.MOVED
        self._crash_offset = self._cutter.delivered
        crashed = await self._parts.suspects.report_break(
            attempt.endpoint, attempt.attempt_id, on_trial=attempt.on_trial and not attempt.cleared
        )
        return Failure.CRASHED if crashed else Failure.BROKEN

    async def _relay(self, attempt: Attempt, helpers: trio.Nursery) -> None:
        cutter = self._cutter
        cutter.restart(attempt.endpoint.name)
        async with self._parts.engines.run(attempt.endpoint, self._engine_run(attempt)) as response:
            named = response.headers.get(ATTEMPT_HEADER, attempt.attempt_id)
            if named != attempt.attempt_id:
                raise StreamFault('answer of another attempt', step='stream')
            body = open_relay(response)
            accept = partial(self._accept, attempt)
            going = True
            while going:
                # The first event is not delayed to gather others.
                gather = attempt.first_token_s is not None
                going = await body.relay(accept, gather=gather)
                await self._follow(attempt, helpers)
                if cutter.fault is not None:
                    raise cutter.fault
            if not cutter.done:
                raise StreamFault('stream ended before its end marker', step='stream')

    def _engine_run(self, attempt: Attempt) -> EngineRun:
        request = self.request
        return EngineRun(
            attempt_id=attempt.attempt_id,
            response_id=request.response_id,
            payload=request.payload,
            offset=self._cutter.delivered,
            priority=attempt.ticket.engine_priority,
            chat=request.chat,
            deadline_s=max(0.0, self._deadline_s - trio.current_time()),
        )

    def _accept(self, attempt: Attempt, chunk: bytes) -> bool:
        """Deliver the events in a chunk, and tell whether nothing else is to be done for them."""
        block = self._cutter.feed(chunk)
        going = self._cutter.fault is None
        if not block:
            return going
        tokens = self._cutter.delivered - self._put_tokens
        self._put_tokens = self._cutter.delivered
        self.event_buffer.put(block, tokens, tokens if attempt.endpoint.cheap else 0)
        now = trio.current_time()
        if attempt.first_token_s is None:
            attempt.first_token_s = now - attempt.ticket.bound_s
            self._advance(FirstByte(attempt.attempt_id))
            self._parts.admission.mark_prefill_done(attempt.ticket)
            going = False
        if now >= attempt.renew_s:
            gap_s = self._parts.settings.token_gap_timeout_s
            attempt.scope.deadline = now + gap_s
            attempt.renew_s = now + gap_s * DEADLINE_SLACK
        on_trial = attempt.on_trial and not attempt.cleared
        return going and not on_trial and not self.event_buffer.is_full

    async def _follow(self, attempt: Attempt, helpers: trio.Nursery) -> None:
        """Wait for room in the outbox, and clear a suspect."""
        if self.event_buffer.is_full:
            attempt.scope.deadline = math.inf
            await self._wait_caller()
            gap_s = self._parts.settings.token_gap_timeout_s
            attempt.scope.deadline = trio.current_time() + gap_s
        if attempt.on_trial and not attempt.cleared and attempt.first_token_s is not None:
            self._clear(attempt, helpers)

    def _count_usage(self, tokens: int, cheap_tokens: int) -> None:
        """Count tokens that the caller got; the instance that began counts request and prompt."""
        self._parts.count_tokens(self.request.customer, tokens, cheap_tokens)
        if self._is_counted:
            return
        self._is_counted = True
        prompt_tokens = self.request.size_bytes // BYTES_PER_TOKEN
        cheap_prompt = prompt_tokens if cheap_tokens else 0
        begun = Figures(1, prompt_tokens, cheap_tokens=cheap_prompt)
        self._parts.count_usage(self.request.customer, begun)

    async def _wait_caller(self) -> None:
        with trio.move_on_after(self._parts.settings.stalled_caller_s):
            await self.event_buffer.wait_room()
            return
        self.stalled = True
        raise refuse(self.lifecycle, 'the caller stopped reading', code='caller_stalled')

    def _clear(self, attempt: Attempt, helpers: trio.Nursery) -> None:
        """Clear a suspect that got past its crash, or that has run to its end."""
        margin = self._parts.settings.trial_margin_tokens
        passed = self._cutter.delivered >= self._crash_offset + margin
        if passed or self._cutter.done:
            attempt.cleared = True
            self._parts.admission.end_exclusive(attempt.ticket)
            helpers.start_soon(self._end_trial, attempt.attempt_id, True)

    async def _prepare_retry(self, failure: Failure) -> None:
        if failure == Failure.MOVED and self.request.route.repeatable:
            return
        settings = self._parts.settings
        self._failures += 1
        may_run = self.request.route.repeatable or judge(self.lifecycle) == Outcome.NOT_RUN
        if not may_run or self._failures >= settings.attempts:
            raise self._give_up(failure)
        if failure != Failure.REFUSED and not self._parts.budget.spend(trio.current_time()):
            raise self._give_up(failure)
        await trio.sleep(draw_backoff(settings, self._failures, self._parts.random))

    def _give_up(self, failure: Failure) -> RequestRefused:
        if judge(self.lifecycle) == Outcome.NOT_RUN:
            return refuse(self.lifecycle, failure.value, code='not_run', retry_after_s=1)
        return refuse(self.lifecycle, failure.value, code='outcome_unknown', status=502)

    def _advance(self, event: Event) -> None:
        self.lifecycle = advance(self.lifecycle, event)

    async def _cancel(self, endpoint: Endpoint, attempt_id: str) -> None:
        with trio.CancelScope(shield=True, deadline=trio.current_time() + CANCEL_TIMEOUT_S):
            with suppress(EndpointError):
                await self._parts.engines.cancel(endpoint, attempt_id)

    async def _end_trial(self, claimant: str, cleared: bool) -> None:
        deadline_s = trio.current_time() + self._parts.settings.trial_s
        with trio.CancelScope(shield=True, deadline=deadline_s):
            await self._parts.suspects.end_trial(
                self.request.fingerprint, claimant, cleared=cleared
            )
