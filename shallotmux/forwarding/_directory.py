"""The listed endpoints, and what this instance knows of the state of each."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from math import inf

import trio
from eliot import log_message

from shallotmux.crashes import CrashRecords
from shallotmux.fleet import ListedEndpoint, Listing
from shallotmux.forwarding._job import Job, SilentAttempt
from shallotmux.forwarding._load_reports import LoadReports
from shallotmux.forwarding._messages import AnswerHead
from shallotmux.forwarding._names import HeaderNames
from shallotmux.forwarding._notices import EndpointNotices
from shallotmux.forwarding._planned import prefer_unplanned
from shallotmux.forwarding._reach import ReachMonitor
from shallotmux.forwarding._state import (
    FAILURE_THRESHOLD,
    UNRESPONSIVE_AFTER_S,
    EndpointState,
)
from shallotmux.forwarding._zones import ZoneFollower, find_zoned_services
from shallotmux.plannedchanges import HeldPlans, PlanPhase
from shallotmux.ratelimits import EndpointLimits, parse_limit

#: Time before the first connect that failed in which connections may have broken by the same cause.
BROKEN_BEFORE_CUT_S = 1.0

#: Multiple of the time in which another endpoint answered a request after which silence counts as a
#: failure.
SILENCE_FACTOR = 2.0

#: Parts of a prompt that a log line names.
MAX_LOGGED_PARTS = 16


class EndpointDirectory:
    """Endpoints by service.

    :param forget: called with the identity of an endpoint whose connections must not be reused.
    :param crashes: records the requests during which endpoints closed the connection.
    :param max_connections: returns the connection limit of this instance to an endpoint of a service.
    :param limits: limits of requests per second that endpoints name.
    :param names: names of the headers of answers.
    :param plans: planned changes of endpoints.
    """

    def __init__(
        self,
        forget: Callable[[str], None],
        crashes: CrashRecords | None = None,
        max_connections: Callable[[str], float] | None = None,
        limits: EndpointLimits | None = None,
        names: HeaderNames | None = None,
        plans: HeldPlans | None = None,
    ) -> None:
        self.plans = plans or HeldPlans()
        self._forget = forget
        #: Called with the phase and status of each refusal that is put down to an order of the system.
        self.on_blamed_refusal: list[Callable[[PlanPhase, int], None]] = []
        #: Called with the identity of each endpoint that is not listed any more.
        self.on_removed: list[Callable[[str], None]] = []
        self._max_connections = max_connections or (lambda _: float('inf'))
        self.crashes = crashes or CrashRecords()
        self.limits = limits or EndpointLimits()
        self._states: dict[str, EndpointState] = {}
        #: What endpoints said of themselves.
        self.notices = EndpointNotices(self._states, names or HeaderNames())
        #: What endpoints report of their load, to this instance and to others of its zone.
        self.reports = LoadReports(self._states)
        #: Tells which services are out of reach.
        self.reach = ReachMonitor(self._states)
        #: Draws the zones of requests.
        self.zones = ZoneFollower()

    def follow_zones(self, zones: ZoneFollower) -> None:
        """Draw the zones of requests by the shares that an object follows."""
        self.zones = zones
        zones.services = find_zoned_services(self._states.values())

    def update_listing(self, listing: Listing) -> None:
        """Replace the list of endpoints, keeping the state of those still listed."""
        listed = {each.identity: each for each in listing.endpoints}
        for identity in tuple(self._states):
            if identity not in listed:
                self._states.pop(identity)
                self._forget(identity)
                for notify in self.on_removed:
                    notify(identity)
        for identity, each in listed.items():
            state = self._states.get(identity)
            if state is None or state.listed.started_ms != each.started_ms:
                self._forget(identity)
                self._states[identity] = self._build_state(each)
            else:
                self._update_entry(state, each)
        self.reports.update_listing()
        self.zones.services = find_zoned_services(self._states.values())

    def usable_for(self, job: Job) -> list[EndpointState]:
        """Return the endpoints that a job may be sent to, by its service, version and zone."""
        usable = self.zones.restrict(
            job, self.usable(job.service, job.excluded, job.stream_version, job.max_idle_s)
        )
        if job.stream_version is None or any(state.may_answer for state in usable):
            return usable
        return usable + self._leaving_for(job)

    def is_out_of_reach(self, job: Job) -> bool:
        """Return whether no endpoint that a job may be sent to accepts connections."""
        return self.reach.cut_since(job.service, job.stream_version) is not None

    def usable(
        self,
        service: str,
        excluded: Iterable[str] = (),
        software_version: str | None = None,
        max_idle_s: float = inf,
    ) -> list[EndpointState]:
        """Return the endpoints of a service that a request may be sent to.

        :param software_version: version that the endpoints must have; None for any.
        :param max_idle_s: longest idle time of a connection that may be reused.

        Endpoints that are avoided after failures or refusals, or about to change, are included only if
        no other endpoint could answer, and those that accept no connection only if others do.
        """
        now = trio.current_time()
        skipped = frozenset(excluded)
        max_connections = self._max_connections(service)
        eligible = [
            state
            for state in self._states.values()
            if _takes_work(state, service, software_version)
            and state.identity not in skipped
            and self._has_room(state, max_connections)
        ]
        cut_since = self.reach.cut_since(service, software_version)
        in_reach = [
            state for state in eligible if self.reach.may_send(state, cut_since, max_idle_s)
        ]
        available = [state for state in in_reach if state.is_available(now)]
        available = prefer_unplanned(available, self.plans, now)
        if any(state.may_answer for state in available):
            return available
        others = [state for state in in_reach if state.may_answer]
        if others or cut_since is not None:
            return available + others
        return available + [state for state in eligible if state.may_answer]

    def untried(self, job: Job) -> list[EndpointState]:
        """Return the endpoints that a job was not sent to, whether they accept connections or not."""
        max_connections = self._max_connections(job.service)
        return [
            state
            for state in self._states.values()
            if _takes_work(state, job.service, job.stream_version)
            and state.may_answer
            and state.identity not in job.excluded
            and self._has_room(state, max_connections)
        ]

    def take_permit(self, state: EndpointState) -> bool:
        """Return whether a request may be sent to an endpoint, and count it under its limit."""
        if state.is_resting(trio.current_time()):
            return False
        return self.limits.known.is_empty or self.limits.take(state.start_number)

    def returns_in(self, service: str) -> float | None:
        """Return when an endpoint of a service may have room, if rest or limits keep requests off now."""
        now = trio.current_time()
        states = [
            state
            for state in self._states.values()
            if _takes_work(state, service, None) and state.may_answer
        ]
        awake = [state.start_number for state in states if not state.is_resting(now)]
        if states and not awake:
            return self.notices.spread_return(min(state.rest_until for state in states))
        return self.limits.returns_in(awake)

    def connection_limit(self, identity: str) -> float:
        """Return the connection limit of this instance to an endpoint; 0 if it is not listed."""
        state = self._states.get(identity)
        return 0 if state is None else self._max_connections(state.listed.service)

    def in_flight(self, service: str) -> int:
        """Return the number of this instance's requests at the endpoints of a service."""
        states = self._states.values()
        return sum(state.in_flight for state in states if state.listed.service == service)

    def queued_prefill_tokens(self) -> dict[str, float]:
        """Return this instance's prompt tokens that wait for prefill, by endpoint identity."""
        return {
            identity: state.queued_prefill_tokens
            for identity, state in self._states.items()
            if state.queued_prefill_tokens
        }

    def has_version(self, service: str, software_version: str) -> bool:
        """Return whether an endpoint of a software version can continue a stream."""
        return any(
            _takes_work(state, service, software_version)
            or self.notices.may_resume(state, service, software_version)
            for state in self._states.values()
        )

    def find(self, identity: str) -> EndpointState | None:
        """Return an endpoint by its identity, or None if it is not listed."""
        return self._states.get(identity)

    def record_unresponsive(self, state: EndpointState, reason: str) -> None:
        """Avoid an endpoint at once, so that no further request waits for a timeout there."""
        state.failures = FAILURE_THRESHOLD
        self.record_failure(state, reason)

    def record_unreachable(self, state: EndpointState, reason: str) -> None:
        """Record that no connection to an endpoint can be used; it has perhaps crashed.

        An endpoint that accepts no connection is left out until it does. One that does, but leads to
        another start, is avoided for a time.
        """
        self.crashes.record_unreachable(state.start_number)
        if state.reach.failing_since is None:
            self.record_unresponsive(state, reason)

    def record_head(
        self, state: EndpointState, sent_at: float, head: AnswerHead, names: HeaderNames
    ) -> None:
        """Record what the head of an answer tells of its endpoint.

        :param sent_at: local time at which the request was sent.
        """
        self.record_answer(state, sent_at, head.header(names.limit))
        self.reports.record(state, head.header(names.load), trio.current_time())

    def record_uncertain_end(self, state: EndpointState, job: Job) -> None:
        """Record that a stream ended with its connection, after an event, as in a crash."""
        self.crashes.record_uncertain_end(job.subjects(), state.start_number)

    def quarantine_ends_in(self, job: Job) -> float:
        """Return for how long a request must not be sent to any endpoint; 0 if it may."""
        if not self.crashes.has_crashes:
            return 0.0
        return self.crashes.quarantine_ends_in(job.subjects(), job.request_id)

    def is_on_trial(self, job: Job) -> bool:
        """Return whether a request that may run is suspected of crashing endpoints."""
        if not self.crashes.has_crashes:
            return False
        subjects = job.subjects()
        return any(each.subjects <= subjects for each in self.crashes.quarantines())

    def record_served(self, job: Job) -> None:
        """Record that a request was served, which clears it and its prompt parts of suspicion."""
        has_crashes = self.crashes.has_crashes
        self.crashes.record_served(job.subjects() if has_crashes else job.shared_parts())

    def record_answer(self, state: EndpointState, sent_at: float, limit: bytes | None) -> None:
        """Record that an endpoint answered a request sent at a time, so it had not crashed then.

        :param limit: header of the answer with the limit that the endpoint names, if any.
        """
        self.crashes.record_answer(state.start_number, sent_at)
        if limit is not None or not self.limits.known.is_empty:
            self.limits.known.observe(state.start_number, parse_limit(limit), sent_at)

    def record_suspected_crash(self, state: EndpointState, job: Job, sent_at: float) -> None:
        """Record that a connection broke while the endpoint may have been running a request.

        :param sent_at: local time at which the request was sent.
        """
        state.broken_at = trio.current_time()
        if self.reach.is_confirmed(job.service):
            # This instance has lost its links; the endpoints go on.
            return
        self.crashes.record_crash(job.subjects(), state.start_number, sent_at)
        parts = sorted(job.shared_parts(), key=self.crashes.count, reverse=True)
        log_message(
            message_type='shallotmux:suspected-crash',
            request=job.request_id.decode('latin-1'),
            endpoint=state.identity,
            start=f'{state.start_number:08x}',
            fingerprint=f'{job.fingerprint():016x}',
            parts={f'{part:016x}': self.crashes.count(part) for part in parts[:MAX_LOGGED_PARTS]},
            crashes=self.crashes.count(job.fingerprint()),
        )

    def record_relayed(self, service: str) -> None:
        """Record that a peer reached a service.

        If it is out of reach from here, the connections that broke at that time show nothing of the
        endpoints, and no request must be quarantined for them.
        """
        since = self.reach.confirm_cut(service)
        if since is None:
            return
        for state in self._states.values():
            if state.listed.service == service and state.broken_at >= since - BROKEN_BEFORE_CUT_S:
                self.crashes.record_alive(state.start_number)

    def record_refusal(self, state: EndpointState, status: int, sent_at: float) -> None:
        """Record that an endpoint refused a request without running it.

        :param sent_at: local time at which the request was sent.
        """
        now = trio.current_time()
        state.record_refusal(now, status, sent_at)
        phase = self.plans.blamed_phase(state.identity, state.start_number, now)
        if phase is not None:
            for notify in self.on_blamed_refusal:
                notify(phase, status)

    def record_failure(self, state: EndpointState, reason: str) -> None:
        """Count a failure of an endpoint, and log when it becomes avoided."""
        avoided_s = state.record_failure(trio.current_time())
        if avoided_s:
            log_message(
                message_type='shallotmux:endpoint-avoided',
                endpoint=state.identity,
                reason=reason,
                for_s=avoided_s,
            )

    def record_overtaken(self, silent: SilentAttempt, took_s: float) -> None:
        """Count a failure if an endpoint was silent for far longer than another one took to answer.

        A slow endpoint does not fail: one that answered another request meanwhile is only busy, and one
        that took as long as the other keeps its pace.

        :param took_s: time in which another endpoint answered the same request.
        """
        state = self._states.get(silent.endpoint)
        if state is None or state.answered_at >= silent.started_at:
            return
        is_far_slower = silent.waited_s >= SILENCE_FACTOR * took_s
        if is_far_slower or silent.waited_s > max(took_s, UNRESPONSIVE_AFTER_S):
            self.record_failure(state, f'no answer in {silent.waited_s:.2f} s')

    def _build_state(self, listed: ListedEndpoint) -> EndpointState:
        state = EndpointState(listed, busy=self.reach.busy)
        self.notices.restore(state)
        return state

    def _leaving_for(self, job: Job) -> list[EndpointState]:
        """Return the endpoints that leave, and may still continue the stream of a job."""
        now = trio.current_time()
        return [
            state
            for state in self._states.values()
            if self.notices.may_resume(state, job.service, job.stream_version or '')
            and state.identity not in job.excluded
            and not state.is_resting(now)
            and state.reach.failing_since is None
        ]

    def _has_room(self, state: EndpointState, max_connections: float) -> bool:
        if state.is_resting(trio.current_time()) or not state.has_room(max_connections):
            return False
        return self.limits.known.is_empty or self.limits.has_room(state.start_number)

    def _update_entry(self, state: EndpointState, listed: ListedEndpoint) -> None:
        """Replace the entry; an endpoint that was leaving stays so, as the listing may be older."""
        if state.listed.is_leaving and not listed.is_leaving:
            return
        if state.listed.address != listed.address:
            self._forget(state.identity)
        if state.listed.role is not listed.role:
            state.record_new_role(trio.current_time())
            self.plans.record_role(state.identity, listed.role.value, trio.current_time())
        state.listed = listed


def _takes_work(state: EndpointState, service: str, software_version: str | None) -> bool:
    """Return whether an endpoint of a service takes new work of a version, or of any if it is None."""
    listed = state.listed
    is_of_version = software_version in {None, listed.software_version}
    return listed.service == service and not listed.is_leaving and is_of_version
