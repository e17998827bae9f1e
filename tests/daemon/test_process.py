"""Tests of the daemon as a separate process on loopback."""

from __future__ import annotations

import json
import signal
from pathlib import Path

import msgspec

from shallotmux.errors import EndpointRefused
from shallotmux.http import HttpcoreClient, HttpRequest, fetch
from shallotmux.operators import ObjectName, OperatorClient
from tests.support.processes import Process, start_process

OPERATOR_TOKEN = 'operator-token-1'
LOOPBACK = '127.0.0.1:0'
TOKENS = 40
MAX_BODY_BYTES = 1_000_000


def write_settings(folder: Path) -> str:
    """Write the settings of an instance with ports chosen by the operating system."""
    path = folder / 'settings.json'
    settings = {
        'instance': {'name': 'entry-1', 'zone': 'zone-a'},
        'listeners': {'callers': LOOPBACK, 'operators': LOOPBACK, 'metrics': LOOPBACK},
        'secrets': {'pepper': 'p' * 16, 'operator_token': OPERATOR_TOKEN},
        'groups': {'standalone': True},
    }
    path.write_text(json.dumps(settings))
    return str(path)


async def configure(client: HttpcoreClient, address: str, engine: str) -> str:
    """Create a customer and a route to an engine, and return the secret of a key."""
    operator = OperatorClient(client, address, OPERATOR_TOKEN)
    await operator.put(ObjectName('customer', 'tailors'), {}, 0)
    endpoints = [{'name': 'e1', 'zone': 'zone-a', 'address': engine}]
    pool = {'zone': 'zone-a', 'model': 'sorter', 'endpoints': endpoints}
    await operator.put(ObjectName('pool', 'sorting'), pool, 0)
    await operator.put(ObjectName('route', 'sorter'), {'pool': 'sorting'}, 0)
    return str((await operator.create_key('tailors'))['secret'])


def chat(address: str, secret: str) -> HttpRequest:
    """Return a streamed chat request."""
    messages = [{'role': 'user', 'content': 'Sort lot 7.'}]
    body = {'model': 'sorter', 'messages': messages, 'stream': True, 'max_tokens': TOKENS}
    headers = {'authorization': f'Bearer {secret}'}
    return HttpRequest('POST', address, '/v1/chat/completions', msgspec.json.encode(body), headers)


async def test_sigterm_during_stream_finishes_it(tmp_path: Path) -> None:
    """Guards against a graceful shutdown that interrupts a stream or exits with an error."""
    with (
        start_process(
            'shallotmux.standins', 'engine', '--bind', LOOPBACK, '--name', 'e1'
        ) as engine,
        start_process('shallotmux.daemon', '--settings', write_settings(tmp_path)) as daemon,
    ):
        engine_address = (await engine.read_line()).strip()
        started = await daemon.read_message('shallotmux:daemon:started')
        client = HttpcoreClient()
        secret = await configure(client, started['operators'], engine_address)
        stream_body = await read_during_shutdown(client, daemon, started, secret)
        events = [each for each in stream_body.split(b'\n\n') if each]
        assert (len(events), events[-1]) == (TOKENS + 1, b'data: [DONE]')
        await client.close()
        await daemon.read_message('shallotmux:daemon:stopped')
        assert await daemon.exit_code() == 0


async def read_during_shutdown(
    client: HttpcoreClient, daemon: Process, started: dict[str, str], secret: str
) -> bytes:
    """Read a stream, send SIGTERM after its first part, and return the complete body."""
    parts: list[bytes] = []
    async with client.stream(chat(started['callers'], secret)) as response:
        assert response.status == 200
        async for part in response.chunks():
            parts.append(part)
            if len(parts) == 1:
                daemon.signal(signal.SIGTERM)
                await daemon.read_message('shallotmux:daemon:draining')
                # A reload of certificates or a second stop signal must not cut the drain short.
                daemon.signal(signal.SIGHUP)
                daemon.signal(signal.SIGTERM)
                ready = HttpRequest('GET', started['metrics'], '/readyz')
                assert (await fetch(client, ready, MAX_BODY_BYTES))[0] == 503
                await expect_refused_connection(started['callers'])
    return b''.join(parts)


async def expect_refused_connection(address: str) -> None:
    """Check that a new connection is refused."""
    new_client = HttpcoreClient()
    try:
        await fetch(new_client, HttpRequest('GET', address, '/v1/models'), MAX_BODY_BYTES)
    except EndpointRefused:
        return
    finally:
        await new_client.close()
    raise AssertionError('a new connection was accepted while draining')


async def test_metrics_and_health_of_process(tmp_path: Path) -> None:
    """Guards against missing metrics, and a readiness page that fails on a ready instance."""
    with start_process('shallotmux.daemon', '--settings', write_settings(tmp_path)) as daemon:
        started = await daemon.read_message('shallotmux:daemon:started')
        client = HttpcoreClient()
        pages = {}
        for path in ('/metrics', '/healthz', '/readyz', '/absent'):
            pages[path] = await fetch(
                client, HttpRequest('GET', started['metrics'], path), MAX_BODY_BYTES
            )
        await client.close()
        assert {path: status for path, (status, _) in pages.items()} == {
            '/metrics': 200,
            '/healthz': 200,
            '/readyz': 200,
            '/absent': 404,
        }
        assert b'shallotmux_build_info{version=' in pages['/metrics'][1]


async def test_standin_service_responds(tmp_path: Path) -> None:
    """Guards against a plain service that cannot be started from the command line."""
    with start_process('shallotmux.standins', 'service', '--name', 'orders') as service:
        address = (await service.read_line()).strip()
        client = HttpcoreClient()
        status, body = await fetch(
            client, HttpRequest('POST', address, '/book', b'job-1'), MAX_BODY_BYTES
        )
        await client.close()
        assert (status, msgspec.json.decode(body)['run']) == (200, 1)
        service.signal(signal.SIGTERM)
        assert await service.exit_code() == 0
