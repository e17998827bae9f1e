"""Tests of the programs together, over loopback: from a document to an answer, and usage."""

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
    OPERATOR_PORT,
    PUT_PATH,
    READINESS_PORT,
    Fleet,
    run_fleet,
)

ENTRY = 9
DEADLINE_S = 20


async def serve(stream: trio.SocketStream, seen: ReceivedRequest) -> bool:
    """Answer properly."""
    await stream.send_all(answer(seen))
    return True


def document(version: int, *routes: str) -> bytes:
    """Return a document as operators of the test send it."""
    return json.dumps({'version': version, 'routes': routes}).encode()


@asynccontextmanager
async def start(base: str, folder: Path) -> AsyncIterator[Fleet]:
    """Run a fleet with one endpoint."""
    endpoint = ScriptedEndpoint(serve)
    async with trio.open_nursery() as nursery:
        await nursery.start(endpoint.run)
        async with run_fleet(base, folder, endpoint.address) as fleet:
            with trio.fail_after(DEADLINE_S):
                yield fleet
        nursery.cancel_scope.cancel()


async def call(url: str, content: bytes = b'', **headers: str) -> httpcore.Response:
    """Send one request on a connection of its own; a refused connection counts as 503."""
    named = [(name.replace('_', '-'), text) for name, text in headers.items()]
    async with httpcore.AsyncConnectionPool() as pool:
        try:
            return await pool.request(
                'POST' if content else 'GET', url, content=content, headers=named
            )
        except httpcore.ConnectError:
            return httpcore.Response(503)


async def put(fleet: Fleet, number: int, content: bytes) -> int:
    """Put a document until it is acknowledged or refused; returns the status."""
    while True:
        response = await call(fleet.url(number, OPERATOR_PORT) + PUT_PATH, content)
        if response.status != 503:
            return response.status
        await trio.sleep(0.1)


async def ask(fleet: Fleet, path: str) -> int:
    """Send a request as a customer; returns the status."""
    response = await call(
        fleet.url(ENTRY, CALLER_PORT) + path,
        b'work',
        Host='shop.example',
        X_Request_Id='r-1',
        Authorization='Bearer k1',
    )
    return response.status


async def wait_for_status(fleet: Fleet, path: str, status: int) -> None:
    """Ask until the answer has a status."""
    while await ask(fleet, path) != status:
        await trio.sleep(0.05)


async def test_document_takes_effect_and_is_never_older(tmp_path: Path) -> None:
    """Guards against documents that are lost, revert, or reach no entry instance."""
    async with start('127.0.81', tmp_path) as fleet:
        assert await ask(fleet, '/a/') == 503
        assert await put(fleet, 1, document(4, '/a/')) == 200
        await wait_for_status(fleet, '/a/', 200)
        assert await put(fleet, 2, document(9, '/a/', '/b/')) == 200
        await wait_for_status(fleet, '/b/', 200)
        assert await put(fleet, 3, document(7, '/c/')) == 200
        read = await call(fleet.url(1, OPERATOR_PORT) + PUT_PATH)
        assert read.content == document(9, '/a/', '/b/')
        assert await ask(fleet, '/c/') == 404


async def test_invalid_document_is_refused_and_changes_nothing(tmp_path: Path) -> None:
    """Guards against an invalid document in force."""
    async with start('127.0.82', tmp_path) as fleet:
        assert await put(fleet, 1, document(4, '/a/')) == 200
        assert await put(fleet, 2, document(5, '/a/', '/a/')) == 400
        read = await call(fleet.url(3, OPERATOR_PORT) + PUT_PATH)
        assert read.content == document(4, '/a/')


async def test_readiness_follows_what_is_known(tmp_path: Path) -> None:
    """Guards against connections to an instance that knows no configuration."""
    async with start('127.0.83', tmp_path) as fleet:
        url = f'{fleet.url(ENTRY, READINESS_PORT)}/'
        while (await call(url)).status != 503:
            await trio.sleep(0.05)
        await put(fleet, 1, document(1, '/a/'))
        while (await call(url)).status != 200:
            await trio.sleep(0.05)


async def test_usage_is_reported_once_with_equal_counts(tmp_path: Path) -> None:
    """Guards against windows that are missed, and reports without a fencing token."""
    async with start('127.0.84', tmp_path) as fleet:
        await put(fleet, 1, document(1, '/a/'))
        await wait_for_status(fleet, '/a/', 200)
        for _ in range(4):
            assert await ask(fleet, '/a/') == 200
        while sum(counts.get('tailors', 0) for counts in fleet.platform.reports.values()) < 5:
            await trio.sleep(0.1)
        assert {holder.name for holder in fleet.platform.holders} <= {
            'control-1',
            'control-2',
            'control-3',
        }
        assert all(holder.token > 0 for holder in fleet.platform.holders)


async def test_entry_goes_on_without_control(tmp_path: Path) -> None:
    """Guards against an entry instance that stops serving when it is cut off."""
    async with start('127.0.85', tmp_path) as fleet:
        await put(fleet, 1, document(1, '/a/'))
        await wait_for_status(fleet, '/a/', 200)
        for scope in fleet.scopes.values():
            scope.cancel()
        await trio.sleep(0.5)
        assert await ask(fleet, '/a/') == 200
