"""Tests of the gRPC network between instances over loopback sockets."""

from __future__ import annotations

import gc
from dataclasses import dataclass, field
from pathlib import Path

import pytest
import trio
import trio_asyncio
import trustme

from shallotmux.errors import AuthorityUnavailable, OutcomeUnknown
from shallotmux.transport import (
    Channel,
    ForwardAnswer,
    GrpcPeerNetwork,
    PeerEnvelope,
    PeerTls,
)
from shallotmux.transport._channel import make_channel

LOOPBACK = '127.0.0.1:0'
TEST_TIMEOUT_S = 10


@dataclass
class Recorder:
    """Records the envelopes that an instance receives."""

    envelopes: list[PeerEnvelope] = field(default_factory=list)
    arrived: trio.Event = field(default_factory=trio.Event)

    def receive(self, envelope: PeerEnvelope) -> None:
        """Record an envelope."""
        self.envelopes.append(envelope)
        self.arrived.set()

    async def handle_forward(self, group: str, command: bytes) -> ForwardAnswer:
        """Answer with the group and the command."""
        return ForwardAnswer(group.encode() + command)


def issue_certificate(authority: trustme.CA, folder: Path, name: str) -> PeerTls:
    """Write an instance's certificate files, and return their paths."""
    certificate = authority.issue_cert(name)
    paths = [folder / f'{name}-{part}.pem' for part in ('ca', 'chain', 'key')]
    authority.cert_pem.write_to_path(str(paths[0]))
    certificate.private_key_and_cert_chain_pem.write_to_path(str(paths[1]))
    certificate.private_key_pem.write_to_path(str(paths[2]))
    return PeerTls(*(str(path) for path in paths))


async def start_network(
    nursery: trio.Nursery, name: str, addresses: dict[str, str], tls: PeerTls | None
) -> tuple[GrpcPeerNetwork, Recorder]:
    """Start one instance's network, and add its address to ``addresses``."""
    peers, recorder = GrpcPeerNetwork(name, LOOPBACK, addresses, tls), Recorder()
    addresses[name] = await nursery.start(peers.run, recorder)
    return peers, recorder


def make_envelope(sender: str, recipient: str, payload: bytes = b'x') -> PeerEnvelope:
    """Return an envelope between two instances."""
    return PeerEnvelope('zone-a', sender, recipient, Channel.MEMBERSHIP, payload)


async def test_envelopes_are_exchanged_over_tls(tmp_path: Path) -> None:
    """Guards against peers that cannot exchange messages with the fleet's certificates."""
    authority, addresses = trustme.CA(), {}
    with trio.fail_after(TEST_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            first, first_recorder = await start_network(
                nursery, 'entry-1', addresses, issue_certificate(authority, tmp_path, 'entry-1')
            )
            second, second_recorder = await start_network(
                nursery, 'entry-2', addresses, issue_certificate(authority, tmp_path, 'entry-2')
            )
            sent, answer = (
                make_envelope('entry-1~a', 'entry-2'),
                make_envelope('entry-2', 'entry-1~a'),
            )
            first.send(sent)
            await second_recorder.arrived.wait()
            second.send(answer)
            await first_recorder.arrived.wait()
            forwarded = await second.forward('entry-1', 'zone-a', b'-command', TEST_TIMEOUT_S)
            nursery.cancel_scope.cancel()
    assert (second_recorder.envelopes, first_recorder.envelopes) == ([sent], [answer])
    assert forwarded.result == b'zone-a-command'


@pytest.mark.parametrize('certified_name', ['entry-3', 'outsider'])
async def test_peer_is_refused_unless_certificate_names_it(
    tmp_path: Path, certified_name: str
) -> None:
    """Guards against accepting a certificate that names another instance or none of the fleet."""
    authority, addresses = trustme.CA(), {'entry-2': '127.0.0.1:1', 'entry-3': '127.0.0.1:1'}
    with trio.fail_after(TEST_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            _, recorder = await start_network(
                nursery, 'entry-1', addresses, issue_certificate(authority, tmp_path, 'entry-1')
            )
            impostor = GrpcPeerNetwork(
                'entry-2',
                LOOPBACK,
                addresses,
                issue_certificate(authority, tmp_path, certified_name),
            )
            await nursery.start(impostor.run, Recorder())
            with pytest.raises(OutcomeUnknown, match='does not name'):
                await impostor.forward('entry-1', 'zone-a', b'', TEST_TIMEOUT_S)
            nursery.cancel_scope.cancel()
    assert not recorder.envelopes


async def test_foreign_certificate_authority_is_refused(tmp_path: Path) -> None:
    """Guards against accepting a certificate of another certificate authority."""
    addresses: dict[str, str] = {'entry-2': '127.0.0.1:1'}
    with trio.fail_after(TEST_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            await start_network(
                nursery, 'entry-1', addresses, issue_certificate(trustme.CA(), tmp_path, 'entry-1')
            )
            impostor = GrpcPeerNetwork(
                'entry-2', LOOPBACK, addresses, issue_certificate(trustme.CA(), tmp_path, 'entry-2')
            )
            await nursery.start(impostor.run, Recorder())
            with pytest.raises(AuthorityUnavailable):
                await impostor.forward('entry-1', 'zone-a', b'', TEST_TIMEOUT_S)
            nursery.cancel_scope.cancel()


async def test_stream_reconnects_after_peer_restart() -> None:
    """Guards against a link that does not reconnect after a restart of its peer."""
    addresses: dict[str, str] = {}
    with trio.fail_after(TEST_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            first, _ = await start_network(nursery, 'entry-1', addresses, None)
            async with trio.open_nursery() as first_run:
                _, before = await start_network(first_run, 'entry-2', addresses, None)
                first.send(make_envelope('entry-1', 'entry-2'))
                await before.arrived.wait()
                first_run.cancel_scope.cancel()
            restarted = GrpcPeerNetwork('entry-2', addresses['entry-2'], addresses, None)
            after = Recorder()
            await nursery.start(restarted.run, after)
            while not after.envelopes:
                first.send(make_envelope('entry-1', 'entry-2'))
                await trio.sleep(0.02)
            nursery.cancel_scope.cancel()


async def test_envelope_with_forged_sender_is_dropped() -> None:
    """Guards against an instance that sends messages in the name of another one."""
    addresses: dict[str, str] = {'entry-3': '127.0.0.1:1'}
    with trio.fail_after(TEST_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            first, _ = await start_network(nursery, 'entry-1', addresses, None)
            _, recorder = await start_network(nursery, 'entry-2', addresses, None)
            first.send(make_envelope('entry-3', 'entry-2', b'forged'))
            first.send(make_envelope('entry-1', 'entry-2', b'own'))
            await recorder.arrived.wait()
            nursery.cancel_scope.cancel()
    assert [each.payload for each in recorder.envelopes] == [b'own']


async def test_channel_closed_while_connecting_keeps_no_connection() -> None:
    """Guards against a process that exits with 'Unclosed connection' on garbage collection.

    It happens if one of two calls times out while both wait for the same connection.
    """
    addresses: dict[str, str] = {}

    async def connect_closed() -> None:
        channel = make_channel(addresses['b'], 'b', None)
        channel.close()
        with pytest.raises(ConnectionAbortedError):
            await channel.__connect__()
        del channel  # noqa: WPS420
        gc.collect()

    async with trio.open_nursery() as nursery:
        await start_network(nursery, 'b', addresses, None)
        async with trio_asyncio.open_loop():
            await trio_asyncio.aio_as_trio(connect_closed)()
        nursery.cancel_scope.cancel()
