"""Run model requests on endpoints and relay their answers."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random

import trio

from shallotmux.authority import Authority
from shallotmux.decisions import EndpointView, route_request
from shallotmux.engines import EngineClient, EngineRun
from shallotmux.errors import EndpointRefused, ShallotmuxError
from shallotmux.observability import DecisionLog, DecisionRecord
from shallotmux.requests._request import CallerRequest
from shallotmux.world import Endpoint


class RequestRefused(ShallotmuxError):
    """A request is refused or cannot be completed.

    :param not_run: whether it certainly did not run.
    """

    def __init__(self, message: str, *, code: str, not_run: bool, status: int = 503) -> None:
        super().__init__(message, step='execute')
        self.code = code
        self.not_run = not_run
        self.status = status


@dataclass(frozen=True, slots=True)
class Tools:
    """Collaborators of the executor."""

    authority: Authority
    engines: EngineClient
    decisions: DecisionLog
    random: Random


class RequestExecutor:
    """Routes requests and relays the event streams of engines."""

    def __init__(self, tools: Tools) -> None:
        self._tools = tools
        self._in_flight: Counter[str] = Counter()

    @asynccontextmanager
    async def stream(self, request: CallerRequest) -> AsyncIterator[AsyncIterator[bytes]]:
        """Run a request and open its events as they come from the engine.

        :raises RequestRefused: if the request did not run or its outcome is unknown.
        """
        endpoint = self._route(request)
        run = EngineRun(
            attempt_id=f'{request.response_id}.1',
            response_id=request.response_id,
            payload=request.payload,
            offset=request.offset,
            chat=request.chat,
        )
        self._in_flight[endpoint.name] += 1
        try:
            async with self._tools.engines.run(endpoint, run) as response:
                yield response.chunks()
        except EndpointRefused as error:
            raise RequestRefused(str(error), code='not_run', not_run=True) from error
        finally:
            self._in_flight[endpoint.name] -= 1

    def _route(self, request: CallerRequest) -> Endpoint:
        pool = self._tools.authority.read().pool(request.route.pool)
        views = [
            EndpointView(endpoint, own_in_flight=self._in_flight[endpoint.name])
            for endpoint in (pool.endpoints if pool else ())
        ]
        decision = route_request(views, self._tools.random)
        if decision is None:
            raise RequestRefused(
                f'route {request.route.name!r} has no endpoint', code='no_endpoint', not_run=True
            )
        self._tools.decisions.record(
            DecisionRecord(
                kind='routing',
                subject=request.response_id,
                outcome=decision.endpoint.name,
                reason=decision.reason,
                figures={
                    'customer': request.customer,
                    'route': request.route.name,
                    'sampled': list(decision.sampled),
                },
                time_s=trio.current_time(),
            ),
        )
        return decision.endpoint
