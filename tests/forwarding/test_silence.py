"""Tests of endpoints and links that are silent for a second or two, and go on."""

from __future__ import annotations

import socket

import pytest
import trio

from shallotmux.forwarding._connecting import USER_TIMEOUT_MS, connect_endpoint
from shallotmux.forwarding._reach import ABANDON_AFTER_S
from tests.forwarding._harness import ReceivedRequest, ScriptedEndpoint, answer, build_request
from tests.forwarding._relay_harness import RelayFleet, run_relay_fleet
from tests.forwarding._streams import END, STREAM_HEAD, event, parse_body, read_until
from tests.support.links import Cut, Link
from tests.support.networks import private_network

#: Silence of a sound endpoint, and time after it within which the endpoint must be used again.
SILENCE_S = 1.6
USED_AGAIN_S = 1.5


#: Bytes that a slow caller has received and not read.
MAX_UNREAD_BYTES = 65_536


async def stream_slowly(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Send six events, one every 0.1 s; answer requests for no stream at once."""
    if received.target != b'/resume/':
        await stream.send_all(answer(received))
        return True
    await stream.send_all(STREAM_HEAD % received.headers[b'x-request-id'])
    for number in range(1, 7):
        await stream.send_all(event(number, 'x'))
        await trio.sleep(0.1)
    await stream.send_all(END)
    return True


async def add_links(fleet: RelayFleet, *endpoints: ScriptedEndpoint) -> list[Link]:
    """Run endpoints behind links of their own."""
    links = []
    for endpoint in endpoints:
        await fleet.nursery.start(endpoint.run)
        link = Link(endpoint.address)
        await fleet.nursery.start(link.run)
        links.append(link)
    return links


@pytest.mark.parametrize('silent', [1, 2])
async def test_open_stream_outlives_a_silence(silent: int) -> None:
    """Guards against streams cut, or run again, since their endpoint was silent for a second or two."""
    endpoints = [ScriptedEndpoint(stream_slowly) for _ in range(2)]
    async with run_relay_fleet(private_network(130)) as fleet:
        links = await add_links(fleet, *endpoints)
        instance = await fleet.add(
            1, {f'e-{number}': link.address for number, link in enumerate(links)}
        )
        stream = await instance.connect()
        async with stream:
            await stream.send_all(build_request('/resume/', extra='X-Deadline-Ms: 9000\r\n'))
            content = await read_until(stream, b'id: 2')
            first = 0 if endpoints[0].received else 1
            for number in range(silent):
                links[(first + number) % 2].cut(Cut.SILENT)
            await trio.sleep(SILENCE_S)
            for number in range(silent):
                links[(first + number) % 2].heal()
            content += await read_until(stream, END)
    got = parse_body(content)
    assert got.is_complete
    assert got.body == b''.join(b'id: %d\ndata: x\n\n' % number for number in range(1, 7))
    assert sum(len(each.received) for each in endpoints) == 1


async def test_endpoint_is_used_again_soon_after_a_silence() -> None:
    """Guards against a sound endpoint that is left out for long after it was silent."""
    endpoint = ScriptedEndpoint(stream_slowly)
    async with run_relay_fleet(private_network(131)) as fleet:
        link = (await add_links(fleet, endpoint))[0]
        instance = await fleet.add(1, {'e-0': link.address})
        assert (await instance.send('/once/')).status == 200
        link.cut(Cut.SILENT)
        with trio.move_on_after(SILENCE_S):
            while True:
                await instance.send('/safe/')
        link.heal()
        served = 0
        with trio.fail_after(USED_AGAIN_S):
            while served != 200:
                served = (await instance.send('/once/')).status
                await trio.sleep(0.05)


async def test_answer_that_a_slow_caller_does_not_read_is_not_given_up() -> None:
    """Guards against a part of an answer sent by halves, and a second run behind it.

    Nothing is read from the endpoint while the caller does not read; that is no silence of the endpoint.
    """
    events = [event(number, 8000 * 'x') for number in range(1, 800)]

    async def send_much(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        head = STREAM_HEAD % received.headers[b'x-request-id']
        await stream.send_all(b''.join((head, *events, END)))
        return True

    endpoint, other = ScriptedEndpoint(send_much), ScriptedEndpoint(send_much)
    async with run_relay_fleet(private_network(132)) as fleet:
        link = (await add_links(fleet, endpoint))[0]
        instance = await fleet.add(1, {'e-0': link.address})
        await fleet.nursery.start(other.run)
        await fleet.add(2, {'e-0': other.address})
        stream = await instance.connect()
        async with stream:
            await stream.send_all(build_request('/resume/', extra='X-Deadline-Ms: 9000\r\n'))
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, MAX_UNREAD_BYTES)
            content = await read_until(stream, b'data: ')
            work = next(iter(instance.forwarder.directory.usable('desk')[0].in_progress))
            await trio.sleep(0.3)
            assert work.connection is not None
            work.abandon(trio.current_time() + 60, ABANDON_AFTER_S)
            parts = [content]
            with trio.fail_after(20):
                while not b''.join(parts[-2:]).endswith(END):
                    parts.append(await stream.receive_some())
    got = parse_body(b''.join(parts))
    assert got.is_complete
    assert got.body.count(b'id: ') == len(events)
    assert not other.received


async def test_connections_notice_dead_endpoints_but_not_a_second_of_silence() -> None:
    """Guards against timeouts of the kernel that differ from what sound endpoints need.

    A user timeout also decides when keep-alive probes give up, whatever their count.
    """
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    host, port = listeners[0].socket.getsockname()[:2]
    connection = await connect_endpoint(f'{host}:{port}', 'e-0', b'x-request-id', 1)
    stream = connection._stream  # noqa: SLF001
    assert isinstance(stream, trio.SocketStream)
    timeout_ms = stream.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    probe_s = stream.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
    assert stream.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    assert timeout_ms == USER_TIMEOUT_MS
    assert 2000 < timeout_ms <= 4000
    assert 1 <= probe_s <= 2
    connection.close()
    await listeners[0].aclose()
