"""An instance with stand-in back ends on loopback."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec
import trio

from shallotmux.daemon import Addresses, DaemonInstance
from shallotmux.http import HttpcoreClient, HttpRequest, Listener, fetch, serve_app
from shallotmux.operators import ObjectName, OperatorClient
from shallotmux.settings import (
    GroupSettings,
    InstanceSettings,
    ListenerSettings,
    SecretSettings,
    Settings,
)
from shallotmux.standins import EngineBehaviour, EngineStandin

OPERATOR_TOKEN = 'operator-token-1'
LOOPBACK = '127.0.0.1:0'
MAX_BODY_BYTES = 10_000_000
PROMPT = 'Sort the pattern sheet of lot 7.'


@dataclass
class Deployment:
    """A running instance, its engine, and what its client was answered."""

    daemon: DaemonInstance
    addresses: Addresses
    engine: EngineStandin
    client: HttpcoreClient
    answers: list[bytes] = field(default_factory=list)

    def operator(self) -> OperatorClient:
        """Return a client of the operator API."""
        return OperatorClient(self.client, self.addresses.operators, OPERATOR_TOKEN)

    async def chat(self, secret: str, **fields: Any) -> int:
        """Send a chat request, keep the answer, and return its status."""
        body = {
            'model': 'sorter',
            'messages': [{'role': 'user', 'content': PROMPT}],
            'max_tokens': 3,
            **fields,
        }
        return await self.send('/v1/chat/completions', msgspec.json.encode(body), secret)

    async def send(self, path: str, body: bytes, secret: str) -> int:
        """Send a request, keep the answer, and return its status."""
        headers = {'authorization': f'Bearer {secret}'}
        request = HttpRequest('POST', self.addresses.callers, path, body, headers)
        status, answer = await fetch(self.client, request, MAX_BODY_BYTES)
        self.answers.append(answer)
        return status


async def start_deployment(nursery: trio.Nursery) -> Deployment:
    """Start an instance with one engine and configure customer, pool and route."""
    engine = EngineStandin('e1', EngineBehaviour(token_s=0))
    address = await nursery.start(serve_app, engine, Listener(LOOPBACK), trio.sleep_forever)
    settings = Settings(
        instance=InstanceSettings(name='entry-1', zone='zone-a'),
        listeners=ListenerSettings(callers=LOOPBACK, operators=LOOPBACK, metrics=LOOPBACK),
        secrets=SecretSettings(pepper='p' * 16, operator_token=OPERATOR_TOKEN),
        groups=GroupSettings(standalone=True),
    )
    daemon = DaemonInstance(settings)
    deployment = Deployment(daemon, await nursery.start(daemon.run), engine, HttpcoreClient())
    operator = deployment.operator()
    endpoints = [{'name': 'e1', 'zone': 'zone-a', 'address': address}]
    pool = {'zone': 'zone-a', 'model': 'sorter', 'endpoints': endpoints}
    await operator.put(ObjectName('customer', 'tailors'), {}, 0)
    await operator.put(ObjectName('pool', 'sorting'), pool, 0)
    await operator.put(ObjectName('route', 'sorter'), {'pool': 'sorting'}, 0)
    return deployment
