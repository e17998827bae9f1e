"""Place requests with prompts on engines, and have long prompts read first."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import trio
from eliot import log_message

from shallotmux.fleet import EngineRole, ServiceDemand
from shallotmux.forwarding._admission import Dialect
from shallotmux.forwarding._budget import PREFILL_PART, SharedRetryBudget
from shallotmux.forwarding._demand import DemandMeter
from shallotmux.forwarding._directory import EndpointDirectory
from shallotmux.forwarding._headers import Headers
from shallotmux.forwarding._job import Job
from shallotmux.forwarding._lateness import Postponed, find_wait_limit, return_after_s
from shallotmux.forwarding._pool import ConnectionPool
from shallotmux.forwarding._prefill import PrefillCall, PromptReader
from shallotmux.forwarding._state import EndpointState, Target
from shallotmux.placement import (
    EngineView,
    Placement,
    PlacementRequest,
    choose_generator,
    direct_limit,
    place_request,
)
from shallotmux.routes import EngineProfile, RouteTable

#: Speed at which an engine reads prompts while none was measured, in tokens per ms.
DEFAULT_READ_TOKENS_PER_MS = 50.0

#: Speed of an engine that reads prompts between the tokens of others, relative to one that only
#: reads; stated by the engines' description.
DECODE_READ_SPEED = 0.5

#: Engines that are asked to read one prompt. Further ones count as repeats.
MAX_PREFILLS = 2

#: Times that one handle is offered. A refusal does not tell whether the engine was full or the handle
#: gone, and a second one more likely means the latter.
MAX_SOURCE_USES = 2


class EnginePlacer:
    """Chooses engines for the requests of this instance.

    :param table: returns the look-ups of the document in force.
    :param others: returns the tokens that other instances have under way at an engine.
    """

    def __init__(
        self,
        zone: str,
        dialect: Dialect,
        pool: ConnectionPool,
        directory: EndpointDirectory,
        table: Callable[[], RouteTable | None],
        budget: SharedRetryBudget,
        others: Callable[[str], float],
    ) -> None:
        self._budget = budget
        self._random = Random()  # noqa: S311
        self._others = others
        self._zone = zone
        self._dialect = dialect
        self._directory = directory
        self._reader = PromptReader(dialect, pool, directory, budget)
        self._table = table
        self._demand = DemandMeter()

    def demands(self) -> tuple[ServiceDemand, ...]:
        """Return the prompt tokens that had to be read lately, by service."""
        return self._demand.rates()

    async def place(self, job: Job, usable: list[EndpointState]) -> Target | Postponed | None:
        """Return the engine for a job, after its prompt was read where that pays.

        A request that has not been sent yet is postponed if it would wait too long.
        """
        table = self._table()
        profile = _find_profile(table, job.service)
        if job.prompt is None or table is None or profile is None:
            return None
        request = PlacementRequest(
            job.prompt,
            self._zone,
            _transfer_speed(profile),
            direct_limit(
                job.route.gap_objective_ms, DECODE_READ_SPEED * DEFAULT_READ_TOKENS_PER_MS
            ),
        )
        if job.cache_source_uses >= MAX_SOURCE_USES:
            job.cache_source = b''
        if not job.cache_source:
            placement = place_request(request, [self._view(each) for each in usable])
            if placement is None:
                return None
            self._log(job, placement)
            self._demand.note(job.service, placement.unread_tokens)
            limit_ms = find_wait_limit(table.prompt_routes.get(job.service, ())).limit_ms(
                job.priority
            )
            if placement.wait_ms > limit_ms and not (job.sends or job.prefills):
                return Postponed(return_after_s(placement.wait_ms, limit_ms, self._random.random()))
            if placement.prefill is None or not self._may_be_refused(job):
                return self._target(
                    job, placement.decode, placement.unread_tokens, placement.fetch_from
                )
            await self._read_apart(job, request, placement)
        return self._choose_taker(job, request)

    def _may_be_refused(self, job: Job) -> bool:
        """Return whether a repeat is left, as which a refused prefill would count."""
        has_room = self._budget.has_room(job.service, PREFILL_PART)
        if not has_room:
            log_message(
                message_type='shallotmux:repeats-spent',
                request=job.request_id.decode('latin-1'),
                service=job.service,
            )
        return has_room

    async def _read_apart(
        self, job: Job, request: PlacementRequest, placement: Placement | None
    ) -> None:
        """Have the prompt read by a prefill engine, or by another one if the first does not."""
        for _ in range(MAX_PREFILLS):
            # A call that failed was charged; the first one that is accepted is not a repeat.
            if job.prefills and not self._may_be_refused(job):
                return
            job.prefills += 1
            state = self._directory.find((placement.prefill if placement else None) or '')
            if state is None or placement is None:
                return
            call = PrefillCall(
                state,
                self._fetch_headers(placement.fetch_from),
                placement.unread_tokens,
                placement.expected_ms,
            )
            handle = await self._reader.read(job, call)
            if handle is not None:
                job.cache_source = f'{state.listed.address}/{handle}'.encode()
                job.cache_source_uses = 0
                return
            job.excluded.add(state.identity)
            usable = self._directory.usable(job.service, job.excluded)
            placement = place_request(request, [self._view(each) for each in usable])

    def _choose_taker(self, job: Job, request: PlacementRequest) -> Target | None:
        """Return the engine that generates, as things are after the prompt was read."""
        usable = self._directory.usable(job.service, job.excluded)
        taker = choose_generator(request, [self._view(each) for each in usable])
        if taker is None:
            return None
        return self._target(job, taker, 0 if job.cache_source else request.prompt.tokens)

    def _target(
        self, job: Job, identity: str, unread_tokens: float, fetch_from: str | None = None
    ) -> Target | None:
        state = self._directory.find(identity)
        if state is None or job.prompt is None:
            return None
        state.note_prompt(job.prompt)
        if not job.cache_source:
            return Target(state, self._fetch_headers(fetch_from), unread_tokens)
        job.cache_source_uses += 1
        return Target(state, ((self._dialect.names.cache_source, job.cache_source),))

    def _fetch_headers(self, source: str | None) -> Headers:
        """Return what tells an engine to fetch cached parts from another one."""
        state = self._directory.find(source) if source else None
        if state is None:
            return ()
        return ((self._dialect.names.cache_peer, state.listed.address.encode()),)

    def _view(self, state: EndpointState) -> EngineView:
        now = trio.current_time()
        speed = DEFAULT_READ_TOKENS_PER_MS
        if state.listed.role is not EngineRole.PREFILL:
            speed *= DECODE_READ_SPEED
        return EngineView(
            state.identity,
            state.listed.zone,
            state.listed.role,
            speed,
            state.unread_tokens + self._others(state.identity),
            state.busy(now),
            max(1, state.listed.slots),
            state.held(now),
        )

    def _log(self, job: Job, placement: Placement) -> None:
        log_message(
            message_type='shallotmux:placement',
            request=job.request_id.decode('latin-1'),
            decode=placement.decode,
            prefill=placement.prefill,
            expected_ms=round(placement.expected_ms, 1),
            reason=placement.reason,
            fetch_from=placement.fetch_from,
            wait_ms=round(placement.wait_ms, 1),
        )


def _find_profile(table: RouteTable | None, service: str) -> EngineProfile | None:
    found = table.services.get(service) if table else None
    return found.engine if found else None


def _transfer_speed(profile: EngineProfile) -> float:
    """Return the tokens whose KV cache a link carries in a millisecond."""
    bytes_per_ms = profile.link_mbps * 1e6 / 8 / 1000
    return bytes_per_ms / max(1, profile.token_bytes)
