"""The connection to one peer: a bounded queue and the stream that empties it."""

from __future__ import annotations

import asyncio
import socket
import ssl
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from eliot import log_message
from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.exceptions import GRPCError, StreamTerminatedError

from shallotmux.addresses import split_address
from shallotmux.transport import _peer_pb2 as wire
from shallotmux.transport._messages import PeerEnvelope
from shallotmux.transport._peer_grpc import PeerStub

#: Envelopes that wait for a slow or absent peer; the replication protocol resends lost ones.
QUEUE_ENVELOPES = 1024

#: Envelopes sent in one message.
BATCH_ENVELOPES = 128

#: Interval at which envelopes that may wait are looked for; they wait for one to two of these. It
#: exceeds the interval of heartbeats, with which such envelopes usually go.
LINGER_S = 0.7

FIRST_BACKOFF_S = 0.1
LONGEST_BACKOFF_S = 1.0

#: A connection whose data stays unacknowledged for this long is closed by the kernel. Without it,
#: retransmission backs off to minutes and delays the stream after a partition heals.
USER_TIMEOUT_MS = 3000

#: Time for opening a connection. A peer without power or behind a partition answers nothing, and
#: the system's own limit is minutes.
CONNECT_TIMEOUT_S = 1.0

#: Time after which a stream counts as broken on which something was sent and nothing came back.
#: Each message of a leader is answered, and a connection may go silent without a reset.
SILENCE_S = 2.5
SILENCE_CHECK_S = 0.5

#: Header that names the sender where connections carry no certificate.
NAME_HEADER = 'shallotmux-instance'

#: What may end a stream or keep it from opening.
BROKEN_STREAM = (
    OSError,
    GRPCError,
    StreamTerminatedError,
    ssl.SSLError,
    asyncio.TimeoutError,
)

Deliver = Callable[[str, Any], None]


class EnvelopeQueue:
    """Bounded queue of envelopes, read by the tasks that own streams to the peer."""

    def __init__(self) -> None:
        self._waiting: deque[PeerEnvelope] = deque()
        self._ready = asyncio.Event()
        self._is_old = False
        #: Envelopes dropped because the queue was full.
        self.dropped = 0

    def put(self, envelope: PeerEnvelope) -> None:
        """Add an envelope, or drop it when the queue is full."""
        if len(self._waiting) >= QUEUE_ENVELOPES:
            self.dropped += 1
            return
        self._waiting.append(envelope)
        if not envelope.may_wait:
            self._ready.set()

    def flush_old(self) -> None:
        """Send what has waited since the last call for an envelope to go along with."""
        if self._waiting and self._is_old:
            self._ready.set()
        self._is_old = bool(self._waiting)

    async def next_batch(self) -> Any:
        """Wait for envelopes and return them as one message."""
        while not self._waiting or not self._ready.is_set():
            self._ready.clear()
            await self._ready.wait()
        count = min(len(self._waiting), BATCH_ENVELOPES)
        batch = wire.Batch(envelopes=[_to_wire(self._waiting.popleft()) for _ in range(count)])
        self._is_old = False
        if not self._waiting:
            self._ready.clear()
        return batch


class PeerChannel(Channel):
    """gRPC channel whose connection gives up on an unresponsive peer early.

    A channel may be closed for one call while another one still waits for its connection. That
    connection must not outlive the channel, or the library raises an error when it is collected.
    """

    def __init__(self, *address: Any, **options: Any) -> None:
        super().__init__(*address, **options)
        self._is_closed = False

    def close(self) -> None:
        """Close the channel for good."""
        self._is_closed = True
        super().close()

    async def _create_connection(self) -> Any:
        protocol = await super()._create_connection()
        if self._is_closed:
            protocol.processor.close()
            raise ConnectionAbortedError('the channel was closed')
        sock = protocol.connection.get_peer()._transport.get_extra_info('socket')  # noqa: SLF001
        limit_unacknowledged(sock)
        return protocol


def limit_unacknowledged(sock: socket.socket) -> None:
    """Let the kernel close a connection whose peer no longer acknowledges data."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class SilenceWatch:
    """Notices that a peer answers nothing any more."""

    def __init__(self) -> None:
        self._unanswered_since: float | None = None

    def restart(self) -> None:
        """Forget what was sent on an earlier stream."""
        self._unanswered_since = None

    def note_sent(self) -> None:
        """Take note that something was sent."""
        if self._unanswered_since is None:
            self._unanswered_since = asyncio.get_running_loop().time()

    def note_received(self) -> None:
        """Take note that something arrived."""
        self._unanswered_since = None

    async def wait(self) -> None:
        """Return once nothing has come back for too long."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SILENCE_CHECK_S)
            since = self._unanswered_since
            if since is not None and loop.time() - since > SILENCE_S:
                return


class PeerLink:
    """Everything between this instance and one peer.

    The link connects when there is something to send and the peer has not connected already, and
    keeps the stream. Both directions use whichever stream exists.
    """

    def __init__(
        self, own: str, peer: str, open_channel: Callable[[str], PeerChannel], deliver: Deliver
    ) -> None:
        self._own = own
        self._peer = peer
        self._open_channel = open_channel
        # Channels belong to the event loop, so the first one is made by a task that runs in it.
        self._channel: PeerChannel | None = None
        # Calls have a connection of their own, which is dropped when one is not answered in time.
        self._call_channel: PeerChannel | None = None
        self._deliver = deliver
        self._silence = SilenceWatch()
        self._random = Random(f'{own}/{peer}')  # noqa: S311
        self._streams = 0
        self._connecting = False
        self.queue = EnvelopeQueue()

    def needs_stream(self) -> bool:
        """Tell whether the link must connect, and expect the caller to run it if so."""
        needed = not self._streams and not self._connecting
        self._connecting = self._connecting or needed
        return needed

    async def connect(self) -> None:
        """Open a stream and use it until it breaks, with backoff before every retry."""
        backoff = FIRST_BACKOFF_S
        try:
            while True:
                try:
                    await self._exchange()
                    backoff = FIRST_BACKOFF_S
                except BROKEN_STREAM as error:
                    log_message(
                        message_type='shallotmux:peer-stream-broken',
                        peer=self._peer,
                        error=repr(error),
                    )
                self._close_channel()
                # Jitter keeps instances that lost the same peer from reconnecting at once.
                await asyncio.sleep(backoff * self._random.uniform(0.5, 1))
                backoff = min(2 * backoff, LONGEST_BACKOFF_S)
        finally:
            self._connecting = False
            self._close_channel()
            self.drop_calls()

    async def call_stub(self) -> PeerStub:
        """Connect to the peer unless a connection for calls exists, and return their stub."""
        if self._call_channel is None:
            self._call_channel = self._open_channel(self._peer)
        channel = self._call_channel
        await channel.__connect__()
        return PeerStub(channel)

    def drop_calls(self) -> None:
        """Close the connection for calls; the next call opens another one."""
        if self._call_channel is not None:
            self._call_channel.close()
            self._call_channel = None

    async def use(self, stream: Any) -> None:
        """Send and receive on an open stream until it ends or the peer falls silent."""
        self._streams += 1
        self._silence.restart()
        sending = asyncio.ensure_future(self._send_all(stream))
        receiving = asyncio.ensure_future(self._receive_all(stream))
        watching = asyncio.ensure_future(self._silence.wait())
        tasks = (sending, receiving, watching)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if receiving.done():
                receiving.result()
            if watching.done():
                raise StreamTerminatedError('the peer is silent')
        finally:
            self._streams -= 1
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _receive_all(self, stream: Any) -> None:
        async for batch in stream:
            self._silence.note_received()
            self._deliver(self._peer, batch)

    async def _exchange(self) -> None:
        headers = {NAME_HEADER: self._own}
        self._channel = self._open_channel(self._peer)
        await asyncio.wait_for(self._channel.__connect__(), CONNECT_TIMEOUT_S)
        stub = PeerStub(self._channel)
        async with stub.Exchange.open(metadata=headers) as stream:
            await stream.send_request()
            await self.use(stream)

    def _close_channel(self) -> None:
        if self._channel is not None:
            self._channel.close()
            self._channel = None

    async def _send_all(self, stream: Any) -> None:
        while True:
            batch = await self.queue.next_batch()
            self._silence.note_sent()
            await stream.send_message(batch)


def channel_to(address: str, peer: str, context: ssl.SSLContext | None) -> PeerChannel:
    """Return a channel that connects on first use and checks the peer's name."""
    target = split_address(address)
    config = Configuration(ssl_target_name_override=peer if context else None)
    return PeerChannel(target.host, target.port, ssl=context, config=config)


def _to_wire(envelope: PeerEnvelope) -> Any:
    return wire.Envelope(
        group=envelope.group,
        sender=envelope.sender,
        recipient=envelope.recipient,
        channel=int(envelope.channel),  # type: ignore[arg-type]
        payload=envelope.payload,
    )
