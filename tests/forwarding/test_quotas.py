"""Tests of requests over the quotas of their customers, through a forwarder."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

import pytest
import trio

from shallotmux.forwarding import CallerRequest
from shallotmux.forwarding._admission import Admitted
from shallotmux.forwarding._endpoint import EndpointConnection
from shallotmux.forwarding._job import Job
from shallotmux.forwarding._pool import ConnectionPool
from shallotmux.quotas import Charge, OverQuota
from shallotmux.routes import CustomerQuota
from tests.forwarding._harness import (
    NAMES,
    ForwarderHarness,
    ReceivedRequest,
    ScriptedEndpoint,
    answer,
    run_forwarder,
)
from tests.forwarding._jobs import RecordingReply


@dataclass(slots=True)
class Quotas:
    """Charges a number of requests."""

    left: int
    valid_s: float = 1.0
    charged: list[tuple[str, float]] = field(default_factory=list)
    returned: int = 0
    #: Whether what comes back is used by others at once.
    spend_next: bool = False

    async def charge(self, customer: str, amount: float) -> Charge | OverQuota:
        """Charge a request."""
        if not self.left:
            return OverQuota(0.7)
        self.left -= 1
        self.charged.append((customer, amount))
        return Charge(customer, amount, trio.current_time() + self.valid_s)

    def give_back(self, charge: Charge) -> None:
        """Count what comes back."""
        self.returned += 1
        self.left += not self.spend_next


def limit(harness: ForwarderHarness, quotas: Quotas) -> None:
    """Give the customer a quota of requests."""
    harness.forwarder.quota_gate.quotas = quotas  # type: ignore[assignment]
    view = harness.forwarder.view
    assert view.table is not None
    customer = replace(view.table.document.customers[0], quota=CustomerQuota(1, 1))
    view.apply_document(replace(view.table.document, version=2, customers=(customer,)))


def admit(harness: ForwarderHarness) -> Job:
    """Return the job for a request of the customer."""
    headers = (
        (b'host', b'shop.example'),
        (b'x-request-id', b'r-1'),
        (b'authorization', b'Bearer k1'),
    )
    request = CallerRequest(b'POST', b'/once/', headers, b'work', trio.current_time())
    admitted = harness.forwarder.admit(request, RecordingReply())
    assert isinstance(admitted, Admitted)
    return admitted.job


async def serve(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Answer a request."""
    await stream.send_all(answer(received))
    return True


async def refuse(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Refuse a request without running it."""
    await stream.send_all(answer(received, status=503, extra=b'X-Not-Run: 1\r\n'))
    return True


async def hang_up(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Close the connection without an answer."""
    return False


async def test_request_over_the_quota_is_refused_before_it_is_sent() -> None:
    """Guards against a request that runs although its customer is told that it did not."""
    endpoint = ScriptedEndpoint(serve)
    async with run_forwarder(endpoint) as harness:
        quotas = Quotas(1)
        limit(harness, quotas)
        assert (await harness.make_request('/once/')).status == 200
        refused = await harness.make_request('/once/')
        assert (await harness.make_request('/open/', key='')).status == 200
    assert refused.status == 429
    assert float(refused.headers[NAMES.retry_after]) == pytest.approx(0.7)
    assert len(endpoint.received) == 2
    assert (quotas.charged, quotas.returned) == ([('tailors', 1)], 0)


@pytest.mark.parametrize('path', ['/once/', '/safe/'])
async def test_request_that_did_not_run_is_given_back_once(path: str) -> None:
    """Guards against quota that is lost with each refusal of an endpoint, or returned twice."""
    first, second = ScriptedEndpoint(refuse), ScriptedEndpoint(refuse)
    async with run_forwarder(first, second) as harness:
        quotas = Quotas(1)
        limit(harness, quotas)
        assert (await harness.make_request(path)).status == 503
    assert len(first.received) + len(second.received) == 2
    assert (quotas.returned, len(quotas.charged)) == (1, 1)


async def test_request_that_may_have_run_is_not_given_back() -> None:
    """Guards against a customer that runs more than its quota through broken connections."""
    async with run_forwarder(ScriptedEndpoint(hang_up)) as harness:
        quotas = Quotas(1)
        limit(harness, quotas)
        assert (await harness.make_request('/once/')).status == 502
    assert quotas.returned == 0


async def test_retries_are_charged_once() -> None:
    """Guards against a request that costs its customer as much as its endpoints refuse it."""
    async with run_forwarder(ScriptedEndpoint(refuse), ScriptedEndpoint(serve)) as harness:
        quotas = Quotas(1)
        limit(harness, quotas)
        assert (await harness.make_request('/once/')).status == 200
    assert (len(quotas.charged), quotas.returned) == (1, 0)


async def test_old_charge_is_renewed_before_the_request_is_sent_again() -> None:
    """Guards against requests that arrive long after they were charged, beside those of a later window."""

    async def refuse_late(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        await trio.sleep(0.1)
        return await refuse(stream, received)

    second = ScriptedEndpoint(serve)
    async with run_forwarder(ScriptedEndpoint(refuse_late), second) as harness:
        quotas = Quotas(1, valid_s=0.05)
        limit(harness, quotas)
        assert (await harness.make_request('/once/')).status == 200
    assert (len(quotas.charged), quotas.returned) == (2, 1)
    assert len(second.received) == 1


async def test_request_that_runs_again_is_charged_again() -> None:
    """Guards against use beyond the quota when endpoints break, since each of them counts what it runs."""
    second = ScriptedEndpoint(serve)
    async with run_forwarder(ScriptedEndpoint(hang_up), second) as harness:
        quotas = Quotas(2)
        limit(harness, quotas)
        assert (await harness.make_request('/safe/')).status == 200
        assert len(second.received) == 1
        assert (len(quotas.charged), quotas.returned) == (2, 0)


async def test_request_that_may_have_run_is_not_refused_as_over_the_quota() -> None:
    """Guards against a 429 for a request that an endpoint may run, when its repetition finds no quota."""
    first, second = ScriptedEndpoint(hang_up), ScriptedEndpoint(hang_up)
    async with run_forwarder(first, second) as harness:
        quotas = Quotas(1)
        limit(harness, quotas)
        assert (await harness.make_request('/safe/')).status == 502
    assert len(first.received) + len(second.received) == 1
    assert quotas.returned == 0


async def test_charge_is_renewed_after_a_slow_connect(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against requests that arrive long after they were charged, as their connections are slow."""
    acquire = ConnectionPool.acquire

    async def acquire_late(*args: Any) -> EndpointConnection:
        await trio.sleep(0.1)
        return await acquire(*args)

    monkeypatch.setattr(ConnectionPool, 'acquire', acquire_late)
    endpoint = ScriptedEndpoint(serve)
    async with run_forwarder(endpoint) as harness:
        quotas = Quotas(1, valid_s=0.05)
        limit(harness, quotas)
        assert (await harness.make_request('/once/')).status == 200
        assert (len(quotas.charged), quotas.returned) == (2, 1)
        quotas.left = 1
        quotas.spend_next = True
        refused = await harness.make_request('/once/')
    assert refused.status == 429
    assert len(endpoint.received) == 1


@pytest.mark.parametrize(('charged_s', 'charges'), [(0.0, 1), (9.0, 0)])
async def test_peer_charges_what_arrives_too_late(charged_s: float, charges: int) -> None:
    """Guards against a relayed request that runs long after the instance that took it has charged it."""
    async with run_forwarder(ScriptedEndpoint(serve)) as harness:
        quotas = Quotas(1)
        limit(harness, quotas)
        job = admit(harness)
        job.charged_s = charged_s
        await trio.sleep(0.01)
        assert await harness.forwarder.run_relayed(job) is None
    assert job.has_used_charge
    assert (len(quotas.charged), quotas.returned) == (charges, 0)


async def test_peer_that_relays_a_request_does_not_charge_it() -> None:
    """Guards against a request that counts twice, at the instance that took it and at its peer."""
    endpoint = ScriptedEndpoint(serve)
    async with run_forwarder(endpoint) as harness:
        quotas = Quotas(1)
        limit(harness, quotas)
        job = admit(harness)
        assert job.quota_amount == 1
        assert await harness.forwarder.run_relayed(job) is None
    assert len(endpoint.received) == 1
    assert not quotas.charged
