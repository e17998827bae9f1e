"""Detection of requests that crash engines, and isolated runs of suspect requests."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from shallotmux.authority import (
    Applied,
    Authority,
    ClearParts,
    EndTrial,
    RecordCrash,
    StartTrial,
    Suspicion,
)
from shallotmux.engines import EngineClient
from shallotmux.errors import AuthorityUnavailable, EndpointError, OutcomeUnknown
from shallotmux.repeats import RepeatLog
from shallotmux.requests._lifecycle import Lifecycle
from shallotmux.requests._request import refuse
from shallotmux.requests._settings import RequestSettings
from shallotmux.world import Endpoint

#: Maximum seconds between two reads of the state while another trial runs. Waiting for a change is
#: not enough, since a trial that times out changes no state.
TRIAL_POLL_S = 1.0

#: Timeout in seconds of the probe that tells whether an engine has crashed.
PROBE_TIMEOUT_S = 0.5

#: Seconds between two submissions of a command.
RESUBMIT_DELAY_S = 0.1

#: Maximum submissions of a command whose outcome is unknown; the operation id makes it idempotent.
MAX_SUBMISSIONS = 3


@dataclass(frozen=True, slots=True)
class RunningRequest:
    """What is recorded of a request if its engine crashes.

    :param parts: hashes of the parts of its prompt that other requests may share.
    """

    fingerprint: str
    parts: tuple[int, ...] = ()


@dataclass(eq=False, slots=True)
class Incident:
    """Broken streams of an engine that may have crashed.

    :param running: requests, by attempt id, of the attempts that ran when the first stream broke.
        An attempt that ends without a broken stream is removed.
    :param broken: ids of the attempts whose streams broke.
    :param classified: set when it is known whether the engine crashed.
    """

    running: dict[str, RunningRequest]
    broken: set[str] = field(default_factory=set)
    classified: trio.Event = field(default_factory=trio.Event)
    crashed: bool = False


class CrashTracker:
    """Tracks the attempts on each engine and reports crashes to the zone.

    :param clock: wall clock in seconds, for the timestamps in commands.
    :param name: name and incarnation of this instance.
    """

    def __init__(
        self,
        authority: Authority,
        engines: EngineClient,
        settings: RequestSettings,
        clock: Callable[[], float],
        name: str,
    ) -> None:
        self._authority = authority
        self._engines = engines
        self._settings = settings
        self._clock = clock
        self._name = name
        self._command_numbers = itertools.count(1)
        self._unrecorded = RepeatLog('shallotmux:crashes:unrecorded')
        self._running: dict[str, dict[str, RunningRequest]] = {}
        self._incidents: dict[str, Incident] = {}

    def add_attempt(self, endpoint: str, attempt_id: str, request: RunningRequest) -> None:
        """Record that an attempt runs on an engine."""
        self._running.setdefault(endpoint, {})[attempt_id] = request

    def remove_attempt(self, endpoint: str, attempt_id: str) -> None:
        """Record that an attempt has ended, whatever its outcome."""
        self._running.get(endpoint, {}).pop(attempt_id, None)
        incident = self._incidents.get(endpoint)
        if incident is not None and attempt_id not in incident.broken:
            incident.running.pop(attempt_id, None)

    async def report_broken_stream(
        self, endpoint: Endpoint, attempt_id: str, *, on_trial: bool
    ) -> bool:
        """Report a broken stream and return whether the engine has crashed.

        An engine has crashed if all its streams break within the crash window and it does not
        answer a probe afterwards. A stream that breaks on a running engine is a connection fault.
        A crashed engine cannot have restarted by the time of the probe, because it needs seconds
        to load its model.

        :param on_trial: whether the attempt ran alone on the engine.
        """
        incident = self._incidents.get(endpoint.name)
        if incident is None or attempt_id not in incident.running:
            incident = Incident(dict(self._running.get(endpoint.name, {})), {attempt_id})
            self._incidents[endpoint.name] = incident
            with trio.CancelScope(shield=True):
                await self._classify(endpoint, incident, on_trial=on_trial)
        else:
            incident.broken.add(attempt_id)
            await incident.classified.wait()
        return incident.crashed

    def find(self, fingerprint: str) -> Suspicion | None:
        """Return the zone's suspicion against a request, or None."""
        return self._authority.read().quarantine.find(fingerprint, self._clock())

    async def start_trial(
        self, request: RunningRequest, claimant: str, lifecycle: Lifecycle, deadline_s: float
    ) -> bool:
        """Wait until a suspect request may run alone on an engine, as its only trial in the zone.

        :param claimant: id of the attempt that is to run the trial.
        :returns: whether the request is on trial; False if it is not suspect.
        :raises RequestRefused: if it is quarantined or its trial cannot start in time.
        """
        with trio.move_on_at(deadline_s):
            while True:
                self._refuse_culprit(request.parts, lifecycle)
                suspicion = self.find(request.fingerprint)
                if suspicion is None:
                    return False
                if suspicion.quarantined:
                    raise refuse(
                        lifecycle,
                        'this request has crashed several engines and is quarantined',
                        code='quarantined',
                        status=422,
                        retry_after_s=suspicion.until_s - self._clock(),
                    )
                revision = self._authority.read().revision
                if await self._claim(request.fingerprint, claimant):
                    return True
                with trio.move_on_after(TRIAL_POLL_S):
                    await self._authority.wait_changed(revision)
        raise refuse(
            lifecycle,
            'this request may have crashed an engine and waits to run alone',
            code='suspect',
            retry_after_s=self._settings.trial_s,
        )

    async def clear_parts(self, parts: tuple[int, ...]) -> None:
        """Clear the prompt parts of a served request of all crashes before."""
        if self._authority.read().quarantine.parts.are_suspect(parts):
            await self._submit(ClearParts(self._operation_id(), parts, self._clock()))

    async def end_trial(self, fingerprint: str, claimant: str, *, cleared: bool) -> None:
        """End the trial of a request that did not crash its engine.

        :param cleared: whether the request ran past the point at which an engine had crashed.
        """
        await self._submit(EndTrial(self._operation_id(), fingerprint, claimant, cleared))

    def _refuse_culprit(self, parts: tuple[int, ...], lifecycle: Lifecycle) -> None:
        """Refuse a request whose prompt contains a quarantined part.

        :raises RequestRefused: if it does.
        """
        now = self._clock()
        culprit = self._authority.read().quarantine.parts.find_culprit(parts, now)
        if culprit is not None:
            raise refuse(
                lifecycle,
                'a part of this prompt has crashed several engines and is quarantined',
                code='quarantined',
                status=422,
                retry_after_s=culprit.ends_at - now,
            )

    async def _claim(self, fingerprint: str, claimant: str) -> bool:
        command = StartTrial(
            self._operation_id(), fingerprint, claimant, self._clock(), self._settings.trial_s
        )
        return await self._submit(command)

    async def _classify(self, endpoint: Endpoint, incident: Incident, *, on_trial: bool) -> None:
        await trio.sleep(self._settings.crash_window_s)
        if self._incidents.get(endpoint.name) is incident:
            self._incidents.pop(endpoint.name)
        try:
            if incident.running.keys() <= incident.broken:
                incident.crashed = not await self._responds(endpoint)
            if incident.crashed:
                await self._record(endpoint.name, incident, on_trial=on_trial)
        finally:
            incident.classified.set()

    async def _responds(self, endpoint: Endpoint) -> bool:
        with trio.move_on_after(PROBE_TIMEOUT_S):
            try:
                await self._engines.load(endpoint)
            except EndpointError:
                return False
            return True
        return False

    async def _record(self, endpoint: str, incident: Incident, *, on_trial: bool) -> None:
        running = incident.running.values()
        fingerprints = tuple(sorted({each.fingerprint for each in running}))
        parts = tuple(sorted({part for each in running for part in each.parts}))
        alone = on_trial and len(fingerprints) == 1
        now = self._clock()
        await self._submit(
            RecordCrash(
                self._operation_id(),
                endpoint,
                fingerprints,
                alone,
                now,
                self._settings.quarantine_s,
                parts,
            ),
        )

    async def _submit(self, command: RecordCrash | StartTrial | EndTrial | ClearParts) -> bool:
        reason = ''
        for _ in range(MAX_SUBMISSIONS):
            try:
                return isinstance(await self._authority.submit(command), Applied)
            except AuthorityUnavailable as error:
                reason = error.message
                break
            except OutcomeUnknown as error:
                reason = error.message
                await trio.sleep(RESUBMIT_DELAY_S)
        self._unrecorded.record(type(command).__name__, level='warning', detail=reason)
        return False

    def _operation_id(self) -> str:
        return f'{self._name}/suspect-{next(self._command_numbers)}'
