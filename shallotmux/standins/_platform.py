"""Stand-in for the platform: endpoints, instances, usage reports and the weight store."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import msgspec
import trio

from shallotmux.http import Receive, Scope, Send, read_body, send_json
from shallotmux.provisioning import AcceptedReport, PlatformEndpoint, PlatformInstance
from shallotmux.world import Endpoint

MAX_BODY_BYTES = 1_048_576


@dataclass(frozen=True, slots=True)
class PlatformOrder:
    """An order that the platform received, recorded for assertions.

    :param source: address of the sender.
    """

    time_s: float
    source: str
    order_id: str
    term: int
    body: dict[str, Any]


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A usage report that the platform received, duplicates included."""

    time_s: float
    source: str
    operation_id: str
    body: bytes


@dataclass(slots=True)
class PlatformBehaviour:
    """Behaviour of the stand-in.

    :param start_delay_s: time until an ordered endpoint appears in the list.
    :param lose_answers: number of upcoming orders and reports that are applied but not answered.
    :param weights_interval_s: minimum interval between two loads of weights.
    """

    start_delay_s: float = 30.0
    lose_answers: int = 0
    weights_interval_s: float = 1.0


@dataclass(slots=True)
class PlatformStandin:
    """ASGI application that implements the protocols of the platform."""

    behaviour: PlatformBehaviour = field(default_factory=PlatformBehaviour)
    endpoints: dict[str, PlatformEndpoint] = field(default_factory=dict)
    instances: dict[str, PlatformInstance] = field(default_factory=dict)
    orders: list[PlatformOrder] = field(default_factory=list)
    reports: list[ReceivedReport] = field(default_factory=list)
    #: Applied orders by order id; a repeated order has no further effect.
    applied: dict[str, dict[str, Any]] = field(default_factory=dict)
    #: Accepted usage reports by operation id.
    accepted: dict[str, bytes] = field(default_factory=dict)
    #: Times from which ordered endpoints are listed, by name.
    ready_at_s: dict[str, float] = field(default_factory=dict)
    next_weights_load_s: float = 0.0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI connection."""
        if scope['type'] != 'http':
            return
        body = await read_body(receive, MAX_BODY_BYTES)
        source = scope['client'][0]
        query = {key: texts[0] for key, texts in parse_qs(scope['query_string'].decode()).items()}
        if scope['method'] == 'GET':
            await send_json(send, 200, self._list(scope['path'], query.get('zone', '')))
            return
        match (scope['method'], scope['path'].strip('/').split('/')):
            case ('POST', ['endpoints']):
                await self._handle_order(source, msgspec.json.decode(body), send)
            case ('DELETE', ['endpoints', name]):
                order = {**query, 'order_id': query['operation_id'], 'release': name}
                await self._handle_order(source, order, send)
            case ('POST', ['usage-reports']):
                await self._accept_report(source, body, send)
            case ('POST', ['weights', _]):
                await self._load_weights(send)
            case _:
                await send_json(send, 404, {})

    def reclaim(self, name: str, notice_s: float) -> None:
        """Announce that an endpoint will be withdrawn after a notice period."""
        listed = self.endpoints[name]
        self.endpoints[name] = PlatformEndpoint(
            listed.endpoint, listed.pool, leaving=True, remaining_s=notice_s
        )

    def withdraw(self, name: str) -> None:
        """Remove an endpoint from the list."""
        self.endpoints.pop(name)

    def _list(self, path: str, zone: str) -> list[Any]:
        match path:
            case '/endpoints':
                return self._list_endpoints(zone)
            case '/instances':
                return list(self.instances.values())
            case '/usage-reports':
                return self._accepted_reports(zone)
            case _:
                return []

    def _list_endpoints(self, zone: str) -> list[PlatformEndpoint]:
        now = trio.current_time()
        return [
            each
            for name, each in self.endpoints.items()
            if each.endpoint.zone == zone and self.ready_at_s.get(name, 0) <= now
        ]

    def _accepted_reports(self, zone: str) -> list[AcceptedReport]:
        return [
            AcceptedReport(name, body.decode())
            for name, body in self.accepted.items()
            if msgspec.json.decode(body)['zone'] == zone
        ]

    async def _handle_order(self, source: str, body: dict[str, Any], send: Send) -> None:
        order_id = body['order_id']
        self.orders.append(
            PlatformOrder(trio.current_time(), source, order_id, int(body['term']), body)
        )
        if order_id not in self.applied:
            self.applied[order_id] = body
            self._apply(body)
        await self._respond(send, {'order_id': order_id})

    def _apply(self, body: dict[str, Any]) -> None:
        if 'release' in body:
            self.endpoints.pop(body['release'], None)
            return
        for index in range(body['count']):
            name = f'{body["order_id"].replace("/", "-")}-{index}'
            endpoint = Endpoint(name, body['zone'], f'{name}:80', cheap=body['cheap'])
            self.endpoints[name] = PlatformEndpoint(endpoint, body['pool'])
            self.ready_at_s[name] = trio.current_time() + self.behaviour.start_delay_s

    async def _accept_report(self, source: str, body: bytes, send: Send) -> None:
        operation_id = msgspec.json.decode(body)['operation_id']
        self.reports.append(ReceivedReport(trio.current_time(), source, operation_id, body))
        accepted = self.accepted.setdefault(operation_id, body)
        if accepted != body:
            await send_json(send, 409, {'error': 'figures differ from the accepted report'})
            return
        await self._respond(send, {})

    async def _load_weights(self, send: Send) -> None:
        now = trio.current_time()
        if now < self.next_weights_load_s:
            await send_json(send, 429, {'retry_after_s': self.next_weights_load_s - now})
            return
        self.next_weights_load_s = now + self.behaviour.weights_interval_s
        await send_json(send, 200, {})

    async def _respond(self, send: Send, content: dict[str, Any]) -> None:
        if self.behaviour.lose_answers:
            self.behaviour.lose_answers -= 1
            raise ConnectionResetError('answer lost after the request was applied')
        await send_json(send, 200, content)
