"""Supervise the attempts of a request: add one beside those that stay silent, or replace them."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import nullcontext
from dataclasses import dataclass, field

import trio
from eliot import log_message

from shallotmux.errors import CallerDisconnected
from shallotmux.forwarding._attempt import AttemptControl, AttemptResult, AttemptRunner
from shallotmux.forwarding._directory import EndpointDirectory
from shallotmux.forwarding._job import Job, SilentAttempt
from shallotmux.forwarding._outcome import Outcome
from shallotmux.forwarding._retries import RetryPolicy
from shallotmux.forwarding._state import Target
from shallotmux.forwarding._targets import TargetChooser
from shallotmux.routes import RouteKind

#: Shortest time after which it is tried again whether the budget and the endpoints allow another attempt.
MIN_RECHECK_S = 0.1

#: Result of an attempt that was replaced.
REPLACED = AttemptResult(Outcome.UNKNOWN, 'no answer in time', is_failure=True)

#: Result of an attempt that ended as another one answered first.
OVERTAKEN = AttemptResult(Outcome.UNKNOWN, 'another endpoint answered first')


@dataclass(slots=True, eq=False)
class _Running:
    """An attempt in progress."""

    target: Target
    control: AttemptControl
    started_at: float
    #: Result if it is given up.
    given_up: AttemptResult = OVERTAKEN

    def as_silent(self) -> SilentAttempt:
        """Return the evidence on its endpoint if it is given up now."""
        waited_s = trio.current_time() - self.started_at
        return SilentAttempt(self.target.state.identity, self.started_at, waited_s)


@dataclass(slots=True)
class AttemptSupervisor:
    """Runs the attempts of requests.

    An endpoint that stays silent may be slow and sound. No attempt is given up before it is certain that
    another one follows, and one of a safe request goes on until another endpoint has answered.

    :param record: called with the result of each attempt.
    """

    directory: EndpointDirectory
    runner: AttemptRunner
    targets: TargetChooser
    retries: RetryPolicy
    record: Callable[[Job, Target, AttemptResult], None]

    async def run(self, job: Job, target: Target) -> AttemptResult:
        """Run an attempt, and others beside it; returns the result of the last one that ended."""
        attempts = _Attempts(job, self)
        if not (job.route.is_repeatable and self.retries.has_attempts_left(job, job.runs + 1)):
            return await attempts.run_last(target)
        return await attempts.run(target)


@dataclass(slots=True)
class _Attempts:
    """The attempts of one request that run beside each other."""

    job: Job
    parts: AttemptSupervisor
    running: list[_Running] = field(default_factory=list)
    #: Set when an attempt has ended.
    has_ended: trio.Event = field(default_factory=trio.Event)
    result: AttemptResult = OVERTAKEN
    failure: CallerDisconnected | None = None
    is_wait_logged: bool = False

    async def run_last(self, target: Target) -> AttemptResult:
        """Run an attempt that no other one may follow."""
        await self._run_one(self._add(target, may_retry=False))
        if self.failure is not None:
            raise self.failure
        return self.result

    async def run(self, target: Target) -> AttemptResult:
        """Run an attempt, and add or replace one each time that none has answered for a time."""
        timeout_s = self.parts.retries.answer_timeout_s(self.job, target)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_one, self._add(target))
            while self.running:
                further = await self._wait(timeout_s)
                if further is not None:
                    nursery.start_soon(self._run_one, further)
                timeout_s = max(timeout_s, MIN_RECHECK_S)
        if self.failure is not None:
            # Raised outside the nursery, which would wrap it in an exception group.
            raise self.failure
        return self.result

    async def _wait(self, timeout_s: float) -> _Running | None:
        """Wait until an attempt has ended; returns one to be added if none has answered in time."""
        self.has_ended = trio.Event()
        with trio.move_on_after(timeout_s):
            await self.has_ended.wait()
            return None
        # An attempt may have ended in the scheduler step in which the time has passed.
        is_over = self.has_ended.is_set() or self._is_answered()
        return None if is_over else self._act_on_silence()

    def _is_answered(self) -> bool:
        return any(each.control.is_answered for each in self.running)

    def _act_on_silence(self) -> _Running | None:
        """Return another attempt to be run beside the present ones, or replace the present one."""
        first = self.running[0]
        if self._may_run_beside(first.target):
            added = self._add_beside()
            self._log_silence('beside' if added else 'awaited', added)
            return added
        if not first.control.scope.cancel_called and self._reserve_retry(first.target):
            first.given_up = REPLACED
            first.control.scope.cancel()
            self._log_silence('replaced')
        else:
            self._log_silence('awaited')
        return None

    def _add_beside(self) -> _Running | None:
        """Return another attempt, if the budget allows it and a sound endpoint has room."""
        job, parts = self.job, self.parts
        job.excluded |= {each.target.state.identity for each in self.running}
        target = parts.targets.choose_beside(job)
        if target is None or not parts.retries.reserve(job, job.runs + len(self.running)):
            return None
        job.is_retry_reserved = False
        return self._add(target)

    def _log_silence(self, decision: str, added: _Running | None = None) -> None:
        """Log what is done about attempts without an answer, and once that they are awaited."""
        if decision == 'awaited' and self.is_wait_logged:
            return
        self.is_wait_logged = decision == 'awaited'
        waiting = [each for each in self.running if each is not added]
        log_message(
            message_type='shallotmux:attempt-silent',
            request=self.job.request_id.decode('latin-1'),
            endpoints=[each.target.state.identity for each in waiting],
            waited_ms=int(1000 * waiting[0].as_silent().waited_s),
            decision=decision,
            added=added.target.state.identity if added else None,
            left_ms=int(self.job.remaining_s * 1000),
        )

    def _may_run_beside(self, target: Target) -> bool:
        """Return whether the request may run at two endpoints at once.

        An event stream would hold two engines, and a request that is suspected of crashing endpoints
        must not be sent to a second one before the first has answered. A peer runs the request at an
        unknown number of endpoints.
        """
        job = self.job
        is_plain = job.route.kind is RouteKind.SAFE and job.prompt is None and target.peer is None
        return is_plain and not self.parts.directory.is_on_trial(job)

    def _reserve_retry(self, target: Target) -> bool:
        """Return whether another attempt follows if the one at a target is given up."""
        job, parts = self.job, self.parts
        if target.peer is None:
            job.excluded.add(target.state.identity)
        runs = job.runs + len(self.running)
        return parts.targets.has_other(job) and parts.retries.reserve(job, runs)

    def _add(self, target: Target, *, may_retry: bool = True) -> _Running:
        control = AttemptControl(may_retry=may_retry)
        running = _Running(target, control, trio.current_time())
        if may_retry:
            control.reserve_retry = lambda: self._reserve_retry(target)
        control.on_delivery = lambda: self._take_reply(running)
        self.running.append(running)
        return running

    def _take_reply(self, winner: _Running) -> None:
        """End the other attempts, as the answer of one goes to the caller."""
        took_s = trio.current_time() - winner.started_at
        if winner.target.peer is None:
            # Another attempt may have begun since.
            self.job.record_attempt(winner.target.state.listed)
            self.parts.retries.answer_times.record(self.job.route.name, took_s)
        for each in self.running:
            if each is not winner:
                self.job.runs += 1
                self.job.silent_attempts.append(each.as_silent())
                each.control.scope.cancel()
        for silent in self.job.silent_attempts:
            self.parts.directory.record_overtaken(silent, took_s)
        self.job.silent_attempts.clear()

    async def _run_one(self, running: _Running) -> None:
        target = running.target
        result = running.given_up
        try:
            with running.control.scope, target.peer or nullcontext():
                result = await self.parts.runner.run(self.job, target, running.control)
        except CallerDisconnected as error:
            self.failure = error
            for each in self.running:
                each.control.scope.cancel()
        if running.control.scope.cancelled_caught:
            result = running.given_up
        self.running.remove(running)
        self.has_ended.set()
        if self.failure is None:
            self._settle(running, result)

    def _settle(self, running: _Running, result: AttemptResult) -> None:
        """Record the result of an attempt."""
        job, target = self.job, running.target
        if result is REPLACED:
            self._record_replaced(running)
        if result.outcome is not Outcome.NOT_RUN and result is not OVERTAKEN:
            job.runs += 1
        self.parts.record(job, target, result)
        if result is OVERTAKEN:
            return
        if not self.result.is_delivered:
            self.result = result
        if target.peer is None and not result.is_delivered:
            job.excluded.add(target.state.identity)
            job.unreached += target.state.reach.failing_since is not None

    def _record_replaced(self, running: _Running) -> None:
        peer = running.target.peer
        if peer is None:
            self.job.silent_attempts.append(running.as_silent())
        else:
            self.parts.targets.peers.record_unreachable(peer)
