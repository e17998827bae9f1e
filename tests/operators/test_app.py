"""Tests of the operator API with its client."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Any

import pytest
import trio.testing

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
OPERATOR_TOKEN = 'operator-token-1'
PEPPER = b'pepper-for-tests-only'
CUSTOMER = ObjectName('customer', 'tailors')


@dataclass
class OperatorApiHarness:
    """An operator application on an in-memory network, and a client."""

    network: MemoryNetwork
    authority: LocalAuthority
    client: OperatorClient

    async def send_raw(
        self, method: str, path: str, body: bytes = b'', **extra: str
    ) -> tuple[int, bytes]:
        """Send a request and return status and body."""
        headers = {'authorization': f'Bearer {OPERATOR_TOKEN}', **extra}
        request = HttpRequest(method, HOST, path, body, headers)
        return await fetch(self.network.client('10.9.0.1:0'), request, 1_000_000)


@pytest.fixture
async def harness(network: MemoryNetwork) -> OperatorApiHarness:
    """Return an application over a local authority."""
    return serve(network, LocalAuthority())


def serve(network: MemoryNetwork, authority: LocalAuthority) -> OperatorApiHarness:
    """Serve an application over an authority."""
    providers = Providers(LocalStatus(authority, 'entry-1', 'zone-a'))
    dependencies = OperatorDependencies(
        authority, PEPPER, OPERATOR_TOKEN, providers, body_bytes=2000
    )
    network.serve(HOST, OperatorApp(dependencies))
    client = OperatorClient(network.client('10.9.0.1:0'), HOST, OPERATOR_TOKEN)
    return OperatorApiHarness(network, authority, client)


@dataclass
class LossyClient:
    """Loses the responses to the first requests.

    :param lose: number of lost responses.
    """

    inner: MemoryClient
    lose: int
    sent: list[HttpRequest] = field(default_factory=list)

    def stream(self, request: HttpRequest) -> Any:
        """Send a request."""
        self.sent.append(request)
        return _LossyResponse(self.inner.stream(request), len(self.sent) <= self.lose)


@dataclass
class _LossyResponse:
    inner: Any
    lost: bool

    async def __aenter__(self) -> Any:
        response = await self.inner.__aenter__()
        if self.lost:
            raise EndpointError('connection broke')
        return response

    async def __aexit__(self, *details: object) -> None:
        await self.inner.__aexit__(*details)


async def test_put_reports_where_change_is_in_force(
    harness: OperatorApiHarness, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a response that does not name the zones where the change is in force."""
    response = await harness.client.put(CUSTOMER, {'contract': {'weight': 2}}, 0)
    assert (response['revision'], response['in_force'], response['pending']) == (1, ['zone-a'], [])
    shown = await harness.client.find(CUSTOMER)
    assert shown is not None
    assert shown['item']['contract']['weight'] == 2
    assert (await harness.client.view('customer'))['items'] == [shown]


async def test_stale_write_reports_winning_revision(
    harness: OperatorApiHarness, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against overwriting a change that the operator has not seen."""
    await harness.client.put(CUSTOMER, {}, 0)
    with pytest.raises(OperatorError) as caught:
        await harness.client.put(CUSTOMER, {'contract': {'weight': 2}}, 0)
    assert caught.value.status == 412
    assert caught.value.details['winning_revision'] == 1
    assert caught.value.details['not_run'] is True


@pytest.mark.parametrize(
    ('object_name', 'fields', 'expected'),
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
    harness: OperatorApiHarness,
    object_name: ObjectName,
    fields: dict[str, Any],
    expected: str,
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an invalid value that is accepted, or refused without naming the field."""
    with pytest.raises(OperatorError) as caught:
        await harness.client.put(object_name, fields, 0)
    assert caught.value.status == 400
    assert expected in caught.value.message


async def test_resend_after_lost_response_is_applied_once(
    harness: OperatorApiHarness, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a resend that conflicts with the first send, or returns an invalid secret."""
    await harness.client.put(CUSTOMER, {}, 0)
    lossy_client = LossyClient(harness.network.client('10.9.0.1:0'), 1)
    created = await OperatorClient(lossy_client, HOST, OPERATOR_TOKEN).create_key('tailors')  # type: ignore[arg-type]
    ids = {request.headers['shallotmux-operation-id'] for request in lossy_client.sent}
    assert (len(lossy_client.sent), len(ids)) == (2, 1)
    assert list(harness.authority.read().keys.keys) == [created['key_id']]
    assert harness.authority.read().key_by_digest(digest(created['secret'])) is not None


def digest(secret: str) -> str:
    """Return the digest under which a secret is stored."""
    return digest_secret(secret, PEPPER)


async def test_outcome_is_unknown_if_all_responses_are_lost(
    harness: OperatorApiHarness, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against reporting a failure for a change that took effect."""
    lossy_client = LossyClient(harness.network.client('10.9.0.1:0'), 99)
    with pytest.raises(OutcomeUnknown, match='operation id op-'):
        await OperatorClient(lossy_client, HOST, OPERATOR_TOKEN).put(CUSTOMER, {}, 0)  # type: ignore[arg-type]
    assert harness.authority.read().revision == 1


async def test_conflict_after_lost_response_is_reported(
    harness: OperatorApiHarness, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against reporting a definitive result as an unknown outcome."""
    await harness.client.put(CUSTOMER, {}, 0)
    lossy_client = LossyClient(harness.network.client('10.9.0.1:0'), 1)
    with pytest.raises(OperatorError, match='is at revision 1'):
        await OperatorClient(lossy_client, HOST, OPERATOR_TOKEN).put(CUSTOMER, {}, 0)  # type: ignore[arg-type]


async def test_resend_with_other_seed_is_refused(
    harness: OperatorApiHarness, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against returning a secret whose digest was never stored."""
    await harness.client.put(CUSTOMER, {}, 0)
    operation = {'shallotmux-operation-id': 'op-1'}
    status, first = await harness.send_raw('POST', '/v1/customer/tailors/keys', **operation)
    assert (status, b'sk-shallot-' in first) == (200, True)
    status, second = await harness.send_raw('POST', '/v1/customer/tailors/keys', **operation)
    assert (status, b'sk-shallot-' in second) == (422, False)


async def test_reused_operation_id_returns_no_secret(
    harness: OperatorApiHarness, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against returning a secret if the operation id created no key."""
    operation = {'shallotmux-operation-id': 'op-1'}
    await harness.send_raw('PUT', '/v1/customer/tailors', b'{}', **operation)
    status, body = await harness.send_raw('POST', '/v1/customer/tailors/keys', **operation)
    assert (status, b'sk-shallot-' in body) == (422, False)


async def test_key_list_reveals_no_secret(
    harness: OperatorApiHarness, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a list that reveals a secret or its digest."""
    await harness.client.put(CUSTOMER, {}, 0)
    created = await harness.client.create_key('tailors')
    await harness.client.withdraw_key(created['key_id'])
    listed = (await harness.client.view('customer/tailors/keys'))['items']
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
async def test_invalid_request_is_refused(
    harness: OperatorApiHarness,
    method: str,
    path: str,
    extra: dict[str, str],
    expected: int,
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against serving a request without a credential, an operation id or a known path."""
    status, _ = await harness.send_raw(method, path, b'{}', **extra)
    assert status == expected
    assert harness.authority.read().revision == 0


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'extra'),
    [
        ('PUT', '/v1/customer/tailors', b'{"contract":{"connections":%b}}' % (b'9' * 400), {}),
        ('PUT', '/v1/customer/tailors', b'{"contract":{"connections":%b}}' % (b'9' * 20), {}),
        ('PUT', '/v1/customer/tailors', b'{"contract":{"weight":1e308}}', {}),
        ('PUT', '/v1/customer/tailors', b'{"contract":{"weight":1e400}}', {}),
        ('PUT', '/v1/customer/tailors', b'[' * 1900, {}),
        ('PUT', '/v1/customer/tailors', b'{}', {'if-match': '9' * 5000}),
        ('PUT', '/v1/customer/tailors', b'{}', {'if-match': '9' * 400}),
        ('PUT', '/v1/customer/tailors', b'{}', {'if-match': '9' * 20}),
        ('POST', '/v1/customer/tailors/keys', b'[' * 1900, {}),
    ],
)
async def test_value_out_of_range_is_refused(
    harness: OperatorApiHarness,
    method: str,
    path: str,
    body: bytes,
    extra: dict[str, str],
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a request that ends without an answer, or fails where it is replicated."""
    operation = {'shallotmux-operation-id': 'a', **extra}
    status, answer = await harness.send_raw(method, path, body, **operation)
    assert (status, b'"not_run":true' in answer) == (400, True)
    assert harness.authority.read().revision == 0


async def test_oversized_body_is_refused(
    harness: OperatorApiHarness, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against reading a body of unbounded size."""
    extra = {'shallotmux-operation-id': 'a'}
    status, _ = await harness.send_raw('PUT', '/v1/customer/tailors', b' ' * 2001, **extra)
    assert status == 413


@pytest.mark.parametrize(
    ('failure', 'expected'),
    [(AuthorityUnavailable('no quorum'), (503, True)), (OutcomeUnknown('timeout'), (504, False))],
)
async def test_failure_reports_whether_command_ran(
    network: MemoryNetwork,
    failure: Exception,
    expected: tuple[int, bool],
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a response that claims a certain outcome when it is unknown."""
    harness = serve(network, _FailingAuthority(failure))
    extra = {'shallotmux-operation-id': 'a'}
    status, body = await harness.send_raw('PUT', '/v1/customer/tailors', b'{}', **extra)
    assert (status, b'"not_run":true' in body) == expected


class _FailingAuthority(LocalAuthority):
    """Fails every command."""

    def __init__(self, failure: Exception) -> None:
        super().__init__()
        self._failure = failure

    async def submit(self, command: Any) -> Any:
        """Raise the configured failure."""
        raise self._failure


async def test_views_work_with_default_providers(
    harness: OperatorApiHarness, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a view that fails without the optional providers."""
    assert (await harness.client.view('status'))['zones'][0]['leader'] == 'local'
    for path in ('usage', 'quarantine', 'decision', 'key'):
        assert (await harness.client.view(path))['items'] == []
    with pytest.raises(OperatorError, match='not quarantined'):
        await harness.client.lift_quarantine('f')


async def test_quarantine_is_listed_and_lifted(
    harness: OperatorApiHarness, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a quarantine that operators can neither list nor lift."""
    provider = ZoneQuarantine(harness.authority)
    now = time.time()
    for number in range(2):
        crash = RecordCrash(f'c{number}', 'e1', ('f',), alone=True, time_s=now, quarantine_s=600)
        await harness.authority.submit(crash)
    assert [each.fingerprint for each in provider.quarantined()] == ['f']
    await provider.lift('lift', 'f')
    assert provider.quarantined() == []
