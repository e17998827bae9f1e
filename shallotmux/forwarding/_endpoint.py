"""One connection to an endpoint."""

from __future__ import annotations

import select
import socket
from dataclasses import dataclass

import h11
import trio

from shallotmux.addresses import split_address
from shallotmux.errors import EndpointError
from shallotmux.forwarding._headers import find_header
from shallotmux.forwarding._messages import AnswerHead, OutgoingRequest

#: Largest head of an endpoint's answer.
MAX_ANSWER_HEAD_BYTES = 65_536
READ_BYTES = 65_536

#: Time after which the kernel closes a connection whose peer acknowledges nothing.
USER_TIMEOUT_MS = 1500

#: Time for opening a connection. A lost opening packet is sent again after a second, by when another
#: endpoint has answered.
CONNECT_TIMEOUT_S = 0.4

#: Idle time for which a connection may be used again when the endpoint names none.
DEFAULT_KEEP_ALIVE_S = 4.0

#: Time taken off the idle time that an endpoint names, for the way of the next request.
KEEP_ALIVE_MARGIN_S = 1.0

#: Answers with another request's id that are passed over before a connection counts as broken.
MAX_FOREIGN_ANSWERS = 2


class ConnectionUnusable(EndpointError):
    """No byte of a request was sent: the connection could not be opened or used."""


@dataclass(slots=True)
class _Progress:
    """How far an exchange has come.

    :param was_sent: whether any byte of the request may have left this instance.
    """

    was_sent: bool = False
    is_request_complete: bool = False
    is_answer_complete: bool = False


class EndpointConnection:
    """Exchanges one request and answer at a time with an endpoint.

    :param peer: name of the endpoint, for errors.
    """

    def __init__(self, stream: trio.abc.Stream, peer: str, request_id_header: bytes) -> None:
        self._stream = stream
        self._peer = peer
        self._request_id_header = request_id_header
        self._request: OutgoingRequest | None = None
        self._protocol = _new_protocol()
        self._progress = _Progress()
        self.idle_since = trio.current_time()
        self.keep_alive_s = DEFAULT_KEEP_ALIVE_S

    @property
    def was_sent(self) -> bool:
        """Return whether any byte of the current request may have left this instance."""
        return self._progress.was_sent

    @property
    def is_reusable(self) -> bool:
        """Return whether the next request may follow.

        That holds only after a complete, matched answer with nothing behind it.
        """
        progress = self._progress
        is_done = progress.is_request_complete and progress.is_answer_complete
        states = (self._protocol.our_state, self._protocol.their_state)
        has_rest = bool(self._protocol.trailing_data[0])
        return is_done and states == (h11.DONE, h11.DONE) and not has_rest

    def is_alive(self, now: float) -> bool:
        """Return whether an idle connection may still be used."""
        return now - self.idle_since < self.keep_alive_s and not self._has_input()

    async def send_request(self, request: OutgoingRequest) -> None:
        """Send a request.

        :raises EndpointError: if the connection breaks.
        """
        self._begin(request)
        head = h11.Request(
            method=request.method, target=request.target, headers=list(request.headers)
        )
        content = self._protocol.send(head) or b''
        if request.body:
            content += self._protocol.send(h11.Data(data=request.body)) or b''
        content += self._protocol.send(h11.EndOfMessage()) or b''
        self._progress.was_sent = True
        try:
            await self._stream.send_all(content)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise self._error('send', error) from error
        self._progress.is_request_complete = True

    async def receive_head(self) -> AnswerHead:
        """Return the head of the answer to the current request.

        Answers that carry another request's id are late ones of earlier requests; they are passed
        over.

        :raises EndpointError: if the connection breaks or sends what is no answer.
        """
        for _ in range(MAX_FOREIGN_ANSWERS + 1):
            head = await self._receive_any_head()
            if self._request is not None and (
                find_header(head.headers, self._request_id_header) == self._request.request_id
            ):
                self._note_keep_alive(head)
                return head
            await self._skip_answer()
        raise EndpointError('answers of other requests', step='receive head', peer=self._peer)

    async def receive_part(self) -> bytes | None:
        """Return the next part of the answer's body, or None at its end.

        :raises EndpointError: if the connection breaks before the end.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._progress.is_answer_complete = True
            return None
        raise EndpointError(f'{event!r} in a body', step='receive body', peer=self._peer)

    async def receive_body(self) -> bytes:
        """Return the rest of the answer's body.

        :raises EndpointError: if the connection breaks before the end.
        """
        parts: list[bytes] = []
        part = await self.receive_part()
        while part is not None:
            parts.append(part)
            part = await self.receive_part()
        return b''.join(parts)

    def close(self) -> None:
        """Close the connection at once; what was not sent yet is dropped."""
        if isinstance(self._stream, trio.SocketStream):
            self._stream.socket.close()

    def _begin(self, request: OutgoingRequest) -> None:
        if self._request is not None:
            self._protocol.start_next_cycle()
        self._request = request
        self._progress = _Progress()

    async def _receive_any_head(self) -> AnswerHead:
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise EndpointError(f'{event!r} for a head', step='receive head', peer=self._peer)
        headers = tuple((bytes(name), bytes(text)) for name, text in event.headers)
        return AnswerHead(event.status_code, headers)

    async def _skip_answer(self) -> None:
        """Read a foreign answer to its end and await the next head."""
        event = await self._next_event()
        while not isinstance(event, h11.EndOfMessage):
            event = await self._next_event()
        rest, is_closed = self._protocol.trailing_data
        request = self._request
        if is_closed or request is None or self._protocol.their_state is not h11.DONE:
            raise EndpointError('ended after a foreign answer', step='skip', peer=self._peer)
        self._protocol = _new_protocol()
        self._protocol.send(
            h11.Request(method=request.method, target=b'/', headers=list(_SKIP_HEADERS))
        )
        self._protocol.send(h11.EndOfMessage())
        if rest:
            self._protocol.receive_data(rest)

    async def _next_event(self) -> object:
        try:
            event = self._protocol.next_event()
            while event is h11.NEED_DATA:
                self._protocol.receive_data(bytes(await self._stream.receive_some(READ_BYTES)))
                event = self._protocol.next_event()
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError) as error:
            raise self._error('receive', error) from error
        return event

    def _note_keep_alive(self, head: AnswerHead) -> None:
        text = find_header(head.headers, b'keep-alive') or b''
        for part in text.split(b','):
            name, _, seconds = part.strip().partition(b'=')
            if name.lower() == b'timeout' and seconds.isdigit():
                self.keep_alive_s = max(0, int(seconds) - KEEP_ALIVE_MARGIN_S)

    def _has_input(self) -> bool:
        """Return whether the endpoint closed an idle connection or sent what nobody asked for."""
        if not isinstance(self._stream, trio.SocketStream):
            return False
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLIN | select.POLLHUP)
        return bool(poll.poll(0))

    def _error(self, step: str, error: Exception) -> EndpointError:
        return EndpointError(f'connection broke: {error!r}', step=step, peer=self._peer)


_SKIP_HEADERS = ((b'host', b'skipped'),)


async def connect_endpoint(
    address: str, peer: str, request_id_header: bytes, timeout_s: float
) -> EndpointConnection:
    """Open a connection to an endpoint.

    :param address: IP address and port.
    :raises ConnectionUnusable: if that fails within the time.
    """
    try:
        target = split_address(address)
        with trio.fail_after(timeout_s):
            stream = await trio.open_tcp_stream(
                target.host, target.port, happy_eyeballs_delay=timeout_s
            )
    except (OSError, ValueError, trio.TooSlowError) as error:
        raise ConnectionUnusable(f'{address}: {error!r}', step='connect', peer=peer) from error
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return EndpointConnection(stream, peer, request_id_header)


def _new_protocol() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_ANSWER_HEAD_BYTES)
