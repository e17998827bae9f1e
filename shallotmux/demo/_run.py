"""Run an instance with stand-in engines and show a request from end to end."""

from __future__ import annotations

import click
import msgspec
import trio

from shallotmux.authority import CreateKey, PutObject, WithdrawKey, create_secret
from shallotmux.daemon import DaemonInstance
from shallotmux.http import HttpcoreClient, HttpRequest, Listener, fetch, serve_app
from shallotmux.settings import (
    GroupSettings,
    InstanceSettings,
    ListenerSettings,
    SecretSettings,
    Settings,
)
from shallotmux.standins import EngineStandin
from shallotmux.world import Customer, Endpoint, EndpointPool, Route

LOOPBACK = '127.0.0.1:0'
PEPPER = 'demonstration-pepper'
ENGINES = 3
LIMIT_BYTES = 1_000_000


def demo_settings() -> Settings:
    """Return the settings of the demonstration instance."""
    return Settings(
        instance=InstanceSettings(name='entry-1', zone='zone-a'),
        listeners=ListenerSettings(callers=LOOPBACK, operators=LOOPBACK),
        secrets=SecretSettings(pepper=PEPPER, operator_token='demonstration-token'),  # noqa: S106
        groups=GroupSettings(standalone=True),
    )


async def run_demo() -> None:
    """Start everything, send one streamed request and one with a withdrawn key."""
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        engines = []
        for number in range(ENGINES):
            name = f'engine-{number + 1}'
            address = await nursery.start(
                serve_app, EngineStandin(name), Listener(LOOPBACK), stop.wait
            )
            engines.append(Endpoint(name, 'zone-a', address))
        daemon = DaemonInstance(demo_settings())
        addresses = await nursery.start(daemon.run)
        secret, key_id = await _configure(daemon, tuple(engines))
        client = HttpcoreClient()
        await _ask(client, addresses.callers, secret)
        await daemon.authority.submit(WithdrawKey('demo-withdraw', key_id))
        await _ask(client, addresses.callers, secret)
        await client.close()
        daemon.shut_down()
        stop.set()


async def _configure(daemon: DaemonInstance, engines: tuple[Endpoint, ...]) -> tuple[str, str]:
    items = (
        Customer('tailors'),
        EndpointPool('sorting', 'zone-a', engines, 'sorter'),
        Route('sorter', 'sorting'),
    )
    for item in items:
        await daemon.authority.submit(PutObject(f'demo-{item.name}', item, 0))
    secret, key = create_secret('tailors', PEPPER.encode())
    await daemon.authority.submit(CreateKey('demo-key', key))
    return secret, key.key_id


async def _ask(client: HttpcoreClient, address: str, secret: str) -> None:
    body = msgspec.json.encode(
        {
            'model': 'sorter',
            'messages': [{'role': 'user', 'content': 'Sort lot 7.'}],
            'stream': True,
            'max_tokens': 8,
        },
    )
    headers = {'authorization': f'Bearer {secret}', 'content-type': 'application/json'}
    request = HttpRequest('POST', address, '/v1/chat/completions', body, headers)
    status, answer = await fetch(client, request, LIMIT_BYTES)
    click.echo(f'status {status}')
    click.echo(answer.decode())
