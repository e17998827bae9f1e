"""Tests of endpoints that restarted under their identity and address after they were listed."""

from __future__ import annotations

import json
from dataclasses import dataclass

import pytest
import trio

from shallotmux.fleet import ListedEndpoint, Listing
from shallotmux.forwarding import Dialect
from tests.forwarding._harness import (
    NAMES,
    ForwarderHarness,
    ReceivedRequest,
    ScriptedEndpoint,
    run_forwarder,
)
from tests.forwarding.test_stream_versions import resume, serving, versions_in

REPORT_PATH = '/report'


def read_start(content: bytes) -> int | None:
    """Return the start that a report names."""
    started = json.loads(content).get('started')
    return started if isinstance(started, int) else None


DIALECT = Dialect(report_path=REPORT_PATH, read_start=read_start)


@dataclass(slots=True)
class RestartingEndpoint:
    """An endpoint that says at which time it started, and of which version it is.

    :param report: content of its report; None for one that never comes.
    """

    version: str
    report: bytes | None
    reports: int = 0

    async def answer(self, stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        """Answer a request for the report, or stream events."""
        if received.target != REPORT_PATH.encode():
            return await serving(self.version).script(stream, received)
        self.reports += 1
        if self.report is not None:
            head = b'HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n' % len(self.report)
            await stream.send_all(head + self.report)
            return True
        await trio.sleep_forever()
        return False


def list_endpoints(harness: ForwarderHarness, *endpoints: tuple[ScriptedEndpoint, str]) -> None:
    """List endpoints with their versions, which started at time 5; the first one is preferred."""
    listed = tuple(
        ListedEndpoint(
            f'e-{number}',
            'desk',
            each.address,
            'b' if number else 'a',
            4,
            started_ms=5,
            software_version=version,
        )
        for number, (each, version) in enumerate(endpoints)
    )
    harness.forwarder.directory.update_listing(Listing(listed))


async def begin_at_v1(harness: ForwarderHarness, request_id: str = 'r-1') -> None:
    """Record the beginning of a stream at version v1."""
    job_key = harness.origin_key(request_id)
    await harness.forwarder.origins.record(job_key, 'desk', 'v1', request_id)


async def test_stream_does_not_go_on_at_an_endpoint_that_restarted() -> None:
    """Guards against a stream that goes on at the version of a start that was not listed yet."""
    restarted = RestartingEndpoint('v2', b'{"started": 6}')
    endpoints = (ScriptedEndpoint(restarted.answer), serving('v2'))
    async with run_forwarder(*endpoints, versions=('v1', 'v2'), dialect=DIALECT) as harness:
        list_endpoints(harness, (endpoints[0], 'v1'), (endpoints[1], 'v2'))
        await begin_at_v1(harness)
        got = await resume(harness, 'r-1')
    assert got.status == 503
    assert restarted.reports == 1
    targets = [each.target for endpoint in endpoints for each in endpoint.received]
    assert targets == [REPORT_PATH.encode()]


@pytest.mark.parametrize('report', [b'{"started": 5}', b'{}'])
async def test_stream_goes_on_at_the_start_that_was_listed(report: bytes) -> None:
    """Guards against streams that are refused as the check of the start is too strict.

    Endpoints that do not say when they started are taken to be as listed.
    """
    listed = RestartingEndpoint('v1', report)
    endpoints = (ScriptedEndpoint(listed.answer), serving('v2'))
    async with run_forwarder(*endpoints, versions=('v1', 'v2'), dialect=DIALECT) as harness:
        list_endpoints(harness, (endpoints[0], 'v1'), (endpoints[1], 'v2'))
        await begin_at_v1(harness)
        got = [await resume(harness, 'r-1', request_id=f'r-{number}') for number in range(2, 5)]
    assert all(each.status == 200 and versions_in(each) == {'v1'} for each in got)
    # The same connection is verified once.
    assert listed.reports == endpoints[0].connections == 1


@pytest.mark.parametrize('report', [b'no report', None])
async def test_endpoint_without_a_valid_report_is_passed_over(report: bytes | None) -> None:
    """Guards against a stream that waits for, or goes on at, an endpoint that cannot be verified."""
    broken, sound = RestartingEndpoint('v1', report), RestartingEndpoint('v1', b'{"started": 5}')
    endpoints = (ScriptedEndpoint(broken.answer), ScriptedEndpoint(sound.answer), serving('v2'))
    versions = ('v1', 'v1', 'v2')
    async with run_forwarder(*endpoints, versions=versions, dialect=DIALECT) as harness:
        list_endpoints(harness, *zip(endpoints, versions, strict=True))
        await begin_at_v1(harness)
        got = [await resume(harness, 'r-1', request_id=f'r-{number}') for number in range(2, 6)]
    assert all(each.status == 200 and versions_in(each) == {'v1'} for each in got)
    sent = [each for each in endpoints[0].received if NAMES.last_event_id in each.headers]
    assert not sent


async def test_stream_that_begins_at_an_endpoint_that_restarted_is_not_taken_for_the_listed_one() -> (
    None
):
    """Guards against a stream that is recorded under the version of an earlier start."""
    restarted = RestartingEndpoint('v2', b'{"started": 6}')
    endpoints = (ScriptedEndpoint(restarted.answer), serving('v2'))
    async with run_forwarder(*endpoints, versions=('v1', 'v2'), dialect=DIALECT) as harness:
        list_endpoints(harness, (endpoints[0], 'v1'))
        got = await harness.make_request('/resume/')
    assert got.status == 503


async def test_starts_are_not_verified_while_one_version_serves() -> None:
    """Guards against a call for each new connection although all endpoints are of one version."""
    endpoint = RestartingEndpoint('v1', b'{"started": 5}')
    scripted = ScriptedEndpoint(endpoint.answer)
    async with run_forwarder(scripted, versions=('v1',), dialect=DIALECT) as harness:
        list_endpoints(harness, (scripted, 'v1'))
        got = [await harness.make_request(path) for path in ('/resume/', '/stream/', '/safe/')]
    assert [each.status for each in got] == [200, 200, 200]
    assert not endpoint.reports
