"""An HTTP/1.1 client connection to an endpoint."""

from __future__ import annotations

import select
from collections.abc import Callable
from dataclasses import dataclass

import h11
import trio

from shallotmux.errors import EndpointError
from shallotmux.forwarding._headers import drop_ignored_length, find_header, parse_count
from shallotmux.forwarding._messages import AnswerHead, OutgoingRequest
from shallotmux.membounds import Holding, is_closed_in_order

#: Largest answer head that is accepted from an endpoint.
MAX_ANSWER_HEAD_BYTES = 65_536

#: Longest body that is sent together with its head, in one packet where possible. Longer ones are not
#: copied.
MAX_JOINED_BODY_BYTES = 16_384

#: Timeout for opening a connection. It is shorter than the 1 s after which TCP retransmits a lost SYN;
#: trying another endpoint is faster.
CONNECT_TIMEOUT_S = 0.4

#: Keep-alive time of connections to endpoints that send no ``Keep-Alive`` header.
DEFAULT_KEEP_ALIVE_S = 4.0

#: Subtracted from the keep-alive time that an endpoint states, to allow for network delay.
KEEP_ALIVE_MARGIN_S = 1.0

#: Longest keep-alive time that is believed; others are ignored.
MAX_KEEP_ALIVE_S = 1_000_000_000

#: Interim answers (status 1xx) that are skipped before a connection counts as broken.
MAX_INTERIM_ANSWERS = 8

#: Largest body that is read whole, or discarded to keep a connection. An endpoint in trouble may send
#: bytes without end.
MAX_WHOLE_BODY_BYTES = 65_536

#: Time in which a body is discarded to keep a connection.
DISCARD_TIMEOUT_S = 0.25

#: Statuses of answers without a body.
EMPTY_STATUSES = frozenset((204, 304))

#: Answers with another request's id that are skipped before a connection counts as broken.
MAX_MISMATCHED_ANSWERS = 2


class ConnectionUnusable(EndpointError):
    """The connection could not be opened or used, and no byte of a request was sent."""


class LocalResourcesSpent(ConnectionUnusable):
    """This instance has no descriptor, port or memory for a further connection.

    That shows nothing of the endpoint.
    """


@dataclass(slots=True)
class _Progress:
    """Progress of an exchange.

    :param was_sent: whether any byte of the request may have left this instance.
    :param has_send_failed: whether the connection broke while the request was sent.
    :param ends_with_connection: whether only the end of the connection marks that of the answer.
    """

    was_sent: bool = False
    is_request_complete: bool = False
    is_answer_complete: bool = False
    has_send_failed: bool = False
    ends_with_connection: bool = False


@dataclass(frozen=True, slots=True)
class CallAnswer:
    """Whole answer to a call of the system itself."""

    status: int
    content: bytes


class EndpointConnection:
    """Exchanges one request and answer at a time with an endpoint.

    :param peer: name of the endpoint, for errors.
    """

    def __init__(self, stream: trio.abc.Stream, peer: str, request_id_header: bytes) -> None:
        self._stream = stream
        self._peer = peer
        self._request_id_header = request_id_header
        self._request: OutgoingRequest | None = None
        #: Encoding of the present request until it is sent.
        self._unsent: tuple[bytes, ...] = ()
        #: Bytes of the present answer that are kept until they are relayed.
        self.held = Holding()
        self._protocol = _new_protocol()
        self._progress = _Progress()
        self.opened_at = trio.current_time()
        self.idle_since = self.opened_at
        #: Local time at which bytes last arrived.
        self.received_at = float('-inf')
        #: Whether bytes are awaited now; otherwise none may have been read for long.
        self.is_receiving = False
        #: Whether the endpoint said on this connection that it is the start that was listed.
        self.is_start_verified = False
        self.keep_alive_s = DEFAULT_KEEP_ALIVE_S
        #: Called with the head of each answer that belongs to the request.
        self.on_head: Callable[[AnswerHead], None] = _ignore_head

    @property
    def peer(self) -> str:
        """Return the name of the endpoint, for errors."""
        return self._peer

    @property
    def was_sent(self) -> bool:
        """Return whether any byte of the current request may have left this instance."""
        return self._progress.was_sent

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection can take another request.

        That is so only after a complete answer that matched the request, with no data after it.
        """
        progress = self._progress
        is_done = progress.is_request_complete and progress.is_answer_complete
        states = (self._protocol.our_state, self._protocol.their_state)
        has_trailing_data = bool(self._protocol.trailing_data[0])
        return is_done and states == (h11.DONE, h11.DONE) and not has_trailing_data

    def is_alive(self, now: float) -> bool:
        """Return whether an idle connection is within its keep-alive time and still open."""
        return now - self.idle_since < self.keep_alive_s and not self._has_input()

    def begin(self, request: OutgoingRequest) -> None:
        """Begin an exchange; must be called before its answer is awaited.

        The request is encoded here: once the end of the connection has been read, the protocol takes
        no request any more.

        :raises ConnectionUnusable: if the exchange before is not complete.
        :raises EndpointError: if the request cannot be encoded, which shows nothing of the endpoint.
        """
        self._progress = _Progress()
        self.held.release()
        try:
            if self._request is not None:
                self._protocol.start_next_cycle()
        except h11.ProtocolError as error:
            raise ConnectionUnusable(f'{error!r}', step='begin', peer=self._peer) from error
        self._request = request
        try:
            self._unsent = self._encode(request)
        except h11.ProtocolError as error:
            raise EndpointError(f'{error!r}', step='encode', peer=self._peer) from error

    async def send_request(self) -> None:
        """Send the request of the present exchange.

        :raises EndpointError: if the connection breaks.
        """
        # Nothing leaves this instance if the exchange was given up before this task ran.
        await trio.lowlevel.checkpoint_if_cancelled()
        parts = self._unsent
        self._unsent = ()
        self._progress.was_sent = True
        try:
            for part in parts:
                await self._stream.send_all(part)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self._progress.has_send_failed = True
            raise self._error('send', error) from error
        self._progress.is_request_complete = True

    async def call(self, request: OutgoingRequest) -> CallAnswer:
        """Send a request for the system itself, whose answer need not repeat a request id.

        :raises EndpointError: if the connection breaks, or the answer is too long.
        """
        self.begin(request)
        await self.send_request()
        head = await self._receive_any_head()
        self.on_head(head)
        return CallAnswer(head.status, await self.receive_body())

    def retire(self) -> None:
        """Keep the connection from being used again."""
        self._progress = _Progress()

    async def receive_head(self) -> AnswerHead:
        """Return the head of the answer to the current request.

        Answers that carry another request's id are late answers to earlier requests; they are
        skipped.

        :raises EndpointError: if the connection breaks, or the endpoint sends no valid answer.
        """
        for _ in range(MAX_MISMATCHED_ANSWERS + 1):
            head = await self._receive_any_head()
            if self._request is not None and (
                find_header(head.headers, self._request_id_header) == self._request.request_id
            ):
                self._record_keep_alive(head)
                self.on_head(head)
                return head
            await self._skip_answer()
        raise EndpointError('only answers to other requests', step='receive head', peer=self._peer)

    async def receive_part(self) -> bytes | None:
        """Return the next part of the answer's body, or None at its end.

        :raises EndpointError: if the connection breaks before the end.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._check_end()
            self._progress.is_answer_complete = True
            # What the caller has not read yet is counted on its own connection.
            self.held.release()
            return None
        raise EndpointError(f'unexpected {event!r} in a body', step='receive body', peer=self._peer)

    async def receive_body(self) -> bytes:
        """Return the rest of the answer's body.

        :raises EndpointError: if the connection breaks before the end, or the body is longer than
            :data:`MAX_WHOLE_BODY_BYTES`.
        """
        parts: list[bytes] = []
        size = 0
        part = await self.receive_part()
        while part is not None:
            size += len(part)
            if size > MAX_WHOLE_BODY_BYTES:
                raise EndpointError('the body is too long', step='receive body', peer=self._peer)
            parts.append(part)
            part = await self.receive_part()
        return b''.join(parts)

    async def discard_body(self) -> None:
        """Read the rest of a body that nobody needs, so that the connection can be used again.

        A long or slow body is not read to its end; the connection is then closed.

        :raises EndpointError: if the connection breaks before the end.
        """
        size = 0
        with trio.move_on_after(DISCARD_TIMEOUT_S):
            part = await self.receive_part()
            while part is not None and size <= MAX_WHOLE_BODY_BYTES:
                size += len(part)
                part = await self.receive_part()

    def close(self) -> None:
        """Close the connection at once, discarding unsent data."""
        self.held.release()
        if isinstance(self._stream, trio.SocketStream):
            self._stream.socket.close()

    def _check_end(self) -> None:
        """Check that an end which only the connection marks is not the trace of a reset.

        :raises EndpointError: if the request could not be sent whole, or the connection was reset.
        """
        if not self._progress.ends_with_connection:
            return
        is_broken = self._progress.has_send_failed
        if isinstance(self._stream, trio.SocketStream):
            is_broken = is_broken or not is_closed_in_order(self._stream.socket)
        if is_broken:
            raise EndpointError(
                'the connection broke while the request was sent',
                step='receive body',
                peer=self._peer,
            )

    def _encode(self, request: OutgoingRequest) -> tuple[bytes, ...]:
        head = h11.Request(
            method=request.method, target=request.target, headers=list(request.headers)
        )
        parts = [self._protocol.send(head) or b'']
        if request.body:
            parts.extend(
                self._protocol.send_with_data_passthrough(h11.Data(data=request.body)) or ()
            )
        parts.append(self._protocol.send(h11.EndOfMessage()) or b'')
        if len(request.body) <= MAX_JOINED_BODY_BYTES:
            return (b''.join(parts),)
        return tuple(part for part in parts if part)

    async def _receive_any_head(self) -> AnswerHead:
        event = await self._next_event()
        for _ in range(MAX_INTERIM_ANSWERS):
            if not isinstance(event, h11.InformationalResponse):
                break
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise EndpointError(
                f'unexpected {event!r} instead of a head', step='receive head', peer=self._peer
            )
        headers = tuple((bytes(name), bytes(text)) for name, text in event.headers)
        head = AnswerHead(event.status_code, drop_ignored_length(headers))
        is_empty = head.status in EMPTY_STATUSES or (
            self._request is not None and self._request.method == b'HEAD'
        )
        self._progress.ends_with_connection = not (is_empty or head.has_length)
        return head

    async def _skip_answer(self) -> None:
        """Read an answer to another request to its end, and prepare for the next head.

        :raises EndpointError: if the connection breaks, or the answer is too long.
        """
        await self.receive_body()
        self._progress.is_answer_complete = False
        trailing, is_closed = self._protocol.trailing_data
        request = self._request
        if is_closed or request is None or self._protocol.their_state is not h11.DONE:
            raise EndpointError(
                'connection ended after an answer to another request', step='skip', peer=self._peer
            )
        self._protocol = _new_protocol()
        self._protocol.send(
            h11.Request(method=request.method, target=b'/', headers=list(_SKIP_HEADERS))
        )
        self._protocol.send(h11.EndOfMessage())
        if trailing:
            self._protocol.receive_data(trailing)

    async def _next_event(self) -> object:
        try:
            event = self._protocol.next_event()
            while event is h11.NEED_DATA:
                self._protocol.receive_data(await self._receive_some())
                event = self._protocol.next_event()
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError) as error:
            raise self._error('receive', error) from error
        return event

    async def _receive_some(self) -> bytes:
        self.is_receiving = True
        try:
            content = bytes(await self._stream.receive_some(self.held.budget.read_bytes))
        finally:
            self.is_receiving = False
        self.received_at = trio.current_time()
        return content

    def _record_keep_alive(self, head: AnswerHead) -> None:
        header = find_header(head.headers, b'keep-alive') or b''
        for part in header.split(b','):
            name, _, text = part.strip().partition(b'=')
            seconds = parse_count(text, MAX_KEEP_ALIVE_S)
            if name.lower() == b'timeout' and seconds is not None:
                self.keep_alive_s = max(0, seconds - KEEP_ALIVE_MARGIN_S)

    def _has_input(self) -> bool:
        """Return whether the endpoint closed an idle connection or sent unsolicited data."""
        if not isinstance(self._stream, trio.SocketStream):
            return False
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLIN | select.POLLHUP)
        return bool(poll.poll(0))

    def _error(self, step: str, error: Exception) -> EndpointError:
        return EndpointError(f'connection broke: {error!r}', step=step, peer=self._peer)


def _ignore_head(_: AnswerHead) -> None:
    """Record nothing."""


_SKIP_HEADERS = ((b'host', b'skipped'),)


def _new_protocol() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_ANSWER_HEAD_BYTES)
