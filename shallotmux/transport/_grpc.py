"""Network between instances over gRPC, with grpclib running under trio-asyncio."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Collection, Iterator, Mapping
from functools import partial
from typing import Any

import trio
import trio_asyncio
from eliot import log_message
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from shallotmux.addresses import split_address
from shallotmux.binding import bind_when_free
from shallotmux.errors import AuthorityUnavailable, OutcomeUnknown
from shallotmux.transport import _peer_pb2 as wire
from shallotmux.transport._bounded_server import BoundedServer, PeerBounds
from shallotmux.transport._call_stream import CALLS_HEADER, answer_calls
from shallotmux.transport._calls import CallConnection
from shallotmux.transport._channel import PeerChannel, make_channel, set_user_timeout
from shallotmux.transport._link import FLUSH_INTERVAL_S, NAME_HEADER, PeerLink
from shallotmux.transport._messages import (
    Channel,
    ForwardAnswer,
    PeerEnvelope,
    PeerHandler,
    Refusal,
    instance_name,
)
from shallotmux.transport._peer_grpc import PeerBase, PeerStub
from shallotmux.transport._tls import PeerTls, certified_names
from shallotmux.transport._traffic import Direction, PeerTraffic, TrafficKind

#: IP address and port of each instance, by name. The mapping is shared and read whenever a
#: connection is opened, so that tests can add addresses once the system has assigned the ports.
PeerAddresses = Mapping[str, str]


class SelfNamedAddresses(Mapping[str, str]):
    """Addresses of instances whose names are their addresses, for fleets without a fixed list.

    Any name of the form ``HOST:PORT`` counts as an instance, so the mapping cannot be iterated.
    """

    def __getitem__(self, name: str) -> str:
        """Return the name itself if it is an address."""
        try:
            split_address(name)
        except ValueError as error:
            raise KeyError(name) from error
        return name

    def __iter__(self) -> Iterator[str]:
        """Return an empty iterator, since the instances are not known in advance."""
        return iter(())

    def __len__(self) -> int:
        """Return 0."""
        return 0


#: Numbers on the wire that this build knows.
CHANNELS = frozenset(Channel)
REFUSALS = frozenset(Refusal)

#: Maximum number of peers. Each name in a call may bring a link, and names cannot be checked without TLS.
MAX_LINKS = 1024

#: Connections that are accepted before the bound on their number is applied, and listen backlog.
ACCEPTED_AT_ONCE = 8
BACKLOG = 1024

#: Limit for closing the accepted streams at shutdown.
CLOSE_TIMEOUT_S = 1.0


class GrpcPeerNetwork:
    """Connects an instance to its peers over TCP, with TLS unless ``tls`` is None.

    :param bind: IP address and port to listen on; port 0 lets the system choose.
    :param traffic: counts the bytes of all messages.
    :param streamed: groups whose calls use a kept stream to peers that know such streams.
    :param bounds: bounds of what other instances may make this one hold.
    """

    def __init__(
        self,
        name: str,
        bind: str,
        addresses: PeerAddresses,
        tls: PeerTls | None,
        traffic: PeerTraffic | None = None,
        streamed: Collection[str] = (),
        bounds: PeerBounds | None = None,
    ) -> None:
        self._streamed = frozenset(streamed)
        self._traffic = traffic or PeerTraffic()
        self._name = name
        self._bind = bind
        self._addresses = addresses
        self._tls = tls
        self._client_context = tls.client_context() if tls else None
        self._links: dict[str, PeerLink] = {}
        self._bounds = bounds or PeerBounds()
        self._nursery: trio.Nursery | None = None
        self._handler: PeerHandler | None = None
        self._loop: Any = None

    async def run(
        self, handler: PeerHandler, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Exchange messages until cancelled; the bound address is given to ``task_status``."""
        self._handler = handler
        sock = await bind_when_free(self._bind, self._create_socket)
        set_user_timeout(sock)
        context = self._tls.server_context() if self._tls else None
        async with trio_asyncio.open_loop() as self._loop:
            self._loop.set_exception_handler(_log_loop_error)
            service = _PeerService(self)
            server = BoundedServer([service], self._bounds)
            service.server = server
            await trio_asyncio.aio_as_trio(server.start)(
                sock=sock, ssl=context, backlog=ACCEPTED_AT_ONCE
            )
            # The loop has lowered the backlog to what it accepts at once.
            sock.listen(BACKLOG)
            try:
                async with trio.open_nursery() as nursery:
                    self._nursery = nursery
                    bound_host, bound_port = sock.getsockname()[:2]
                    task_status.started(f'{bound_host}:{bound_port}')
                    while True:
                        await trio.sleep(FLUSH_INTERVAL_S)
                        for link in self._links.values():
                            link.queue.flush_delayed()
            finally:
                self._nursery = None
                for link in self._links.values():
                    link.calls.close()
                await _close_server(server)

    def send(self, envelope: PeerEnvelope) -> None:
        """Queue an envelope, or drop it if the queue is full or the peer's address is unknown."""
        peer = instance_name(envelope.recipient)
        if self._nursery is None or peer not in self._addresses:
            return
        link = self.link(peer)
        link.queue.put(envelope)
        self._traffic.count(
            TrafficKind.REPLICATION, Direction.SENT, peer, len(envelope.payload)
        )
        if link.needs_stream():
            self._nursery.start_soon(trio_asyncio.aio_as_trio(link.connect, loop=self._loop))

    async def forward(
        self, peer: str, group: str, command: bytes, timeout_s: float
    ) -> ForwardAnswer:
        """Forward a command to a peer, which commits it.

        :raises AuthorityUnavailable: if the command certainly did not reach the peer.
        :raises OutcomeUnknown: if the call failed once the peer was connected.
        """
        if self._nursery is None or peer not in self._addresses:
            raise AuthorityUnavailable('peer is not known', step='forward', peer=peer)
        self._traffic.count_call(group, Direction.SENT, peer, len(command))
        open_stream = self.link(peer).calls.stream() if group in self._streamed else None
        if open_stream is None:
            request = wire.ForwardRequest(group=group, command=command)
            answer = await trio_asyncio.aio_as_trio(self._call_forward, loop=self._loop)(
                peer, request, timeout_s
            )
        else:
            connection, stream = open_stream
            with connection.use():
                answer = await stream.call(group, command, timeout_s)
                if answer is None:
                    connection.retire()
                    raise OutcomeUnknown('no answer', step='forward', peer=peer)
        self._traffic.count_answer(group, Direction.RECEIVED, peer, len(answer.result))
        if answer.refusal not in REFUSALS:
            detail = f'unknown refusal {answer.refusal}'
            raise OutcomeUnknown(detail, step='forward', peer=peer)
        return ForwardAnswer(answer.result, Refusal(answer.refusal), answer.detail)

    def link(self, peer: str) -> PeerLink:
        """Return the link to a peer, which is created on first use."""
        link = self._links.get(peer)
        if link is None:
            link = PeerLink(self._name, peer, self._open_channel, self.deliver)
            self._links[peer] = link
        return link

    def deliver(self, peer: str, batch: Any) -> None:
        """Pass a peer's envelopes to the handler.

        Those with another sender's name are dropped, and those for a part of an instance that only a
        later build has.
        """
        if self._handler is None:
            return
        for each in batch.envelopes:
            self._traffic.count(
                TrafficKind.REPLICATION, Direction.RECEIVED, peer, len(each.payload)
            )
            is_from_peer = instance_name(each.sender) == peer
            is_own = instance_name(each.recipient) == self._name
            if is_from_peer and is_own and each.channel in CHANNELS:
                channel = Channel(each.channel)
                self._handler.receive(
                    PeerEnvelope(each.group, each.sender, each.recipient, channel, each.payload)
                )

    def identify(self, stream: Any) -> str:
        """Return the name of the peer behind an accepted stream.

        :raises GRPCError: if the peer cannot prove that it is an instance of the fleet.
        """
        name = str(stream.metadata.get(NAME_HEADER, ''))
        if name not in self._addresses:
            raise GRPCError(Status.PERMISSION_DENIED, f'{name!r} is not an instance of the fleet')
        if self._tls and name not in certified_names(stream.peer.cert()):
            raise GRPCError(Status.PERMISSION_DENIED, f'certificate does not name {name!r}')
        if name not in self._links and len(self._links) >= MAX_LINKS:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, 'too many peers')
        return name

    async def answer_forward(self, request: Any, peer: str) -> Any:
        """Pass a peer's forwarded command to the handler, and return its answer as a wire message."""
        self._traffic.count_call(request.group, Direction.RECEIVED, peer, len(request.command))
        if self._handler is None:
            return wire.ForwardAnswer(refusal=wire.NOT_COMMITTED, detail='not started')
        handle = trio_asyncio.trio_as_aio(self._handler.handle_forward)
        answer = await handle(request.group, request.command)
        self._traffic.count_answer(request.group, Direction.SENT, peer, len(answer.result))
        return wire.ForwardAnswer(
            result=answer.result,
            refusal=int(answer.refusal),  # type: ignore[arg-type]
            detail=answer.detail,
        )

    async def _create_socket(self) -> socket.socket:
        return socket.create_server(split_address(self._bind))

    def _open_channel(self, peer: str) -> PeerChannel:
        return make_channel(self._addresses[peer], peer, self._client_context)

    async def _call_forward(self, peer: str, request: Any, timeout_s: float) -> Any:
        connection = self.link(peer).calls.connection()
        with connection.use():
            try:
                # asyncio.wait_for would lose a cancellation in the turn in which an attempt fails.
                async with asyncio.timeout(timeout_s):
                    await connection.wait_open()
            except Exception as error:
                # See PeerLink.connect: grpclib raises errors of many kinds.
                raise AuthorityUnavailable(
                    f'cannot connect: {error!r}', step='forward', peer=peer
                ) from error
            return await self._send_forward(connection, peer, request, timeout_s)

    async def _send_forward(
        self, connection: CallConnection, peer: str, request: Any, timeout_s: float
    ) -> Any:
        headers = {NAME_HEADER: self._name}
        stub = PeerStub(connection.channel)
        try:
            answer = await stub.Forward(request, timeout=timeout_s, metadata=headers)
        except Exception as error:
            # The connection may be dead, so further calls use another one. Those under way keep this
            # one: it may only be the answer to this call that takes long.
            connection.retire()
            raise OutcomeUnknown(f'no answer: {error!r}', step='forward', peer=peer) from error
        if request.group in self._streamed:
            self.link(peer).calls.open_stream(connection, headers)
        return answer


def _log_loop_error(_loop: Any, context: Mapping[str, Any]) -> None:
    """Log an error that no task awaits, such as a connection that cannot be accepted.

    The default handler of trio-asyncio raises it in the task group of the loop, which ends the process.
    It concerns one connection, which the loop closes, or a task that was given up.
    """
    log_message(
        message_type='shallotmux:peer-loop-error',
        level='error',
        reason=str(context.get('message', '')),
        error=repr(context.get('exception')),
    )


async def _close_server(server: BoundedServer) -> None:
    """End the accepted streams, so that peers notice at once and need not wait for a timeout."""
    server.close()
    with trio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
        await trio_asyncio.aio_as_trio(server.wait_closed)()
        await trio.sleep(0)


class _PeerService(PeerBase):
    """gRPC service that accepts streams and forwarded commands."""

    def __init__(self, network: GrpcPeerNetwork) -> None:
        self._network = network
        self.server = BoundedServer([], PeerBounds())

    async def Exchange(self, stream: Any) -> None:  # noqa: N802
        """Run a peer's stream in both directions until it ends."""
        name = self._network.identify(stream)
        is_for_calls = CALLS_HEADER in stream.metadata
        await stream.send_initial_metadata(metadata={CALLS_HEADER: '1'} if is_for_calls else None)
        try:
            with self.server.call(stream):
                if is_for_calls:
                    await answer_calls(stream, partial(self._network.answer_forward, peer=name))
                else:
                    await self._network.link(name).run_stream(stream)
        finally:
            # A cancelled handler sends no trailers, so close the connection to end the stream.
            stream.peer._transport.close()  # noqa: SLF001

    async def Forward(self, stream: Any) -> None:  # noqa: N802
        """Answer a forwarded command."""
        name = self._network.identify(stream)
        with self.server.call(stream):
            request = await stream.recv_message()
            if request is not None:
                await stream.send_message(await self._network.answer_forward(request, name))
