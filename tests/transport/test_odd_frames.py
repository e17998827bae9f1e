"""Tests of a peer that sends what is no answer of this protocol, or one of a later build."""

from __future__ import annotations

import hpack
import pytest
import trio

from shallotmux.errors import OutcomeUnknown
from shallotmux.transport import Channel, GrpcPeerNetwork, PeerEnvelope
from shallotmux.transport import _peer_pb2 as wire
from tests.transport.test_grpc import LOOPBACK, TEST_TIMEOUT_S, Recorder

#: Types and flags of HTTP/2 frames.
DATA, HEADERS, SETTINGS = 0, 1, 4
END_STREAM, END_HEADERS = 1, 4

#: Number of a channel or a refusal that only a later build knows.
LATER = 99

OWN_NAME = 'entry'
PEER_NAME = 'control'


def make_frame(kind: int, flags: int, stream: int, content: bytes) -> bytes:
    """Return an HTTP/2 frame."""
    head = (len(content).to_bytes(3, 'big'), bytes((kind, flags)), stream.to_bytes(4, 'big'))
    return b''.join((*head, content))


def make_headers(flags: int, *fields: tuple[str, str]) -> bytes:
    """Return a frame with headers for the first stream of a client."""
    return make_frame(HEADERS, END_HEADERS | flags, 1, hpack.Encoder().encode(fields))


def make_message(content: bytes, *, is_compressed: bool = False) -> bytes:
    """Return a frame with one gRPC message."""
    prefix = bytes((is_compressed,)) + len(content).to_bytes(4, 'big')
    return make_frame(DATA, 0, 1, b'%b%b' % (prefix, content))


START = make_frame(SETTINGS, 0, 0, b'')
ANSWER = START + make_headers(0, (':status', '200'), ('content-type', 'application/grpc'))
TRAILERS = make_headers(END_STREAM, ('grpc-status', '0'))
UNKNOWN_REFUSAL = wire.ForwardAnswer(refusal=LATER).SerializeToString()  # type: ignore[arg-type]

CONTENTS = {
    'HTTP/1.1': b'HTTP/1.1 400 Bad Request\r\n\r\n',
    'zeros': bytes(100),
    'frame out of place': START + make_frame(DATA, 0, 0, b'x'),
    'frame too large': b'%b\xff\xff\xff\0\0\0\0\0\1' % START,
    'invalid headers': START + make_frame(HEADERS, END_HEADERS, 1, b'\xff' * 6),
    'no answer of gRPC': START + make_headers(0, (':status', 'odd')),
    'no message': ANSWER + make_message(b'\xff' * 4),
    'compressed message': ANSWER + make_message(b'\xff' * 4, is_compressed=True),
    'unknown refusal': b'%b%b%b' % (ANSWER, make_message(UNKNOWN_REFUSAL), TRAILERS),
    'end before the end': ANSWER + TRAILERS,
}


class OddPeer:
    """Answers each connection with given bytes once something has arrived."""

    def __init__(self, content: bytes) -> None:
        self.answered = trio.Event()
        self._content = content

    async def run(self, *, task_status: trio.TaskStatus[str]) -> None:
        """Serve until cancelled; ``task_status`` receives the address."""
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        task_status.started(f'127.0.0.1:{listeners[0].socket.getsockname()[1]}')
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        try:
            while await stream.receive_some():
                # The headers of the request come after the preface of the connection.
                await trio.sleep(0.05)
                await stream.send_all(self._content)
                self.answered.set()
                await trio.sleep(0.2)
                return
        except trio.BrokenResourceError:
            return


async def start_network(nursery: trio.Nursery, content: bytes) -> tuple[GrpcPeerNetwork, OddPeer]:
    """Start a network whose only peer answers with given bytes."""
    peer = OddPeer(content)
    addresses = {PEER_NAME: await nursery.start(peer.run)}
    network = GrpcPeerNetwork(OWN_NAME, LOOPBACK, addresses, None)
    addresses[OWN_NAME] = await nursery.start(network.run, Recorder())
    return network, peer


@pytest.mark.parametrize('content', CONTENTS.values(), ids=CONTENTS.keys())
async def test_odd_answer_to_a_call_leaves_its_outcome_unknown(
    nursery: trio.Nursery, content: bytes
) -> None:
    """Guards against an answer that raises another error than the callers of a call handle."""
    with trio.fail_after(TEST_TIMEOUT_S):
        network, _ = await start_network(nursery, content)
        with pytest.raises(OutcomeUnknown):
            await network.forward(PEER_NAME, 'group', b'command', 0.5)
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize('content', CONTENTS.values(), ids=CONTENTS.keys())
async def test_odd_message_on_a_stream_does_not_end_the_network(
    nursery: trio.Nursery, content: bytes
) -> None:
    """Guards against a peer, or what listens at its address now, that ends each instance."""
    with trio.fail_after(TEST_TIMEOUT_S):
        network, peer = await start_network(nursery, content)
        network.send(PeerEnvelope('group', OWN_NAME, PEER_NAME, Channel.REPLICATION, b'x'))
        await peer.answered.wait()
        await trio.sleep(0.2)
        with pytest.raises(OutcomeUnknown):
            await network.forward(PEER_NAME, 'group', b'command', 0.5)
    nursery.cancel_scope.cancel()


def test_envelope_for_an_unknown_channel_is_dropped() -> None:
    """Guards against a channel of a later build that ends the instances of an earlier one."""
    network, recorder = GrpcPeerNetwork(OWN_NAME, LOOPBACK, {}, None), Recorder()
    network._handler = recorder
    envelopes = [
        wire.Envelope(sender=PEER_NAME, recipient=OWN_NAME, channel=channel, payload=b'x')  # type: ignore[arg-type]
        for channel in (LATER, int(Channel.MEMBERSHIP))
    ]
    network.deliver(PEER_NAME, wire.Batch(envelopes=envelopes))
    assert [each.channel for each in recorder.envelopes] == [Channel.MEMBERSHIP]
