"""Tests of many calls to one peer over one connection, with a peer that is slow or silent."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import pytest
import trio
import trustme

from shallotmux.errors import AuthorityUnavailable, OutcomeUnknown
from shallotmux.transport import ForwardAnswer, GrpcPeerNetwork, PeerTls
from shallotmux.transport._channel import CONNECT_TIMEOUT_S
from tests.support.links import Cut, Link
from tests.transport.test_grpc import issue_certificate, start_network

LOOPBACK = '127.0.0.1:0'
TEST_TIMEOUT_S = 20

#: Time that a slow peer takes until a connection to it is open.
OPENING_S = 0.6

#: Time limits of the calls: one that is too short for the slow peer, and one that is long enough.
SHORT_CALL_S = 0.5
LONG_CALL_S = 0.9

#: Interval between the begins of calls, and time for which they are made.
CALL_INTERVAL_S = 0.07
CALLS_S = 3.0


class SlowHandler:
    """Takes the time that a command names."""

    def receive(self, envelope: object) -> None:
        """Ignore an envelope."""

    async def handle_forward(self, group: str, command: bytes) -> ForwardAnswer:
        """Answer after the number of seconds in the command."""
        await trio.sleep(float(command))
        return ForwardAnswer(command)


@dataclass
class SlowProxy:
    """Forwards each connection after a delay, so that its TLS handshake takes as long."""

    target: str = ''
    address: str = ''
    connections: int = 0

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        listener = (await trio.open_tcp_listeners(0, host='127.0.0.1'))[0]
        host, port = listener.socket.getsockname()
        self.address = f'{host}:{port}'
        task_status.started()
        await trio.serve_listeners(self._forward, [listener])

    async def _forward(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        await trio.sleep(OPENING_S)
        host, _, port = self.target.rpartition(':')
        async with stream, await trio.open_tcp_stream(host, int(port)) as other:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_copy, stream, other, nursery.cancel_scope)
                nursery.start_soon(_copy, other, stream, nursery.cancel_scope)


async def _copy(
    source: trio.SocketStream, sink: trio.SocketStream, scope: trio.CancelScope
) -> None:
    try:
        async for content in source:
            await sink.send_all(content)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        pass
    scope.cancel()


@dataclass
class Caller:
    """Calls a peer and counts the outcomes by time limit.

    :param answered_at: local time of the first answer; infinity before.
    """

    network: GrpcPeerNetwork
    peer: str
    outcomes: Counter[tuple[float, str]] = field(default_factory=Counter)
    answered_at: float = float('inf')

    async def call(self, timeout_s: float, command: bytes = b'0') -> None:
        """Make one call."""
        try:
            await self.network.forward(self.peer, 'group', command, timeout_s)
        except (AuthorityUnavailable, OutcomeUnknown) as error:
            self.outcomes[timeout_s, type(error).__name__] += 1
        else:
            self.outcomes[timeout_s, 'answered'] += 1
            self.answered_at = min(self.answered_at, trio.current_time())

    async def call_steadily(self, duration_s: float) -> None:
        """Make calls with both time limits at a steady rate."""
        async with trio.open_nursery() as nursery:
            for _ in range(round(duration_s / CALL_INTERVAL_S)):
                nursery.start_soon(self.call, SHORT_CALL_S)
                nursery.start_soon(self.call, LONG_CALL_S)
                await trio.sleep(CALL_INTERVAL_S)


@pytest.fixture
def certificates(tmp_path: Path) -> tuple[PeerTls, PeerTls]:
    """Return the certificates of two instances."""
    authority = trustme.CA()
    names = ('entry-1', 'entry-2')
    first, second = (issue_certificate(authority, tmp_path, name) for name in names)
    return first, second


async def start_caller(
    nursery: trio.Nursery, proxy: SlowProxy, certificates: tuple[PeerTls, PeerTls]
) -> Caller:
    """Start two instances with a slow proxy in front of the second."""
    addresses = {'entry-1': LOOPBACK}
    await nursery.start(proxy.run)
    network, _ = await start_network(nursery, 'entry-1', addresses, certificates[0])
    peer = GrpcPeerNetwork('entry-2', LOOPBACK, addresses, certificates[1])
    proxy.target = await nursery.start(peer.run, SlowHandler())
    addresses['entry-2'] = proxy.address
    return Caller(network, 'entry-2')


async def test_short_calls_do_not_keep_others_from_connecting(
    certificates: tuple[PeerTls, PeerTls],
) -> None:
    """Guards against calls that end each other's connection, so that a slow peer is never reached."""
    proxy = SlowProxy()
    with trio.fail_after(TEST_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            caller = await start_caller(nursery, proxy, certificates)
            await caller.call_steadily(CALLS_S)
            nursery.cancel_scope.cancel()
    assert caller.outcomes[SHORT_CALL_S, 'answered']
    assert caller.outcomes[LONG_CALL_S, 'answered']
    assert proxy.connections <= CALLS_S / CONNECT_TIMEOUT_S


async def test_short_calls_alone_reach_a_slow_peer(certificates: tuple[PeerTls, PeerTls]) -> None:
    """Guards against a connection that is given up with each call, so that none ever opens."""
    proxy = SlowProxy()
    with trio.fail_after(TEST_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            caller = await start_caller(nursery, proxy, certificates)
            await caller.call(SHORT_CALL_S)
            await trio.sleep(OPENING_S)
            await caller.call(SHORT_CALL_S)
            nursery.cancel_scope.cancel()
    assert caller.outcomes[SHORT_CALL_S, 'answered'] == 1


async def test_call_without_an_answer_does_not_end_others() -> None:
    """Guards against a call whose time limit ends the calls beside it, although they are answered."""
    addresses: dict[str, str] = {}
    with trio.fail_after(TEST_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            network, _ = await start_network(nursery, 'entry-1', addresses, None)
            peer = GrpcPeerNetwork('entry-2', LOOPBACK, addresses, None)
            addresses['entry-2'] = await nursery.start(peer.run, SlowHandler())
            caller = Caller(network, 'entry-2')
            async with trio.open_nursery() as calls:
                calls.start_soon(caller.call, LONG_CALL_S, b'0.7')
                calls.start_soon(caller.call, SHORT_CALL_S, b'0.7')
            nursery.cancel_scope.cancel()
    assert caller.outcomes == {
        (SHORT_CALL_S, 'OutcomeUnknown'): 1,
        (LONG_CALL_S, 'answered'): 1,
    }


async def test_peer_that_returns_is_reached_beside_many_calls() -> None:
    """Guards against calls to a silent address that hinder those that come after its return."""
    addresses: dict[str, str] = {}
    with trio.fail_after(TEST_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            network, _ = await start_network(nursery, 'entry-1', addresses, None)
            peer = GrpcPeerNetwork('entry-2', LOOPBACK, addresses, None)
            link = Link(await nursery.start(peer.run, SlowHandler()))
            await nursery.start(link.run)
            addresses['entry-2'] = link.address
            caller = Caller(network, 'entry-2')
            link.cut(Cut.SILENT)
            await caller.call_steadily(CALLS_S)
            assert not any(outcome != 'AuthorityUnavailable' for _, outcome in caller.outcomes)
            link.heal()
            healed_at = trio.current_time()
            await caller.call_steadily(CALLS_S)
            nursery.cancel_scope.cancel()
    assert caller.answered_at - healed_at < 2 * LONG_CALL_S


async def test_network_stops_while_a_connection_opens(
    certificates: tuple[PeerTls, PeerTls],
) -> None:
    """Guards against an attempt to connect that outlives the network."""
    with trio.fail_after(TEST_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            caller = await start_caller(nursery, SlowProxy(), certificates)
            await caller.call(0.1)
            nursery.cancel_scope.cancel()
    assert caller.outcomes == {(0.1, 'AuthorityUnavailable'): 1}
