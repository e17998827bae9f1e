"""Place requests with prompts on engines, with prefill on a separate engine where that pays."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace
from math import inf
from random import Random

import trio
from eliot import log_message

from shallotmux.estimates import DECODE_PREFILL_SPEED_RATIO, Estimator, Work
from shallotmux.fleet import ServiceDemand
from shallotmux.forwarding._admission import Dialect
from shallotmux.forwarding._budget import PREFILL_FRACTION, SharedRetryBudget
from shallotmux.forwarding._demand import PrefillDemandMeter
from shallotmux.forwarding._directory import EndpointDirectory
from shallotmux.forwarding._headers import Headers
from shallotmux.forwarding._job import Job
from shallotmux.forwarding._load_shedding import LoadShed, choose_retry_after_s, find_wait_limit
from shallotmux.forwarding._pool import ConnectionPool
from shallotmux.forwarding._prefill import PrefillCall, PrefillClient
from shallotmux.forwarding._quota_gate import QuotaGate
from shallotmux.forwarding._state import EndpointState, Outlook, Target
from shallotmux.placement import (
    EngineView,
    Placement,
    PlacementRequest,
    PrefillSpeeds,
    Prompt,
    choose_decode_engine,
    direct_prefill_limit,
    place_request,
)
from shallotmux.routes import EngineProfile, RouteTable

#: Prefill engines that are tried for one prompt. All but the first count as retries.
MAX_PREFILL_ATTEMPTS = 2

#: Decode engines to which one cache handle is sent. A refusal does not tell whether the engine was
#: full or the handle expired; after two refusals the latter is more likely.
MAX_CACHE_SOURCE_USES = 2


class EnginePlacer:
    """Chooses engines for the requests of this instance.

    :param table: returns the routing table of the configuration in force.
    :param other_instances_tokens: returns the prompt tokens that other instances have queued at an
        engine.
    :param quota_gate: charges prefills.

    Its estimator also serves requests without a prompt.
    """

    def __init__(
        self,
        zone: str,
        dialect: Dialect,
        pool: ConnectionPool,
        directory: EndpointDirectory,
        table: Callable[[], RouteTable | None],
        budget: SharedRetryBudget,
        other_instances_tokens: Callable[[str], float],
        quota_gate: QuotaGate,
    ) -> None:
        self._budget = budget
        self._random = Random()  # noqa: S311
        self._other_instances_tokens = other_instances_tokens
        self._zone = zone
        self._dialect = dialect
        self._directory = directory
        self._speeds = PrefillSpeeds()
        directory.on_removed.append(self._speeds.forget)
        self.estimator = Estimator(self._speeds, other_instances_tokens)
        directory.reports.watch(self.estimator)
        self._prefill_client = PrefillClient(
            dialect, pool, directory, budget, self.estimator, quota_gate
        )
        self._table = table
        self._demand = PrefillDemandMeter()

    def demands(self) -> tuple[ServiceDemand, ...]:
        """Return the recent demand for prefill and for places on engines, by service."""
        request_rates = self._demand.request_rates()
        return tuple(
            ServiceDemand(
                service,
                tokens_per_s,
                self._speeds.of_service(service) * 1000 if self._speeds.is_known(service) else 0.0,
                self._directory.in_flight(service),
                request_rates.get(service, 0.0),
            )
            for service, tokens_per_s in self._demand.rates().items()
        )

    async def place(self, job: Job, usable: list[EndpointState]) -> Target | LoadShed | None:
        """Return the engine that generates for a job, after any separate prefill.

        :returns: :class:`LoadShed` if the request was not sent anywhere yet and would wait too long;
            None if no engine can take it.
        """
        table = self._table()
        profile = _find_profile(table, job.service)
        if job.prompt is None or table is None or profile is None:
            return None
        request = PlacementRequest(
            job.prompt,
            job.zone or self._zone,
            _transfer_speed(profile),
            direct_prefill_limit(
                job.route.gap_objective_ms,
                DECODE_PREFILL_SPEED_RATIO * self._speeds.of_service(job.service),
            ),
            self._random.random,
            zone_cost_ms=self._directory.zones.transit_ms(job),
        )
        if job.cache_source_uses >= MAX_CACHE_SOURCE_USES:
            job.cache_source = b''
        if not job.cache_source:
            placed_at = trio.current_time()
            limit_ms = find_wait_limit(table.prompt_routes.get(job.service, ())).limit_ms(
                job.priority
            )
            may_shed = not (job.sends or job.prefills)
            placement = self._place(job, request, usable, limit_ms if may_shed else inf)
            if placement is None:
                return None
            self._log_placement(job, placement)
            self._demand.record(job.service, placement.uncached_tokens)
            if may_shed and placement.wait_ms > limit_ms:
                return LoadShed(
                    choose_retry_after_s(placement.wait_ms, limit_ms, self._random.random())
                )
            # A separate prefill would bring a request on trial to two engines.
            is_direct = placement.prefill is None or self._directory.is_on_trial(job)
            if is_direct or not self._has_retry_budget(job):
                return self._build_direct_target(job, placement)
            job.placed_at = placed_at
            job.expected_ms = placement.expected_ms
            await self._prefill_separately(job, request, placement)
        return self._choose_decode_target(job, request)

    def views(
        self, usable: Iterable[EndpointState], prompt: Prompt | None = None
    ) -> list[EngineView]:
        """Return engines as their choice sees them.

        :param prompt: prompt whose cached prefixes matter; None if no engine needs to prefill.
        """
        now = trio.current_time()
        view = self.estimator.view
        if prompt is None:
            return [view(each, now) for each in usable]
        return [view(each, now, each.cached_prefixes(prompt, now)) for each in usable]

    def _place(
        self,
        job: Job,
        request: PlacementRequest,
        usable: list[EndpointState],
        limit_ms: float = inf,
    ) -> Placement | None:
        """Return the placement of a request with its corrected times.

        :param limit_ms: wait beyond which engines with shorter queues are considered as well.
        """
        views = self.views(usable, request.prompt)
        placement = place_request(request, views)
        if placement is None:
            return None
        corrected = self.estimator.correct(job.service, placement)
        if corrected.wait_ms > limit_ms:
            relieved = place_request(replace(request, is_to_be_shed=True), views)
            if relieved is not None:
                corrected = self.estimator.correct(job.service, relieved)
        self.estimator.record_prompt(job.service, corrected.uncached_tokens)
        return corrected

    def _has_retry_budget(self, job: Job) -> bool:
        """Return whether the budget allows a retry; a refused prefill counts as one."""
        allows_retry = self._budget.allows_retry(job.service, PREFILL_FRACTION)
        if not allows_retry:
            log_message(
                message_type='shallotmux:repeats-spent',
                request=job.request_id.decode('latin-1'),
                service=job.service,
            )
        return allows_retry

    async def _prefill_separately(
        self, job: Job, request: PlacementRequest, placement: Placement | None
    ) -> None:
        """Prefill the prompt on a prefill engine, or on another one if the first one fails."""
        for _ in range(MAX_PREFILL_ATTEMPTS):
            # Failed calls were charged to the budget; a first call that is accepted is no retry.
            if job.prefills and not self._has_retry_budget(job):
                return
            if self._directory.quarantine_ends_in(job):
                return
            job.prefills += 1
            state = self._directory.find((placement.prefill if placement else None) or '')
            if state is None or placement is None:
                return
            call = PrefillCall(
                state,
                self._fetch_headers(placement.fetch_from),
                placement.uncached_tokens,
                placement.expected_ms,
                self.estimator.estimate_phase(
                    state, Work.PREFILL, placement.first, trio.current_time()
                ),
                self._backlog_tokens(state),
                placement.fetch_ms,
            )
            handle = await self._prefill_client.run_prefill(job, call)
            if handle is not None:
                if job.is_prefilled:
                    # Only the first accepted prefill of a request is no retry.
                    self._budget.charge(job.service)
                job.is_prefilled = True
                job.cache_source = f'{state.listed.address}/{handle}'.encode()
                job.cache_source_uses = 0
                return
            job.excluded.add(state.identity)
            usable = self._directory.usable_for(job)
            placement = self._place(job, request, usable)

    def _choose_decode_target(self, job: Job, request: PlacementRequest) -> Target | None:
        """Return the engine that generates, by the load after prefill."""
        usable = [each for each in self._directory.usable_for(job) if each.may_answer]
        decode_engine = choose_decode_engine(request, self.views(usable))
        state = self._directory.find(decode_engine or '')
        if state is None:
            return None
        now = trio.current_time()
        if not job.cache_source:
            tokens = request.prompt.tokens
            estimate = self.estimator.estimate_prompt(state, tokens, now)
            return self._build_target(
                job, state, tokens, Outlook(estimate, estimate.total_ms, now, now)
            )
        estimate = self.estimator.estimate_handover(state, request.transfer_ms, now)
        if job.cache_source_uses or job.placed_at is None:
            # The prefill belongs to the attempt before.
            outlook = Outlook(estimate, estimate.total_ms, now, now)
        else:
            outlook = Outlook(estimate, job.expected_ms, job.placed_at, now)
        return self._build_target(job, state, 0, outlook)

    def _build_direct_target(self, job: Job, placement: Placement) -> Target | None:
        """Return the engine that prefills a prompt and generates."""
        state = self._directory.find(placement.decode)
        if state is None:
            return None
        now = trio.current_time()
        estimate = self.estimator.estimate_phase(state, Work.DIRECT, placement.first, now)
        outlook = Outlook(estimate, estimate.total_ms, now, now)
        return self._build_target(
            job, state, placement.uncached_tokens, outlook, placement.fetch_from
        )

    def _build_target(
        self,
        job: Job,
        state: EndpointState,
        uncached_tokens: float,
        outlook: Outlook,
        fetch_from: str | None = None,
    ) -> Target:
        if job.prompt is not None:
            state.record_prompt(job.prompt)
        if not job.cache_source:
            extra = self._fetch_headers(fetch_from)
            return Target(state, extra, uncached_tokens, outlook=outlook)
        extra = ((self._dialect.names.cache_source, job.cache_source),)
        return Target(state, extra, outlook=outlook)

    def _fetch_headers(self, source: str | None) -> Headers:
        """Return the headers that tell an engine to fetch cached prefixes from another one."""
        state = self._directory.find(source) if source else None
        if state is None:
            return ()
        return ((self._dialect.names.cache_peer, state.listed.address.encode()),)

    def _backlog_tokens(self, state: EndpointState) -> float:
        """Return the prompt tokens that all instances have queued at an engine."""
        return state.queued_prefill_tokens + self._other_instances_tokens(state.identity)

    def _log_placement(self, job: Job, placement: Placement) -> None:
        state = self._directory.find(placement.prefill or placement.decode)
        age_s = state.model.age_s(trio.current_time()) if state else inf
        log_message(
            message_type='shallotmux:placement',
            request=job.request_id.decode('latin-1'),
            decode=placement.decode,
            prefill=placement.prefill,
            expected_ms=round(placement.expected_ms, 1),
            reason=placement.reason,
            fetch_from=placement.fetch_from,
            wait_ms=round(placement.wait_ms, 1),
            age_ms=None if age_s == inf else round(age_s * 1000),
        )


def _find_profile(table: RouteTable | None, service: str) -> EngineProfile | None:
    found = table.services.get(service) if table else None
    return found.engine if found else None


def _transfer_speed(profile: EngineProfile) -> float:
    """Return the transfer speed of KV cache over a link, in tokens per ms."""
    bytes_per_ms = profile.link_mbps * 1e6 / 8 / 1000
    return bytes_per_ms / max(1, profile.token_bytes)
