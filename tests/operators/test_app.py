"""Tests of the operator API through its client."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Any

import pytest

from shallotmux.authority import LocalAuthority, RecordCrash, digest_secret
from shallotmux.errors import AuthorityUnavailable, EndpointError, OutcomeUnknown
from shallotmux.http import HttpRequest, fetch
from shallotmux.operators import (
    LocalStatus,
    ObjectName,
    OperatorApp,
    OperatorClient,
    OperatorDependencies,
    OperatorError,
    Providers,
    ZoneQuarantine,
)
from shallotmux.standins import MemoryClient, MemoryNetwork

HOST = '10.0.0.1:81'
TOKEN = 'operator-token-1'
PEPPER = b'pepper-for-tests-only'
CUSTOMER = ObjectName('customer', 'tailors')


@dataclass
class Bench:
    """An operator application and a client of it."""

    network: MemoryNetwork
    authority: LocalAuthority
    client: OperatorClient

    async def raw(
        self, method: str, path: str, body: bytes = b'', **extra: str
    ) -> tuple[int, bytes]:
        """Send a request and return status and body."""
        headers = {'authorization': f'Bearer {TOKEN}', **extra}
        request = HttpRequest(method, HOST, path, body, headers)
        return await fetch(self.network.client('10.9.0.1:0'), request, 1_000_000)


@pytest.fixture
async def bench(network: MemoryNetwork) -> Bench:
    """Return an application over a local authority."""
    return serve(network, LocalAuthority())


def serve(network: MemoryNetwork, authority: LocalAuthority) -> Bench:
    """Serve an application over an authority."""
    providers = Providers(LocalStatus(authority, 'entry-1', 'zone-a'))
    tools = OperatorDependencies(authority, PEPPER, TOKEN, providers, body_bytes=2000)
    network.serve(HOST, OperatorApp(tools))
    client = OperatorClient(network.client('10.9.0.1:0'), HOST, TOKEN)
    return Bench(network, authority, client)


@dataclass
class LosingClient:
    """Loses the answers to the first sends."""

    inner: MemoryClient
    lose: int
    sent: list[HttpRequest] = field(default_factory=list)

    def stream(self, request: HttpRequest) -> Any:
        """Send a request."""
        self.sent.append(request)
        return _Lossy(self.inner.stream(request), len(self.sent) <= self.lose)


@dataclass
class _Lossy:
    inner: Any
    lost: bool

    async def __aenter__(self) -> Any:
        response = await self.inner.__aenter__()
        if self.lost:
            raise EndpointError('connection broke')
        return response

    async def __aexit__(self, *details: object) -> None:
        await self.inner.__aexit__(*details)


async def test_put_answers_where_it_is_in_force(bench: Bench) -> None:
    """Guards against an accepted change without a statement of where it is in force."""
    answer = await bench.client.put(CUSTOMER, {'contract': {'weight': 2}}, 0)
    assert (answer['revision'], answer['in_force'], answer['pending']) == (1, ['zone-a'], [])
    shown = await bench.client.find(CUSTOMER)
    assert shown is not None
    assert shown['item']['contract']['weight'] == 2
    assert (await bench.client.view('customer'))['items'] == [shown]


async def test_stale_writer_is_told_the_winning_revision(bench: Bench) -> None:
    """Guards against overwriting a change that the operator has not seen."""
    await bench.client.put(CUSTOMER, {}, 0)
    with pytest.raises(OperatorError) as caught:
        await bench.client.put(CUSTOMER, {'contract': {'weight': 2}}, 0)
    assert caught.value.status == 412
    assert caught.value.details['winning_revision'] == 1
    assert caught.value.details['not_run'] is True


@pytest.mark.parametrize(
    ('place', 'plain', 'expected'),
    [
        (
            CUSTOMER,
            {'contract': {'wieght': 2}},
            "contract.wieght: unknown key; did you mean 'weight'",
        ),
        (
            CUSTOMER,
            {'contract': {'weight': 'x'}},
            'contract.weight: Input should be a valid number',
        ),
        (CUSTOMER, {'contract': {'weight': -1}}, 'contract.weight: must be a finite number'),
        (CUSTOMER, {'name': 'other'}, "name: must be 'tailors'"),
        (ObjectName('customer', 'a b'), {}, 'name: letters, digits'),
        (
            ObjectName('pool', 'p'),
            {'zone': 'z', 'endpoints': [{'name': 'e', 'zone': 'y', 'address': '10.0.0.1:1'}]},
            "endpoints.0.zone: must be the zone of the pool, 'z'",
        ),
        (
            ObjectName('pool', 'p'),
            {'zone': 'z', 'endpoints': [{'name': 'e', 'zone': 'z', 'adress': ''}]},
            "endpoints.0.adress: unknown key; did you mean 'address'",
        ),
        (
            ObjectName('exception', 'e'),
            {'subject': 'customer/t', 'setting': 'cheap_share', 'amount': 0, 'reason': ' '},
            'reason: a written reason is mandatory',
        ),
        (ObjectName('defaults', 'fleet'), {'cheap_share': 1.5}, 'between 0 and 1, not 1.5'),
    ],
)
async def test_invalid_body_names_field(
    bench: Bench, place: ObjectName, plain: dict[str, Any], expected: str
) -> None:
    """Guards against a wrong value that is accepted, or refused without naming the field."""
    with pytest.raises(OperatorError) as caught:
        await bench.client.put(place, plain, 0)
    assert caught.value.status == 400
    assert expected in caught.value.message


async def test_lost_answer_is_sent_again_once_applied(bench: Bench) -> None:
    """Guards against a resend that conflicts with itself or shows a secret that does not work."""
    await bench.client.put(CUSTOMER, {}, 0)
    losing = LosingClient(bench.network.client('10.9.0.1:0'), 1)
    created = await OperatorClient(losing, HOST, TOKEN).create_key('tailors')  # type: ignore[arg-type]
    ids = {request.headers['shallotmux-operation-id'] for request in losing.sent}
    assert (len(losing.sent), len(ids)) == (2, 1)
    assert list(bench.authority.read().keys.keys) == [created['key_id']]
    assert bench.authority.read().key_by_digest(digest(created['secret'])) is not None


def digest(secret: str) -> str:
    """Return the stored hash of a secret."""
    return digest_secret(secret, PEPPER)


async def test_all_answers_lost_is_unknown(bench: Bench) -> None:
    """Guards against reporting a failure for a change that took effect."""
    losing = LosingClient(bench.network.client('10.9.0.1:0'), 99)
    with pytest.raises(OutcomeUnknown, match='operation id op-'):
        await OperatorClient(losing, HOST, TOKEN).put(CUSTOMER, {}, 0)  # type: ignore[arg-type]
    assert bench.authority.read().revision == 1


async def test_conflict_after_lost_answer_is_reported(bench: Bench) -> None:
    """Guards against hiding a definite result behind an unknown outcome."""
    await bench.client.put(CUSTOMER, {}, 0)
    losing = LosingClient(bench.network.client('10.9.0.1:0'), 1)
    with pytest.raises(OperatorError, match='is at revision 1'):
        await OperatorClient(losing, HOST, TOKEN).put(CUSTOMER, {}, 0)  # type: ignore[arg-type]


async def test_resend_with_other_seed_is_refused(bench: Bench) -> None:
    """Guards against showing a secret that was never stored."""
    await bench.client.put(CUSTOMER, {}, 0)
    operation = {'shallotmux-operation-id': 'op-1'}
    status, first = await bench.raw('POST', '/v1/customer/tailors/keys', **operation)
    assert (status, b'sk-shallot-' in first) == (200, True)
    status, second = await bench.raw('POST', '/v1/customer/tailors/keys', **operation)
    assert (status, b'sk-shallot-' in second) == (422, False)


async def test_operation_id_of_another_change_shows_no_secret(bench: Bench) -> None:
    """Guards against a secret for a key that a reused operation id did not create."""
    operation = {'shallotmux-operation-id': 'op-1'}
    await bench.raw('PUT', '/v1/customer/tailors', b'{}', **operation)
    status, body = await bench.raw('POST', '/v1/customer/tailors/keys', **operation)
    assert (status, b'sk-shallot-' in body) == (422, False)


async def test_key_list_shows_no_secret(bench: Bench) -> None:
    """Guards against a listing that reveals a secret or its digest."""
    await bench.client.put(CUSTOMER, {}, 0)
    created = await bench.client.create_key('tailors')
    await bench.client.withdraw_key(created['key_id'])
    listed = (await bench.client.view('customer/tailors/keys'))['items']
    assert listed == [{'key_id': created['key_id'], 'customer': 'tailors', 'withdrawn': True}]


@pytest.mark.parametrize(
    ('method', 'path', 'extra', 'expected'),
    [
        ('GET', '/v1/status', {'authorization': 'Bearer wrong'}, 401),
        ('PUT', '/v1/customer/tailors', {}, 400),
        ('PUT', '/v1/customer/tailors', {'shallotmux-operation-id': 'x' * 129}, 400),
        ('PATCH', '/v1/customer/tailors', {'shallotmux-operation-id': 'a'}, 404),
        ('GET', '/v2/status', {}, 404),
        ('GET', '/v1/customer/absent', {}, 404),
    ],
)
async def test_wrong_request_is_refused(
    bench: Bench, method: str, path: str, extra: dict[str, str], expected: int
) -> None:
    """Guards against an operation without credential, operation id or known path."""
    status, _ = await bench.raw(method, path, b'{}', **extra)
    assert status == expected
    assert bench.authority.read().revision == 0


async def test_oversized_body_is_refused(bench: Bench) -> None:
    """Guards against a body without bound."""
    extra = {'shallotmux-operation-id': 'a'}
    status, _ = await bench.raw('PUT', '/v1/customer/tailors', b' ' * 2001, **extra)
    assert status == 413


@pytest.mark.parametrize(
    ('failure', 'expected'),
    [(AuthorityUnavailable('no quorum'), (503, True)), (OutcomeUnknown('timeout'), (504, False))],
)
async def test_failure_tells_whether_it_ran(
    network: MemoryNetwork, failure: Exception, expected: tuple[int, bool]
) -> None:
    """Guards against an answer that claims more than is known."""
    bench = serve(network, _Failing(failure))
    extra = {'shallotmux-operation-id': 'a'}
    status, body = await bench.raw('PUT', '/v1/customer/tailors', b'{}', **extra)
    assert (status, b'"not_run":true' in body) == expected


class _Failing(LocalAuthority):
    """Fails every command."""

    def __init__(self, failure: Exception) -> None:
        super().__init__()
        self._failure = failure

    async def submit(self, command: Any) -> Any:
        """Raise the failure."""
        raise self._failure


async def test_views_show_what_exists(bench: Bench) -> None:
    """Guards against a view that fails when no other part is plugged in."""
    assert (await bench.client.view('status'))['zones'][0]['leader'] == 'local'
    for path in ('usage', 'quarantine', 'decision', 'key'):
        assert (await bench.client.view(path))['items'] == []
    with pytest.raises(OperatorError, match='not quarantined'):
        await bench.client.lift_quarantine('f')


async def test_quarantine_is_listed_and_lifted(bench: Bench) -> None:
    """Guards against a quarantine that operators cannot see or lift."""
    provider = ZoneQuarantine(bench.authority)
    now = time.time()
    for number in range(2):
        crash = RecordCrash(f'c{number}', 'e1', ('f',), alone=True, time_s=now, quarantine_s=600)
        await bench.authority.submit(crash)
    assert [each.fingerprint for each in provider.quarantined()] == ['f']
    await provider.lift('lift', 'f')
    assert provider.quarantined() == []
