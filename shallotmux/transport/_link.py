"""Link to one peer: a bounded queue of envelopes and the stream that sends them."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterator
from random import Random
from typing import Any

from eliot import log_message
from grpclib.exceptions import StreamTerminatedError

from shallotmux.transport import _peer_pb2 as wire
from shallotmux.transport._calls import PeerCalls
from shallotmux.transport._channel import CONNECT_TIMEOUT_S, PeerChannel
from shallotmux.transport._messages import PeerEnvelope
from shallotmux.transport._peer_grpc import PeerStub

#: Maximum number of envelopes queued for a slow or unreachable peer. The replication protocol
#: resends dropped ones.
MAX_QUEUED_ENVELOPES = 1024

#: Payload bytes of the queued envelopes, and of those in one message. A single envelope may exceed
#: either limit.
MAX_QUEUED_BYTES = 8 << 20
MAX_BATCH_BYTES = 1 << 20

#: Maximum number of envelopes in one message.
MAX_BATCH_ENVELOPES = 128

#: Interval at which delayed envelopes are flushed, so that they wait for one to two intervals. It
#: exceeds the heartbeat interval, since such envelopes are usually sent along with a heartbeat.
FLUSH_INTERVAL_S = 0.7

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0

#: Time after which a stream counts as broken if something was sent and nothing was received. Every
#: message of a leader is answered, and a connection may fail without a reset.
STREAM_TIMEOUT_S = 2.5
STREAM_CHECK_INTERVAL_S = 0.5

#: Header with the sender's name; a certificate, if there is one, must contain the same name.
NAME_HEADER = 'shallotmux-instance'

Deliver = Callable[[str, Any], None]


class EnvelopeQueue:
    """Bounded queue of envelopes, read by the tasks that run streams to the peer."""

    def __init__(self) -> None:
        self._queued: deque[PeerEnvelope] = deque()
        self._queued_bytes = 0
        self._flush_requested = asyncio.Event()
        self._is_flush_due = False
        #: Envelopes dropped because the queue was full.
        self.dropped = 0

    def put(self, envelope: PeerEnvelope) -> None:
        """Add an envelope, or drop it if the queue is full."""
        size = self._queued_bytes + len(envelope.payload)
        is_full = len(self._queued) >= MAX_QUEUED_ENVELOPES or size > MAX_QUEUED_BYTES
        if self._queued and is_full:
            self.dropped += 1
            return
        self._queued.append(envelope)
        self._queued_bytes = size
        if not envelope.may_wait:
            self._flush_requested.set()

    def flush_delayed(self) -> None:
        """Request a flush if envelopes have been queued since before the last call."""
        if self._queued and self._is_flush_due:
            self._flush_requested.set()
        self._is_flush_due = bool(self._queued)

    async def next_batch(self) -> Any:
        """Wait until a flush is requested, and return queued envelopes as one wire message."""
        while not self._queued or not self._flush_requested.is_set():
            self._flush_requested.clear()
            await self._flush_requested.wait()
        batch = wire.Batch(envelopes=[_to_wire(each) for each in self._take_batch()])
        self._is_flush_due = False
        if not self._queued:
            self._flush_requested.clear()
        return batch

    def _take_batch(self) -> Iterator[PeerEnvelope]:
        """Remove and yield the envelopes of one message; at least one."""
        size = 0
        for count in range(min(len(self._queued), MAX_BATCH_ENVELOPES)):
            size += len(self._queued[0].payload)
            if count and size > MAX_BATCH_BYTES:
                return
            envelope = self._queued.popleft()
            self._queued_bytes -= len(envelope.payload)
            yield envelope


class StreamWatchdog:
    """Detects a peer that no longer answers on a stream."""

    def __init__(self) -> None:
        self._unanswered_since: float | None = None

    def restart(self) -> None:
        """Reset the timer for a new stream."""
        self._unanswered_since = None

    def record_sent(self) -> None:
        """Start the timer unless it is running."""
        if self._unanswered_since is None:
            self._unanswered_since = asyncio.get_running_loop().time()

    def record_received(self) -> None:
        """Stop the timer."""
        self._unanswered_since = None

    async def wait(self) -> None:
        """Return once a sent message has been unanswered for ``STREAM_TIMEOUT_S``."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(STREAM_CHECK_INTERVAL_S)
            since = self._unanswered_since
            if since is not None and loop.time() - since > STREAM_TIMEOUT_S:
                return


class PeerLink:
    """Connections between this instance and one peer.

    The link opens a stream when there is something to send and the peer has not opened one, and
    keeps it open. Both directions use the existing stream, whichever side has opened it.
    """

    def __init__(
        self, own_name: str, peer: str, open_channel: Callable[[str], PeerChannel], deliver: Deliver
    ) -> None:
        self._own_name = own_name
        self._peer = peer
        self._open_channel = open_channel
        # A channel is bound to the event loop, so it is created by a task that runs in the loop.
        self._channel: PeerChannel | None = None
        #: Calls use a separate connection, which is replaced if one of them is not answered in time.
        self.calls = PeerCalls(lambda: open_channel(peer))
        self._deliver = deliver
        self._watchdog = StreamWatchdog()
        self._random = Random(f'{own_name}/{peer}')  # noqa: S311
        self._open_streams = 0
        self._connecting = False
        self.queue = EnvelopeQueue()

    def needs_stream(self) -> bool:
        """Return whether a stream must be opened; if so, the caller must run :meth:`connect`."""
        needed = not self._open_streams and not self._connecting
        self._connecting = self._connecting or needed
        return needed

    async def connect(self) -> None:
        """Open a stream and run it; reopen it with backoff whenever it breaks, until cancelled."""
        backoff = INITIAL_BACKOFF_S
        try:
            while True:
                try:
                    await self._open_and_run_stream()
                    backoff = INITIAL_BACKOFF_S
                except Exception as error:
                    # Beside its own errors, grpclib raises AttributeError and those of the libraries
                    # below it when a connection ends, or a peer sends something else than HTTP/2.
                    log_message(
                        message_type='shallotmux:peer-stream-broken',
                        peer=self._peer,
                        error=repr(error),
                    )
                self._close_channel()
                # Jitter prevents instances that lost the same peer from reconnecting together.
                await asyncio.sleep(backoff * self._random.uniform(0.5, 1))
                backoff = min(2 * backoff, MAX_BACKOFF_S)
        finally:
            self._connecting = False
            self._close_channel()
            self.calls.close()

    async def run_stream(self, stream: Any) -> None:
        """Send and receive on an open stream until it ends or the peer stops answering.

        :raises StreamTerminatedError: if the peer stops answering.
        """
        self._open_streams += 1
        self._watchdog.restart()
        sending = asyncio.ensure_future(self._send_all(stream))
        receiving = asyncio.ensure_future(self._receive_all(stream))
        watching = asyncio.ensure_future(self._watchdog.wait())
        tasks = (sending, receiving, watching)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if receiving.done():
                receiving.result()
            if watching.done():
                raise StreamTerminatedError('the peer does not answer')
        finally:
            self._open_streams -= 1
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _receive_all(self, stream: Any) -> None:
        async for batch in stream:
            self._watchdog.record_received()
            self._deliver(self._peer, batch)

    async def _open_and_run_stream(self) -> None:
        headers = {NAME_HEADER: self._own_name}
        self._channel = self._open_channel(self._peer)
        # wait_for loses a cancellation that comes as the connection opens or fails, and with it the stop of
        # the process.
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await self._channel.__connect__()
        stub = PeerStub(self._channel)
        async with stub.Exchange.open(metadata=headers) as stream:
            await stream.send_request()
            await self.run_stream(stream)

    def _close_channel(self) -> None:
        if self._channel is not None:
            self._channel.close()
            self._channel = None

    async def _send_all(self, stream: Any) -> None:
        while True:
            batch = await self.queue.next_batch()
            self._watchdog.record_sent()
            await stream.send_message(batch)


def _to_wire(envelope: PeerEnvelope) -> Any:
    return wire.Envelope(
        group=envelope.group,
        sender=envelope.sender,
        recipient=envelope.recipient,
        channel=int(envelope.channel),  # type: ignore[arg-type]
        payload=envelope.payload,
    )
