"""Tests of streams that an instance which reaches no endpoint relays through peers."""

from __future__ import annotations

import trio

from tests.forwarding._harness import NAMES, ReceivedRequest, ScriptedEndpoint, build_request
from tests.forwarding._relay_harness import RelayFleet, add_endpoint, run_relay_fleet
from tests.forwarding._streams import END, STREAM_HEAD, event, parse_body, read_until
from tests.support.links import Cut, Link
from tests.support.networks import private_network

#: Nothing listens there, so a connect is refused at once.
UNREACHED = {'e-0': '127.0.0.1:1'}

#: Requests after which each of four peers was chosen, but for one case in ten million.
MAX_REQUESTS = 60


async def add_peer(
    fleet: RelayFleet, versions: dict[str, str], endpoints: dict[str, ScriptedEndpoint]
) -> None:
    """Add instance 2, which reaches endpoints."""
    addresses = {name: await add_endpoint(fleet, each) for name, each in endpoints.items()}
    # Without a version, the peer prefers the first endpoint, which is in its own zone.
    await fleet.add(2, addresses, versions=versions, remote='e-2')


async def begin_stream(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Send two events of version 2, and nothing more."""
    head = STREAM_HEAD % received.headers[NAMES.request_id]
    await stream.send_all(b''.join((head, event(1, 'v2'), event(2, 'v2'))))
    await trio.sleep_forever()
    return False


def go_on(version: str) -> ScriptedEndpoint:
    """Return an endpoint that resumes streams, and ends them after event 4."""

    async def send(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        after = int(received.headers[NAMES.last_event_id])
        head = STREAM_HEAD % received.headers[NAMES.request_id]
        rest = b''.join(event(number, version) for number in range(after + 1, 5))
        await stream.send_all(b''.join((head, rest, END)))
        return True

    return ScriptedEndpoint(send)


async def test_open_stream_goes_on_through_a_peer_at_its_version() -> None:
    """Guards against a stream that ends, or changes its version, when the links are lost.

    The link to the endpoint that began the stream falls silent.
    """

    first, old, new = ScriptedEndpoint(begin_stream), go_on('v1'), go_on('v2')
    async with run_relay_fleet(private_network(120)) as fleet:
        versions = {'e-0': 'v2', 'e-1': 'v1', 'e-2': 'v2'}
        link = Link(await add_endpoint(fleet, first))
        await fleet.nursery.start(link.run)
        cut_off = await fleet.add(1, {'e-0': link.address}, versions=versions)
        stream = await cut_off.connect()
        async with stream:
            await stream.send_all(build_request('/resume/', extra='X-Deadline-Ms: 5000\r\n'))
            content = await read_until(stream, b'id: 2')
            await add_peer(fleet, versions, {'e-1': old, 'e-2': new})
            link.cut(Cut.SILENT)
            content += await read_until(stream, b'\r\n0\r\n\r\n')
    got = parse_body(content)
    expected = b''.join(b'id: %d\ndata: v2\n\n' % number for number in range(1, 5))
    assert (got.status, got.is_complete) == (200, True)
    assert got.body == expected
    assert not old.received
    assert [each.headers[NAMES.last_event_id] for each in new.received] == [b'2']


async def test_stream_that_breaks_at_the_peer_goes_on_through_another() -> None:
    """Guards against a stream cut in the middle since the peer that relayed it was killed."""

    def stream_from(*, breaks: bool) -> ScriptedEndpoint:
        async def send(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
            after = int(received.headers.get(NAMES.last_event_id, b'0'))
            head = STREAM_HEAD % received.headers[NAMES.request_id]
            last = 3 if breaks else 5
            events = b''.join(event(number, 'x') for number in range(after + 1, last))
            await stream.send_all(b''.join((head, events, b'' if breaks else END)))
            return not breaks

        return ScriptedEndpoint(send)

    breaking = stream_from(breaks=True)
    async with run_relay_fleet(private_network(121)) as fleet:
        cut_off = await fleet.add(1, UNREACHED)
        await fleet.add(2, {'e-0': await add_endpoint(fleet, breaking)})
        for peer in (3, 4, 5):
            await fleet.add(peer, {'e-1': await add_endpoint(fleet, stream_from(breaks=False))})
        got = []
        # The peers are chosen at random.
        while not breaking.received and len(got) < MAX_REQUESTS:
            got.append(await cut_off.send('/resume/', request_id=f'r-{len(got)}'))
    expected = b''.join(b'id: %d\ndata: x\n\n' % number for number in range(1, 5))
    assert breaking.received
    assert all(each.is_complete and each.body == expected for each in got)
