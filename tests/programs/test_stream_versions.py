"""Test of streams of two software versions, with real programs, after entry instances were killed."""

from __future__ import annotations

from pathlib import Path

import trio

from shallotmux.fleet import ListedEndpoint, Listing
from tests.forwarding._harness import (
    NAMES,
    ReceivedAnswer,
    ReceivedRequest,
    ScriptedEndpoint,
    build_request,
    read_answer,
)
from tests.forwarding.test_stream_versions import event, serving, stream_head, versions_in
from tests.programs._fleet import CALLER_PORT, Fleet, run_fleet
from tests.programs.test_programs import make_document, put_document
from tests.support.networks import private_network

VERSIONS = ('v1', 'v1', 'v2', 'v2')
STREAMS = 12

#: Time in which an instance must know the configuration and the endpoints.
START_S = 4.0


def stalling(version: str) -> ScriptedEndpoint:
    """Return an endpoint whose new streams stall after two events, and whose resumed ones end."""
    resumed = serving(version)

    async def send(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        if NAMES.last_event_id in received.headers:
            return await resumed.script(stream, received)
        await stream.send_all(stream_head(received) + event(1, version) + event(2, version))
        await trio.sleep_forever()
        return False

    return ScriptedEndpoint(send)


async def open_stream(fleet: Fleet, entry: int, request: bytes) -> trio.SocketStream:
    """Send a request to an entry instance; returns the connection."""
    stream = await trio.open_tcp_stream(f'{fleet.base}.{entry}', CALLER_PORT)
    await stream.send_all(request)
    return stream


async def begin(fleet: Fleet, entry: int, number: int) -> ReceivedAnswer:
    """Begin a stream, and return its first two events once they arrived."""
    stream = await open_stream(fleet, entry, build_request('/stream/', request_id=f'r-{number}'))
    received = b''
    async with stream:
        with trio.fail_after(3):
            while b'id: 2' not in received or not received.endswith(b'\n\n\r\n'):
                received += await stream.receive_some()
        content = b'\n'.join(line for line in received.splitlines() if line.startswith(b'data: '))
    return ReceivedAnswer(200, {}, content, is_complete=False)


async def resume(fleet: Fleet, entry: int, number: int) -> ReceivedAnswer:
    """Take a stream up again after its second event."""
    extra = f'Last-Event-Id: 2\r\nX-Resumed-Request: r-{number}\r\n'
    request = build_request('/stream/', request_id=f'r-{number}-again', extra=extra)
    stream = await open_stream(fleet, entry, request)
    async with stream:
        return await read_answer(stream)


async def wait_until_serving(fleet: Fleet, entry: int) -> None:
    """Wait until an entry instance serves a stream."""
    with trio.fail_after(10):
        while True:
            try:
                await begin(fleet, entry, 1000 + entry)
            except (OSError, trio.TooSlowError, trio.BrokenResourceError):
                await trio.sleep(0.1)
            else:
                return


async def run_killable(
    fleet: Fleet, entry: int, *, task_status: trio.TaskStatus[trio.CancelScope]
) -> None:
    """Run an entry instance; cancelling the returned scope kills it."""
    with trio.CancelScope() as scope:
        task_status.started(scope)
        await fleet.run_entry(entry)


async def test_streams_keep_their_version_after_all_their_instances_were_killed(
    tmp_path: Path,
) -> None:
    """Guards against streams joined from two versions, as those who knew the first one are gone."""
    endpoints = [stalling(version) for version in VERSIONS]
    async with trio.open_nursery() as nursery:
        for endpoint in endpoints:
            await nursery.start(endpoint.run)
        addresses = [each.address for each in endpoints]
        async with run_fleet(private_network(97), tmp_path, '') as fleet:
            fleet.platform.listing = Listing(
                tuple(
                    ListedEndpoint(address, 'desk', address, 'a', 4, software_version=version)
                    for address, version in zip(addresses, VERSIONS, strict=True)
                )
            )
            assert await put_document(fleet, 1, make_document(4, '/stream/')) == 200
            killed = await nursery.start(run_killable, fleet, 7)
            await wait_until_serving(fleet, 7)
            await trio.sleep(START_S)
            began = [await begin(fleet, 7, number) for number in range(STREAMS)]
            killed.cancel()
            await trio.sleep(0.1)
            await nursery.start(run_killable, fleet, 7)
            await wait_until_serving(fleet, 7)
            resumed = [await resume(fleet, 7, number) for number in range(STREAMS)]
            unknown = await resume(fleet, 7, 3000)
            nursery.cancel_scope.cancel()
    joined = [len(versions_in(*pair)) > 1 for pair in zip(began, resumed, strict=True)]
    assert not any(joined)
    assert {version for each in began for version in versions_in(each)} == {'v1', 'v2'}
    assert sum(each.is_complete and each.status == 200 for each in resumed) >= STREAMS / 2
    assert unknown.status == 503
