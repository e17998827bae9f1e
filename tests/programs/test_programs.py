"""Tests of control and entry programs together, over loopback."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import httpcore
import trio

from tests.forwarding._harness import ReceivedRequest, ScriptedEndpoint, answer
from tests.programs._fleet import (
    CALLER_PORT,
    LISTING_INTERVAL_S,
    OPERATOR_PORT,
    PUT_PATH,
    READINESS_PORT,
    Fleet,
    run_fleet,
)
from tests.support.networks import private_network

ENTRY = 9
TEST_TIMEOUT_S = 20


async def serve(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Send a valid response."""
    await stream.send_all(answer(received))
    return True


def make_document(version: int, *routes: str) -> bytes:
    """Return an encoded test document."""
    return json.dumps({'version': version, 'routes': routes}).encode()


@asynccontextmanager
async def start_fleet(base: str, folder: Path) -> AsyncIterator[Fleet]:
    """Run a fleet with one endpoint."""
    endpoint = ScriptedEndpoint(serve)
    async with trio.open_nursery() as nursery:
        await nursery.start(endpoint.run)
        async with run_fleet(base, folder, endpoint.address) as fleet:
            with trio.fail_after(TEST_TIMEOUT_S):
                yield fleet
        nursery.cancel_scope.cancel()


async def send_request(url: str, content: bytes = b'', **headers: str) -> httpcore.Response:
    """Send one request on a new connection; a refused connection counts as status 503."""
    named = [(name.replace('_', '-'), text) for name, text in headers.items()]
    async with httpcore.AsyncConnectionPool() as pool:
        try:
            return await pool.request(
                'POST' if content else 'GET', url, content=content, headers=named
            )
        except httpcore.ConnectError:
            return httpcore.Response(503)


async def put_document(fleet: Fleet, number: int, content: bytes) -> int:
    """Submit a document until it is accepted or rejected, and return the status."""
    while True:
        response = await send_request(fleet.url(number, OPERATOR_PORT) + PUT_PATH, content)
        if response.status != 503:
            return response.status
        await trio.sleep(0.1)


async def send_work(fleet: Fleet, path: str) -> int:
    """Send a request as a customer, and return the status."""
    response = await send_request(
        fleet.url(ENTRY, CALLER_PORT) + path,
        b'work',
        Host='shop.example',
        X_Request_Id='r-1',
        Authorization='Bearer k1',
    )
    return response.status


async def wait_for_status(fleet: Fleet, path: str, status: int) -> None:
    """Send requests until the response has the given status."""
    while await send_work(fleet, path) != status:
        await trio.sleep(0.05)


async def test_document_takes_effect_and_never_reverts(tmp_path: Path) -> None:
    """Guards against documents that are lost, revert, or do not reach entry instances."""
    async with start_fleet(private_network(81), tmp_path) as fleet:
        assert await send_work(fleet, '/a/') == 503
        assert await put_document(fleet, 1, make_document(4, '/a/')) == 200
        await wait_for_status(fleet, '/a/', 200)
        assert await put_document(fleet, 2, make_document(9, '/a/', '/b/')) == 200
        await wait_for_status(fleet, '/b/', 200)
        assert await put_document(fleet, 3, make_document(7, '/c/')) == 200
        read = await send_request(fleet.url(1, OPERATOR_PORT) + PUT_PATH)
        assert read.content == make_document(9, '/a/', '/b/')
        assert await send_work(fleet, '/c/') == 404


async def test_invalid_document_is_refused_and_changes_nothing(tmp_path: Path) -> None:
    """Guards against an invalid document that takes effect."""
    async with start_fleet(private_network(82), tmp_path) as fleet:
        assert await put_document(fleet, 1, make_document(4, '/a/')) == 200
        assert await put_document(fleet, 2, make_document(5, '/a/', '/a/')) == 400
        read = await send_request(fleet.url(3, OPERATOR_PORT) + PUT_PATH)
        assert read.content == make_document(4, '/a/')


async def test_instance_without_configuration_is_not_ready(tmp_path: Path) -> None:
    """Guards against connections to an instance that has no configuration."""
    async with start_fleet(private_network(83), tmp_path) as fleet:
        url = f'{fleet.url(ENTRY, READINESS_PORT)}/'
        while (await send_request(url)).status != 503:
            await trio.sleep(0.05)
        await put_document(fleet, 1, make_document(1, '/a/'))
        while (await send_request(url)).status != 200:
            await trio.sleep(0.05)


async def test_usage_is_reported_once_with_equal_counts(tmp_path: Path) -> None:
    """Guards against skipped usage windows, and reports without a fencing token."""
    async with start_fleet(private_network(84), tmp_path) as fleet:
        await put_document(fleet, 1, make_document(1, '/a/'))
        await wait_for_status(fleet, '/a/', 200)
        for _ in range(4):
            assert await send_work(fleet, '/a/') == 200
        while sum(counts.get('tailors', 0) for counts in fleet.platform.reports.values()) < 5:
            await trio.sleep(0.1)
        assert {holder.name for holder in fleet.platform.holders} <= {
            'control-1',
            'control-2',
            'control-3',
        }
        assert all(holder.token > 0 for holder in fleet.platform.holders)


async def test_control_instances_share_the_list(tmp_path: Path) -> None:
    """Guards against calls to the platform of every control instance, which are billed."""
    async with start_fleet(private_network(86), tmp_path) as fleet:
        await put_document(fleet, 1, make_document(1, '/a/'))
        await wait_for_status(fleet, '/a/', 200)
        # The instances have read the list themselves until there was a leader.
        await trio.sleep(2)
        calls_before = fleet.platform.list_calls
        await trio.sleep(4)
        calls = fleet.platform.list_calls - calls_before
        assert calls <= 1.5 * 4 / LISTING_INTERVAL_S
        now = trio.current_time()
        assert now - fleet.entries[ENTRY].view.listed_at < 2


async def test_entry_keeps_serving_without_control(tmp_path: Path) -> None:
    """Guards against an entry instance that stops serving without control instances."""
    async with start_fleet(private_network(85), tmp_path) as fleet:
        await put_document(fleet, 1, make_document(1, '/a/'))
        await wait_for_status(fleet, '/a/', 200)
        for scope in fleet.scopes.values():
            scope.cancel()
        await trio.sleep(0.5)
        assert await send_work(fleet, '/a/') == 200
