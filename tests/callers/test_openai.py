"""Tests of the caller protocol with the OpenAI client library over a loopback socket."""

from __future__ import annotations

import openai
import pytest
import trio
from openai import OpenAI

from shallotmux.authority import CreateKey, PutObject, WithdrawKey, create_secret
from shallotmux.daemon import DaemonInstance
from shallotmux.http import Listener, serve_app
from shallotmux.settings import (
    GroupSettings,
    InstanceSettings,
    ListenerSettings,
    SecretSettings,
    Settings,
)
from shallotmux.standins import EngineStandin
from shallotmux.world import Customer, Endpoint, EndpointPool, Route

PEPPER = 'pepper-for-tests-only'
LOOPBACK = '127.0.0.1:0'
MESSAGES = [{'role': 'user', 'content': 'Sort lot 7.'}]


def exercise_client(address: str, secret: str) -> None:
    """Check streamed and collected completions, the model list and errors; runs in a thread."""
    client = OpenAI(base_url=f'http://{address}/v1', api_key=secret, max_retries=0)
    with client:
        assert [model.id for model in client.models.list()] == ['empty', 'sorter']
        chunks = client.chat.completions.create(
            model='sorter', messages=MESSAGES, stream=True, max_tokens=5
        )
        text = ''.join(chunk.choices[0].delta.content for chunk in chunks)
        full = client.chat.completions.create(model='sorter', messages=MESSAGES, max_tokens=5)
        assert full.choices[0].message.content == text
        with pytest.raises(openai.NotFoundError):
            client.chat.completions.create(model='unknown', messages=MESSAGES)
        with pytest.raises(openai.BadRequestError) as invalid:
            client.chat.completions.create(model='sorter', messages=MESSAGES, max_tokens=0)
        assert invalid.value.code == 'invalid_body'
        assert invalid.value.body['not_run'] is True
        with pytest.raises(openai.InternalServerError) as without_endpoint:
            client.chat.completions.create(model='empty', messages=MESSAGES)
        assert without_endpoint.value.code == 'no_endpoint'


def check_withdrawn_key(address: str, secret: str) -> None:
    """Check that a withdrawn key is rejected; runs in a thread."""
    with OpenAI(base_url=f'http://{address}/v1', api_key=secret, max_retries=0) as client:
        with pytest.raises(openai.AuthenticationError):
            client.models.list()


def stream_until_error(address: str, secret: str, started: trio.Event, token: object) -> None:
    """Read a stream until its key is withdrawn; runs in a thread."""
    with OpenAI(base_url=f'http://{address}/v1', api_key=secret, max_retries=0) as client:
        chunks = client.chat.completions.create(
            model='sorter', messages=MESSAGES, stream=True, max_tokens=1_000
        )
        with pytest.raises(openai.APIError) as stream_error:
            for _ in chunks:
                trio.from_thread.run_sync(started.set, trio_token=token)
        assert stream_error.value.code == 'key_withdrawn'


async def configure(daemon: DaemonInstance, engine_address: str) -> tuple[str, str]:
    """Create a customer, a key, a model with an engine and one without; return secret and key id."""
    engine = Endpoint('engine-1', 'zone-a', engine_address)
    items = (
        Customer('tailors'),
        EndpointPool('sorting', 'zone-a', (engine,), 'sorter'),
        Route('sorter', 'sorting'),
        Route('empty', 'nothing'),
    )
    for item in items:
        await daemon.authority.submit(PutObject(f'test-{item.name}', item, 0))
    secret, key = create_secret('tailors', PEPPER.encode())
    await daemon.authority.submit(CreateKey('test-key', key))
    return secret, key.key_id


async def test_openai_client_over_loopback(nursery: trio.Nursery) -> None:
    """Guards against responses and errors that the OpenAI client library does not understand."""
    stop = trio.Event()
    engine = EngineStandin('engine-1')
    engine_address = await nursery.start(serve_app, engine, Listener(LOOPBACK), stop.wait)
    settings = Settings(
        instance=InstanceSettings(name='entry-1', zone='zone-a'),
        listeners=ListenerSettings(callers=LOOPBACK, operators=LOOPBACK),
        secrets=SecretSettings(pepper=PEPPER, operator_token='x' * 16),
        groups=GroupSettings(standalone=True),
    )
    daemon = DaemonInstance(settings)
    addresses = await nursery.start(daemon.run)
    secret, key_id = await configure(daemon, engine_address)
    with trio.fail_after(30):
        await trio.to_thread.run_sync(exercise_client, addresses.callers, secret)
        started = trio.Event()
        token = trio.lowlevel.current_trio_token()
        async with trio.open_nursery() as streams:
            streams.start_soon(
                trio.to_thread.run_sync,
                stream_until_error,
                addresses.callers,
                secret,
                started,
                token,
            )
            await started.wait()
            await daemon.authority.submit(WithdrawKey('withdraw', key_id))
        await trio.to_thread.run_sync(check_withdrawn_key, addresses.callers, secret)
        while engine.running:
            await trio.sleep(0.01)
    daemon.shut_down()
    stop.set()
