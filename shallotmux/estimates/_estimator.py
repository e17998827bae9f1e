"""Estimate how long work takes at each endpoint."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

import msgspec

from shallotmux.estimates._corrections import TimeCorrection, WorkTime, limit_time_ms
from shallotmux.estimates._model import REPORT_HALF_LIFE_S, EndpointModel
from shallotmux.estimates._reports import LoadReport
from shallotmux.estimates._results import EndpointEstimate, Work
from shallotmux.estimates._usual import UsualLoads
from shallotmux.fleet import EngineRole, ListedEndpoint
from shallotmux.placement import EngineView, PhaseTime, Placement, PrefillSpeeds

#: Prefill speed of an engine that also decodes, relative to a prefill engine, as the specification of
#: the engines states it.
DECODE_PREFILL_SPEED_RATIO = 0.5

#: Weight of a new prompt in the usual number of tokens that need prefill.
PROMPT_WEIGHT = 0.1

#: Part of a running prompt that is still to be prefilled, on the average.
RUNNING_PROMPT_PART = 0.5

#: Cached prefixes where they do not matter.
NO_PREFIXES: frozenset[bytes] = frozenset()


class Endpoint(Protocol):
    """An endpoint of which a time is estimated."""

    @property
    def listed(self) -> ListedEndpoint:
        """Return its entry in the list."""

    @property
    def in_flight(self) -> int:
        """Return the number of this instance's requests there."""

    @property
    def queued_prefill_tokens(self) -> float:
        """Return the prompt tokens of this instance that wait for prefill there."""

    @property
    def model(self) -> EndpointModel:
        """Return what is known of it."""


class _Load(msgspec.Struct, frozen=True):
    """Load of an endpoint.

    :param running: requests of other instances that it runs.
    :param waiting: requests of other instances that wait there.
    :param requests: all requests there, those of this instance included.
    :param pace: factor on usual times.
    """

    running: float
    waiting: float
    requests: float
    slots: int
    pace: float


def _no_tokens(_: str) -> float:
    return 0.0


class Estimator:
    """Estimates times from a cost model, corrected by what was observed.

    It reads no clock and knows no network.

    :param speeds: learned prefill speeds.
    :param peer_tokens: returns the prompt tokens that other instances have queued at an engine.
    """

    def __init__(
        self, speeds: PrefillSpeeds | None = None, peer_tokens: Callable[[str], float] = _no_tokens
    ) -> None:
        self.speeds = speeds or PrefillSpeeds()
        self._peer_tokens = peer_tokens
        self._usual = UsualLoads()
        self._corrections: dict[tuple[str, Work], TimeCorrection] = defaultdict(TimeCorrection)
        self._work_times: dict[str, WorkTime] = defaultdict(WorkTime)
        self._prompt_tokens: dict[str, float] = {}

    def receive(self, endpoint: Endpoint, report: LoadReport) -> bool:
        """Add a report to the model of its endpoint, unless an equally young one is known.

        :returns: whether it was added.
        """
        model = endpoint.model
        if not model.receive(report):
            return False
        listed = endpoint.listed
        others = (model.others_running, model.others_waiting)
        self._usual.record(listed.service, listed.role, *others, report.at)
        return True

    def record_prompt(self, service: str, uncached_tokens: float) -> None:
        """Record the size of a prompt that is to be prefilled."""
        known = self._prompt_tokens.get(service, uncached_tokens)
        self._prompt_tokens[service] = known + PROMPT_WEIGHT * (uncached_tokens - known)

    def estimate_prompt(
        self, endpoint: Endpoint, uncached_tokens: float, now: float
    ) -> EndpointEstimate:
        """Estimate the time to the first token, on a prefill engine to the end of prefill."""
        view = self.view(endpoint, now)
        is_prefill = view.role is EngineRole.PREFILL
        time = PhaseTime(view.wait_ms, view.prefill_ms(uncached_tokens) + view.stream_delay_ms)
        work = Work.PREFILL if is_prefill else Work.DIRECT
        return self.estimate_phase(endpoint, work, time, now)

    def estimate_handover(
        self, endpoint: Endpoint, transfer_ms: float, now: float
    ) -> EndpointEstimate:
        """Estimate the time to the first token of a prompt that another engine has prefilled."""
        view = self.view(endpoint, now)
        time = PhaseTime(view.wait_ms, transfer_ms + view.stream_delay_ms)
        return self.estimate_phase(endpoint, Work.HANDOVER, time, now)

    def estimate_phase(
        self, endpoint: Endpoint, work: Work, time: PhaseTime, now: float
    ) -> EndpointEstimate:
        """Return the corrected time of a phase whose base is known."""
        model = endpoint.model
        corrected = self._correct(endpoint.listed.service, work, time)
        return EndpointEstimate(
            corrected.wait_ms,
            corrected.service_ms,
            self._pace(model, now),
            model.age_s(now),
            work,
            time.total_ms,
        )

    def estimate_plain(self, endpoint: Endpoint, now: float) -> EndpointEstimate:
        """Estimate the time of a request to a plain service."""
        load = self._load(endpoint, now)
        pace = load.pace * endpoint.model.factor(now)
        service_ms = pace * self._work_times[endpoint.listed.service].usual_ms
        queue = _queue_per_slot(load)
        return EndpointEstimate(
            queue * service_ms,
            service_ms,
            load.pace,
            endpoint.model.age_s(now),
            Work.PLAIN,
            pace * (1 + queue),
        )

    def rank_plain(self, endpoint: Endpoint, now: float) -> float:
        """Return the estimated time of plain work as a multiple of the usual one, plus load per slot.

        The load per slot tells apart endpoints with free slots, and keeps some of them free.
        """
        load = self._load(endpoint, now)
        pace = load.pace * endpoint.model.factor(now)
        return pace * (1 + _queue_per_slot(load)) + load.requests / load.slots

    def record(
        self, endpoint: Endpoint, estimate: EndpointEstimate, real_ms: float, now: float
    ) -> None:
        """Learn from a real time and the estimate that was made before."""
        if not math.isfinite(real_ms) or real_ms <= 0:
            return
        service = endpoint.listed.service
        if estimate.work is Work.PLAIN:
            known: TimeCorrection | WorkTime = self._work_times[service]
        else:
            known = self._corrections[service, estimate.work]
        was_known = known.is_known
        known.record(estimate.base, real_ms)
        if was_known and estimate.work is not Work.PREFILL:
            # The speeds of prefill engines are learned from the same prefills.
            ratio = limit_time_ms(real_ms) / limit_time_ms(estimate.total_ms)
            endpoint.model.record_ratio(ratio, now)

    def correct(self, service: str, placement: Placement) -> Placement:
        """Return a placement with its expected time and wait corrected."""
        handover = placement.handover
        if handover is None:
            direct = self._correct(service, Work.DIRECT, placement.first)
            return replace(placement, expected_ms=direct.total_ms, wait_ms=direct.wait_ms)
        prefill = self._correct(service, Work.PREFILL, placement.first)
        # The decode engine works off its queue during the prefill.
        left_ms = max(0.0, handover.wait_ms - prefill.total_ms)
        rest = self._correct(service, Work.HANDOVER, PhaseTime(left_ms, handover.service_ms))
        decode_wait_ms = handover.wait_ms * self._corrections[service, Work.HANDOVER].factor
        return replace(
            placement,
            expected_ms=prefill.total_ms + rest.total_ms,
            wait_ms=max(prefill.wait_ms, decode_wait_ms),
        )

    def view(
        self, endpoint: Endpoint, now: float, cached_prefixes: frozenset[bytes] = NO_PREFIXES
    ) -> EngineView:
        """Return an engine as the choice of engines sees it."""
        listed = endpoint.listed
        load = self._load(endpoint, now)
        role = listed.role
        speed = self.speeds.of_engine(listed.service, listed.identity, now)
        pace, waiting = load.pace, 0.0
        if role is EngineRole.PREFILL:
            tokens = load.waiting + RUNNING_PROMPT_PART * load.running
        else:
            speed *= DECODE_PREFILL_SPEED_RATIO
            pace *= endpoint.model.factor(now)
            tokens = load.waiting
            if role is EngineRole.DECODE:
                # Most prompts were prefilled elsewhere.
                tokens, waiting = 0.0, load.waiting
        if tokens:
            tokens *= self._prompt_tokens.get(listed.service, 0.0)
        # The reports and the peers tell of the same requests.
        peer_tokens = self._peer_tokens(listed.identity)
        return EngineView(
            listed.identity,
            listed.zone,
            role,
            speed,
            endpoint.queued_prefill_tokens + (tokens if tokens > peer_tokens else peer_tokens),
            load.requests,
            load.slots,
            cached_prefixes,
            waiting,
            pace,
        )

    def _correct(self, service: str, work: Work, time: PhaseTime) -> PhaseTime:
        """Return a corrected time; the fixed part belongs to the service time."""
        correction = self._corrections[service, work]
        wait_ms = correction.factor * time.wait_ms
        return PhaseTime(wait_ms, correction.apply(time.total_ms) - wait_ms)

    def _load(self, endpoint: Endpoint, now: float) -> _Load:
        listed, model = endpoint.listed, endpoint.model
        running, waiting = self._usual.usual(listed.service, listed.role, now)
        pace = 1.0
        slots = listed.slots
        report = model.report
        if report is not None:
            weight = 0.5 ** ((now - report.at) / REPORT_HALF_LIFE_S)
            running += weight * (model.others_running - running)
            waiting += weight * (model.others_waiting - waiting)
            pace += weight * (model.pace - pace)
            slots = slots or report.slots
        slots = slots or 1
        requests = endpoint.in_flight + running + waiting
        if model.refused_at != -math.inf:
            requests = max(requests, slots * model.fullness(now))
        return _Load(running, waiting, requests, slots, pace)

    def _pace(self, model: EndpointModel, now: float) -> float:
        report = model.report
        return 1.0 if report is None else 1.0 + model.weight(now) * (model.pace - 1.0)


def _queue_per_slot(load: _Load) -> float:
    """Return how many times over the slots must become free before a new request gets one."""
    return max(0.0, load.requests + 1 - load.slots) / load.slots
