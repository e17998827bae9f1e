"""Tests of the caller application, from a caller's request to the engine and back."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
import pytest
from trio.testing import MockClock

from shallotmux.authority import CreateKey, PutObject, WithdrawKey, create_secret
from shallotmux.daemon import DaemonInstance
from shallotmux.http import HttpRequest, fetch
from shallotmux.settings import GroupSettings, InstanceSettings, SecretSettings, Settings
from shallotmux.standins import EngineStandin, MemoryNetwork, SharedGroup, prompt_key, token_text
from shallotmux.world import Customer, Endpoint, EndpointPool, Route

INSTANCE_ADDRESS = '10.0.0.1:80'
CALLER_ADDRESS = '10.9.0.1:0'
PEPPER = 'pepper-for-tests-only'
MESSAGES = [{'role': 'user', 'content': 'Sort lot 7.'}]
TOKENS = 5
MAX_RESPONSE_BYTES = 1_000_000


@dataclass
class Deployment:
    """One instance with three engines, and the secret of a customer's API key."""

    network: MemoryNetwork
    daemon: DaemonInstance
    engines: list[EngineStandin]
    secret: str
    key_id: str

    async def request_completion(
        self, secret: str, *, stream: bool = True, **extra: str
    ) -> tuple[int, bytes]:
        """Send a chat completion and return status and body."""
        body = msgspec.json.encode(
            {'model': 'sorter', 'messages': MESSAGES, 'stream': stream, 'max_tokens': TOKENS}
        )
        headers = {'authorization': f'Bearer {secret}', **extra}
        request = HttpRequest('POST', INSTANCE_ADDRESS, '/v1/chat/completions', body, headers)
        return await fetch(self.network.client(CALLER_ADDRESS), request, MAX_RESPONSE_BYTES)


@pytest.fixture
async def deployment(network: MemoryNetwork) -> Deployment:
    """Return a running instance with three engines, a route and an API key."""
    settings = Settings(
        instance=InstanceSettings(name='entry-1', zone='zone-a'),
        secrets=SecretSettings(pepper=PEPPER, operator_token='x' * 16),
        groups=GroupSettings(standalone=True),
    )
    daemon = DaemonInstance(settings, client=network.client(INSTANCE_ADDRESS))
    network.serve(INSTANCE_ADDRESS, daemon.caller_app)
    engines = [EngineStandin(f'engine-{number}') for number in range(3)]
    endpoints = []
    for number, engine in enumerate(engines):
        address = f'10.1.0.{number}:80'
        network.serve(address, engine)
        endpoints.append(Endpoint(engine.name, 'zone-a', address))
    items = (
        Customer('tailors'),
        EndpointPool('sorting', 'zone-a', tuple(endpoints), 'sorter'),
        Route('sorter', 'sorting'),
    )
    for item in items:
        await daemon.authority.submit(PutObject(f'test-{item.name}', item, 0))
    secret, key = create_secret('tailors', PEPPER.encode())
    await daemon.authority.submit(CreateKey('test-key', key))
    return Deployment(network, daemon, engines, secret, key.key_id)


def expected_text() -> str:
    """Return the text that an engine generates for the test prompt."""
    key = prompt_key({'model': 'sorter', 'messages': MESSAGES})
    return ''.join(token_text(key, position) for position in range(TOKENS))


async def test_stream_relays_complete_response(
    deployment: Deployment, autojump_clock: MockClock
) -> None:
    """Guards against events that are lost or changed between engine and caller."""
    status, body = await deployment.request_completion(deployment.secret)
    assert status == 200
    events = [part.partition(b'data: ')[2] for part in body.split(b'\n\n') if part]
    assert events[-1] == b'[DONE]'
    deltas = [msgspec.json.decode(event)['choices'][0]['delta'] for event in events[:-1]]
    assert ''.join(delta['content'] for delta in deltas) == expected_text()


async def test_collected_completion_equals_stream(
    deployment: Deployment, autojump_clock: MockClock
) -> None:
    """Guards against a difference between streamed and collected completions."""
    status, body = await deployment.request_completion(deployment.secret, stream=False)
    assert status == 200
    choice = msgspec.json.decode(body)['choices'][0]
    assert choice['message']['content'] == expected_text()


async def test_unknown_key_is_refused_as_not_run(
    deployment: Deployment, autojump_clock: MockClock
) -> None:
    """Guards against a request that runs without a valid key."""
    status, body = await deployment.request_completion('sk-wrong')
    assert status == 401
    assert msgspec.json.decode(body)['error']['not_run'] is True
    assert not any(engine.history for engine in deployment.engines)


@pytest.mark.parametrize(
    ('path', 'key'),
    [
        ('/v1/chat/completions', 'sk-of-a-customer'),
        ('/v1/chat/completions', ''),
        ('/v1/services/booking/run', ''),
    ],
)
async def test_stale_state_refusal_is_retryable(
    network: MemoryNetwork, path: str, key: str, autojump_clock: MockClock
) -> None:
    """Guards against a final refusal of valid keys and routes by a restarted instance.

    Such an instance has no complete state yet, so it must ask the caller to retry elsewhere.
    """
    settings = Settings(
        instance=InstanceSettings(name='entry-1', zone='zone-a'),
        secrets=SecretSettings(pepper=PEPPER, operator_token='x' * 16),
    )
    group = SharedGroup(isolated={'entry-1'})
    client = network.client(INSTANCE_ADDRESS)
    daemon = DaemonInstance(settings, client=client, authority=group.member('entry-1'))
    network.serve(INSTANCE_ADDRESS, daemon.caller_app)
    headers = {'authorization': f'Bearer {key}'} if key else {}
    body = msgspec.json.encode({'model': 'sorter', 'messages': MESSAGES})
    request = HttpRequest('POST', INSTANCE_ADDRESS, path, body, headers)
    status, answer = await fetch(network.client(CALLER_ADDRESS), request, MAX_RESPONSE_BYTES)
    error = msgspec.json.decode(answer)['error']
    assert (status, error['code'], error['not_run']) == (503, 'authority_stale', True)


async def test_withdrawn_key_is_refused(deployment: Deployment, autojump_clock: MockClock) -> None:
    """Guards against a key that is accepted after its withdrawal."""
    await deployment.daemon.authority.submit(WithdrawKey('w', deployment.key_id))
    status, _ = await deployment.request_completion(deployment.secret)
    assert status == 401


async def test_key_never_reaches_engine(deployment: Deployment, autojump_clock: MockClock) -> None:
    """Guards against forwarding the caller's key to an endpoint."""
    await deployment.request_completion(deployment.secret)
    received = [each for engine in deployment.engines for each in engine.history]
    assert received
    assert not any(deployment.secret in repr(each) for each in received)


async def test_routing_decision_is_recorded(
    deployment: Deployment, autojump_clock: MockClock
) -> None:
    """Guards against a dispatch whose routing decision is not recorded."""
    _, body = await deployment.request_completion(deployment.secret, stream=False)
    response_id = msgspec.json.decode(body)['id']
    records = deployment.daemon.decisions.find(response_id)
    assert [record.kind for record in records] == ['routing']


async def test_resumed_stream_starts_at_offset(
    deployment: Deployment, autojump_clock: MockClock
) -> None:
    """Guards against lost or repeated tokens when a caller resumes a stream."""
    _, full = await deployment.request_completion(deployment.secret)
    response_id = msgspec.json.decode(full.split(b'\n\n')[0].partition(b'data: ')[2])['id']
    headers = {'shallotmux-response-id': response_id, 'last-event-id': '2'}
    status, rest = await deployment.request_completion(deployment.secret, **headers)
    assert status == 200
    assert full.split(b'\n\n')[2:] == rest.split(b'\n\n')


async def test_response_id_of_another_body_is_refused(
    deployment: Deployment, autojump_clock: MockClock
) -> None:
    """Guards against resuming a response with the id of another request."""
    other_request_id = f'chatcmpl-{"0" * 16}-{"0" * 32}'
    headers = {'shallotmux-response-id': other_request_id, 'last-event-id': '2'}
    status, body = await deployment.request_completion(deployment.secret, **headers)
    assert status == 409
    assert msgspec.json.decode(body)['error']['code'] == 'response_mismatch'
