"""Execution of a model request: attempts, retries and resumption on another engine."""

from __future__ import annotations

import math
from contextlib import suppress
from dataclasses import dataclass, field
from enum import StrEnum
from functools import partial
from typing import TYPE_CHECKING

import trio

from shallotmux.authority import Figures
from shallotmux.engines import BLOCK_BYTES, BYTES_PER_TOKEN, EngineRun, hash_parts, hash_prompt
from shallotmux.errors import EndpointError, EndpointRefused
from shallotmux.http import open_relay
from shallotmux.requests._crashes import RunningRequest
from shallotmux.requests._event_buffer import EventBuffer
from shallotmux.requests._events import EventSplitter, StreamFault
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
    determine_outcome,
)
from shallotmux.requests._queues import Ticket
from shallotmux.requests._request import CallerRequest, RequestRefused, refuse
from shallotmux.requests._retries import draw_backoff

if TYPE_CHECKING:
    from shallotmux.requests._context import CallContext
    from shallotmux.world import Endpoint

#: Timeout in seconds for cancelling an attempt at its engine.
CANCEL_TIMEOUT_S = 0.5

#: Fraction of ``token_gap_timeout_s`` by which the deadline may expire early. With the default
#: timeout, the deadline is extended once a second, since setting it for each token costs CPU time.
DEADLINE_SLACK = 0.2

#: Header in which an engine returns the id of the attempt that it answers.
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
    """One execution of a request on one endpoint.

    :param cleared: whether a suspect request has run past the offset at which it crashed.
    :param first_token_s: seconds from dispatch to the first event, or None.
    :param extend_at_s: time from which an event extends the deadline for the next one.
    """

    attempt_id: str
    ticket: Ticket
    on_trial: bool
    first_token_s: float | None = None
    moving: bool = False
    cleared: bool = False
    extend_at_s: float = -math.inf
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    @property
    def endpoint(self) -> Endpoint:
        """Return the endpoint that the ticket is bound to."""
        if self.ticket.endpoint is None:
            raise RuntimeError(f'attempt {self.attempt_id!r} has no endpoint')
        return self.ticket.endpoint


class ModelCall:
    """Execution of a model request from admission to its last event."""

    def __init__(self, context: CallContext, request: CallerRequest) -> None:
        settings = context.settings
        self.request = request
        self.event_buffer = EventBuffer(
            settings.buffer_bytes, settings.coalesce_s, self._count_usage
        )
        self.lifecycle = Lifecycle()
        self.attempt: Attempt | None = None
        #: Whether the caller stopped reading for longer than ``stalled_caller_s``.
        self.stalled = False
        self._context = context
        self._splitter = EventSplitter(request.response_id, request.offset)
        limit_s = min(settings.request_deadline_s, request.timeout_s)
        self._deadline_s = trio.current_time() + limit_s
        self._crash_offset = math.inf
        self._avoid: frozenset[str] = frozenset()
        self._failures = 0
        has_blocks = request.size_bytes >= BLOCK_BYTES
        self._buffered_offset = request.offset
        self._usage_counted = bool(request.offset)
        self._blocks = hash_prompt(request.payload) if has_blocks else ()
        self._running_request = RunningRequest(request.fingerprint, hash_parts(request.payload))
        self._stop_reason: RequestRefused | None = None
        self._scope = trio.CancelScope(deadline=self._deadline_s)

    async def run(self) -> None:
        """Run the request and put its events into the event buffer."""
        async with trio.open_nursery() as background:
            error = None
            try:
                with self._scope:
                    await self._run(background)
            except RequestRefused as refused:
                error = refused
            if self._scope.cancelled_caught:
                error = self._stop_reason or refuse(
                    self.lifecycle, 'the deadline has passed', code='deadline', status=504
                )
            if error is not None:
                self._advance(Refuse())
            self.event_buffer.end(error)

    def move(self) -> None:
        """End the current attempt and resume the stream on another endpoint."""
        if self.attempt is not None:
            self.attempt.moving = True
            self.attempt.scope.cancel()

    def stop(self, message: str, *, code: str, status: int) -> None:
        """Abort the request, for example because its key was withdrawn."""
        if determine_outcome(self.lifecycle) != Outcome.DONE:
            self._stop_reason = refuse(self.lifecycle, message, code=code, status=status)
            self._scope.cancel()

    async def _run(self, background: trio.Nursery) -> None:
        self._advance(Admit())
        failure = await self._run_attempt(background)
        while failure is not None:
            await self._prepare_retry(failure)
            failure = await self._run_attempt(background)
        self._context.budget.record_success()
        background.start_soon(self._clear_parts)

    async def _run_attempt(self, background: trio.Nursery) -> Failure | None:
        """Wait for an endpoint and run one attempt on it."""
        self._advance(Enqueue())
        attempt_id = self._context.new_id()
        trial_deadline_s = trio.current_time() + self._context.settings.trial_s
        on_trial = await self._context.crash_tracker.start_trial(
            self._running_request,
            attempt_id,
            self.lifecycle,
            min(self._deadline_s, trial_deadline_s),
        )
        ticket = self._ticket(on_trial=on_trial)
        attempt = Attempt(attempt_id, ticket, on_trial)
        before = self._splitter.delivered
        try:
            await self._context.admission.acquire(ticket, self.lifecycle)
            return await self._dispatch(attempt, background)
        finally:
            ticket.output_tokens = self._splitter.delivered - before
            self._context.admission.release(ticket, attempt.first_token_s)
            if on_trial and not attempt.cleared:
                background.start_soon(self._end_trial, attempt_id, False)

    def _ticket(self, *, on_trial: bool) -> Ticket:
        settings = self._context.settings
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

    async def _dispatch(self, attempt: Attempt, background: trio.Nursery) -> Failure | None:
        crash_tracker = self._context.crash_tracker
        endpoint = attempt.endpoint
        attempt_id = attempt.attempt_id
        self.attempt = attempt
        self._advance(Dispatch(attempt_id))
        crash_tracker.add_attempt(endpoint.name, attempt_id, self._running_request)
        needs_cancel = True
        try:
            failure = await self._exchange(attempt, background)
            needs_cancel = failure not in {None, Failure.REFUSED}
        finally:
            self.attempt = None
            crash_tracker.remove_attempt(endpoint.name, attempt_id)
            if needs_cancel:
                background.start_soon(self._cancel, endpoint, attempt_id)
        self._record_outcome(attempt, failure)
        return failure

    def _record_outcome(self, attempt: Attempt, failure: Failure | None) -> None:
        breakers = self._context.breakers
        name = attempt.endpoint.name
        if failure is None:
            self._advance(Complete(attempt.attempt_id))
            breakers.record_success(name, attempt.first_token_s or 0.0)
            return
        not_run = failure in {Failure.REFUSED, Failure.UNREACHABLE}
        self._advance(AttemptEnded(attempt.attempt_id, not_run=not_run))
        if failure == Failure.CRASHED:
            self._context.admission.pool_views.mark_cache_stale(name)
        if failure not in {Failure.REFUSED, Failure.MOVED}:
            certain = failure in {Failure.UNREACHABLE, Failure.CRASHED}
            breakers.record_failure(name, trio.current_time(), certain=certain)
        self._avoid |= {name}

    async def _exchange(self, attempt: Attempt, background: trio.Nursery) -> Failure | None:
        """Run an attempt within its timeouts.

        :returns: how it failed, or None when the answer is complete.
        """
        settings = self._context.settings
        try:
            with attempt.scope:
                attempt.scope.deadline = trio.current_time() + settings.first_token_timeout_s
                await self._relay(attempt, background)
                return None
        except EndpointRefused as error:
            return Failure.UNREACHABLE if error.step == 'connect' else Failure.REFUSED
        except StreamFault:
            return Failure.FAULTY
        except EndpointError:
            return await self._classify_break(attempt)
        return Failure.MOVED if attempt.moving else Failure.SILENT

    async def _classify_break(self, attempt: Attempt) -> Failure:
        name = attempt.endpoint.name
        if self._context.admission.is_draining(name):
            return Failure.MOVED
        self._crash_offset = self._splitter.delivered
        crashed = await self._context.crash_tracker.report_broken_stream(
            attempt.endpoint, attempt.attempt_id, on_trial=attempt.on_trial and not attempt.cleared
        )
        return Failure.CRASHED if crashed else Failure.BROKEN

    async def _relay(self, attempt: Attempt, background: trio.Nursery) -> None:
        splitter = self._splitter
        splitter.restart(attempt.endpoint.name)
        async with self._context.engines.run(
            attempt.endpoint, self._engine_run(attempt)
        ) as response:
            answered_id = response.headers.get(ATTEMPT_HEADER, attempt.attempt_id)
            if answered_id != attempt.attempt_id:
                raise StreamFault('answer of another attempt', step='stream')
            body = open_relay(response)
            accept = partial(self._accept, attempt)
            more = True
            while more:
                # The first event is sent at once rather than coalesced with later ones.
                coalesce = attempt.first_token_s is not None
                more = await body.relay(accept, coalesce=coalesce)
                await self._handle_progress(attempt, background)
                if splitter.fault is not None:
                    raise splitter.fault
            if not splitter.done:
                raise StreamFault('stream ended before its end marker', step='stream')

    def _engine_run(self, attempt: Attempt) -> EngineRun:
        request = self.request
        return EngineRun(
            attempt_id=attempt.attempt_id,
            response_id=request.response_id,
            payload=request.payload,
            offset=self._splitter.delivered,
            priority=attempt.ticket.engine_priority,
            chat=request.chat,
            deadline_s=max(0.0, self._deadline_s - trio.current_time()),
        )

    def _accept(self, attempt: Attempt, chunk: bytes) -> bool:
        """Buffer the events of a chunk.

        :returns: whether the next chunk may be read without a call of :meth:`_handle_progress`.
        """
        block = self._splitter.feed(chunk)
        more = self._splitter.fault is None
        if not block:
            return more
        tokens = self._splitter.delivered - self._buffered_offset
        self._buffered_offset = self._splitter.delivered
        self.event_buffer.put(block, tokens, tokens if attempt.endpoint.cheap else 0)
        now = trio.current_time()
        if attempt.first_token_s is None:
            attempt.first_token_s = now - attempt.ticket.bound_s
            self._advance(FirstByte(attempt.attempt_id))
            self._context.admission.mark_prefill_done(attempt.ticket)
            more = False
        if now >= attempt.extend_at_s:
            gap_s = self._context.settings.token_gap_timeout_s
            attempt.scope.deadline = now + gap_s
            attempt.extend_at_s = now + gap_s * DEADLINE_SLACK
        on_trial = attempt.on_trial and not attempt.cleared
        return more and not on_trial and not self.event_buffer.is_full

    async def _handle_progress(self, attempt: Attempt, background: trio.Nursery) -> None:
        """Apply backpressure when the event buffer is full, and clear a suspect."""
        if self.event_buffer.is_full:
            attempt.scope.deadline = math.inf
            await self._wait_caller()
            gap_s = self._context.settings.token_gap_timeout_s
            attempt.scope.deadline = trio.current_time() + gap_s
        if attempt.on_trial and not attempt.cleared and attempt.first_token_s is not None:
            self._clear_suspect(attempt, background)

    def _count_usage(self, tokens: int, cheap_tokens: int) -> None:
        """Count tokens sent to the caller.

        The request and its prompt are counted once, by the instance that sends the first token.
        """
        self._context.count_tokens(self.request.customer, tokens, cheap_tokens)
        if self._usage_counted:
            return
        self._usage_counted = True
        prompt_tokens = self.request.size_bytes // BYTES_PER_TOKEN
        cheap_prompt = prompt_tokens if cheap_tokens else 0
        usage = Figures(1, prompt_tokens, cheap_tokens=cheap_prompt)
        self._context.count_usage(self.request.customer, usage)

    async def _wait_caller(self) -> None:
        with trio.move_on_after(self._context.settings.stalled_caller_s):
            await self.event_buffer.wait_until_writable()
            return
        self.stalled = True
        raise refuse(self.lifecycle, 'the caller stopped reading', code='caller_stalled')

    def _clear_suspect(self, attempt: Attempt, background: trio.Nursery) -> None:
        """Clear a suspect that ran past the offset of its crash, or to its end."""
        margin = self._context.settings.trial_margin_tokens
        passed = self._splitter.delivered >= self._crash_offset + margin
        if passed or self._splitter.done:
            attempt.cleared = True
            self._context.admission.end_exclusive(attempt.ticket)
            background.start_soon(self._end_trial, attempt.attempt_id, True)

    async def _prepare_retry(self, failure: Failure) -> None:
        if failure == Failure.MOVED and self.request.route.repeatable:
            return
        settings = self._context.settings
        self._failures += 1
        may_retry = (
            self.request.route.repeatable or determine_outcome(self.lifecycle) == Outcome.NOT_RUN
        )
        if not may_retry or self._failures >= settings.attempts:
            raise self._build_refusal(failure)
        if failure != Failure.REFUSED and not self._context.budget.try_spend(trio.current_time()):
            raise self._build_refusal(failure)
        await trio.sleep(draw_backoff(settings, self._failures, self._context.random))

    def _build_refusal(self, failure: Failure) -> RequestRefused:
        if determine_outcome(self.lifecycle) == Outcome.NOT_RUN:
            return refuse(self.lifecycle, failure.value, code='not_run', retry_after_s=1)
        return refuse(self.lifecycle, failure.value, code='outcome_unknown', status=502)

    def _advance(self, event: Event) -> None:
        self.lifecycle = advance(self.lifecycle, event)

    async def _cancel(self, endpoint: Endpoint, attempt_id: str) -> None:
        with trio.CancelScope(shield=True, deadline=trio.current_time() + CANCEL_TIMEOUT_S):
            with suppress(EndpointError):
                await self._context.engines.cancel(endpoint, attempt_id)

    async def _clear_parts(self) -> None:
        deadline_s = trio.current_time() + self._context.settings.trial_s
        with trio.CancelScope(shield=True, deadline=deadline_s):
            await self._context.crash_tracker.clear_parts(self._running_request.parts)

    async def _end_trial(self, claimant: str, cleared: bool) -> None:
        deadline_s = trio.current_time() + self._context.settings.trial_s
        with trio.CancelScope(shield=True, deadline=deadline_s):
            await self._context.crash_tracker.end_trial(
                self.request.fingerprint, claimant, cleared=cleared
            )
