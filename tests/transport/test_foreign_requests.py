"""Tests of the listener for peers against requests that are valid HTTP/2 and no calls of peers."""

from __future__ import annotations

import pytest
import trio
from h2.config import H2Configuration
from h2.connection import H2Connection

from shallotmux.addresses import split_address
from shallotmux.transport import ForwardAnswer, GrpcPeerNetwork, PeerEnvelope, SelfNamedAddresses

TEST_TIMEOUT_S = 20

#: Time for which the listener is observed after a foreign request.
OBSERVED_S = 0.1

METHOD = '/shallotmux.transport.Peer/Forward'
PATH = (':path', METHOD)
POST = (':method', 'POST')
CONTENT_TYPE = ('content-type', 'application/grpc')
NAME = ('shallotmux-instance', '127.0.0.1:1')

HEADS = {
    'no-method': [PATH, CONTENT_TYPE],
    'no-path': [POST, CONTENT_TYPE],
    'no-content-type': [POST, PATH],
    'get': [(':method', 'GET'), PATH, CONTENT_TYPE],
    'unknown-method': [POST, (':path', '/none/None'), CONTENT_TYPE],
    'invalid-timeout': [POST, PATH, CONTENT_TYPE, NAME, ('grpc-timeout', 'x' * 100)],
    'huge-timeout': [POST, PATH, CONTENT_TYPE, NAME, ('grpc-timeout', f'{10**400}H')],
    'long-timeout': [POST, PATH, CONTENT_TYPE, NAME, ('grpc-timeout', f'{10**4000}S')],
    'invalid-metadata': [POST, PATH, CONTENT_TYPE, NAME, ('x-bin', '===not base64')],
    'foreign-name': [POST, PATH, CONTENT_TYPE, ('shallotmux-instance', 'none')],
    'no-name': [POST, PATH, CONTENT_TYPE],
    'sound-head': [POST, PATH, CONTENT_TYPE, NAME],
    'stream': [POST, (':path', '/shallotmux.transport.Peer/Exchange'), CONTENT_TYPE, NAME],
}

BODIES = {
    'nothing': b'',
    'no-message': b'\0\0\0\0\0',
    'no-protobuf': b'\0\0\0\0\3\xff\xff\xff',
    'too-long': b''.join((b'\0\xff\xff\xff\xff', bytes(1000))),
    'compressed': b'\1\0\0\0\3abc',
    'half': b'\0\0',
}


class AnsweringHandler:
    """Handler that answers each call."""

    def receive(self, envelope: PeerEnvelope) -> None:
        """Ignore an envelope."""

    async def handle_forward(self, group: str, command: bytes) -> ForwardAnswer:
        """Return the command."""
        return ForwardAnswer(command)


async def send_foreign(address: str, head: list[tuple[str, str]], body: bytes) -> None:
    """Send a request as a foreign client of HTTP/2 does, and observe for a moment."""
    config = H2Configuration(
        header_encoding='ascii', validate_outbound_headers=False, normalize_outbound_headers=False
    )
    protocol = H2Connection(config)
    protocol.initiate_connection()
    protocol.send_headers(1, head)
    if body:
        protocol.send_data(1, body)
    protocol.end_stream(1)
    async with await trio.open_tcp_stream(*split_address(address)) as stream:
        await stream.send_all(protocol.data_to_send())
        with trio.move_on_after(OBSERVED_S):
            received = await stream.receive_some()
            while received:
                received = await stream.receive_some()


@pytest.mark.parametrize('body', BODIES.values(), ids=BODIES.keys())
@pytest.mark.parametrize('head', HEADS.values(), ids=HEADS.keys())
async def test_listener_serves_peers_after_a_foreign_request(
    head: list[tuple[str, str]], body: bytes
) -> None:
    """Guards against a process that ends because of a request to its port for peers."""
    own = '127.0.0.1:0'
    with trio.fail_after(TEST_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            network = GrpcPeerNetwork(own, own, SelfNamedAddresses(), None)
            address = await nursery.start(network.run, AnsweringHandler())
            await send_foreign(address, head, body)
            answer = await network.forward(address, 'control', b'command', 1)
            nursery.cancel_scope.cancel()
    assert answer.result == b'command'
