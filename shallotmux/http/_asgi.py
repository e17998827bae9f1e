"""Helpers for ASGI applications that read request bodies and send responses."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable, MutableMapping
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec

from shallotmux.errors import CallerError

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
AsgiApp = Callable[[Scope, Receive, Send], Awaitable[None]]
Headers = Iterable[tuple[bytes, bytes]]

#: Key of the ASGI scope that holds the :class:`PartWriter` of the response, if there is one.
WRITER_KEY = 'shallotmux.writer'

JSON_TYPE = 'application/json'
EVENT_STREAM_TYPE = 'text/event-stream; charset=utf-8'


class PartWriter(Protocol):
    """Writes parts of a streamed response from any task, without waiting."""

    @property
    def blocked(self) -> bool:
        """Return whether the remainder of a part is buffered until the next message."""

    def write_now(self, part: bytes) -> bool:
        """Write a part without waiting.

        :returns: whether the part was accepted; it is then sent before any later message.
        """


@dataclass(frozen=True, slots=True)
class ErrorBody:
    """An error in the format that client libraries of the caller protocol expect.

    :param not_run: whether the request certainly did not run.
    :param retry_after_s: seconds after which a retry may succeed, or None.
    """

    status: int
    code: str
    message: str
    type: str = 'invalid_request_error'
    param: str | None = None
    not_run: bool = False
    retry_after_s: int | None = None

    def encode(self) -> bytes:
        """Return the error as a JSON body."""
        return msgspec.json.encode(
            {
                'error': {
                    'message': self.message,
                    'type': self.type,
                    'code': self.code,
                    'param': self.param,
                    'not_run': self.not_run,
                },
            },
        )


def find_header(scope: Scope, name: bytes) -> str | None:
    """Return a request header decoded as Latin-1, or None.

    :param name: header name in lower case.
    """
    for key, content in scope['headers']:
        if key.lower() == name:
            return str(content, 'latin-1')
    return None


async def read_body(receive: Receive, limit_bytes: int) -> bytes:
    """Read a complete request body.

    :param limit_bytes: maximum size of the body.
    :raises CallerError: if the body exceeds the limit or the caller disconnects.
    """
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise CallerError('caller disconnected', status=499, code='disconnected')
        chunk = message.get('body', b'')
        size += len(chunk)
        if size > limit_bytes:
            raise CallerError(
                f'body exceeds {limit_bytes} bytes', status=413, code='body_too_large'
            )
        chunks.append(chunk)
        if not message.get('more_body', False):
            return b''.join(chunks)


async def send_start(send: Send, status: int, content_type: str, headers: Headers = ()) -> None:
    """Send the status and headers of a response."""
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [(b'content-type', content_type.encode()), *headers],
        },
    )


async def send_chunk(send: Send, body: bytes, *, more: bool = True) -> None:
    """Send a part of a response body.

    :param more: whether further parts follow.
    """
    await send({'type': 'http.response.body', 'body': body, 'more_body': more})


async def send_response(
    send: Send,
    status: int,
    body: bytes,
    content_type: str = JSON_TYPE,
    headers: Headers = (),
) -> None:
    """Send a complete response."""
    await send_start(
        send, status, content_type, ((b'content-length', str(len(body)).encode()), *headers)
    )
    await send_chunk(send, body, more=False)


async def send_json(send: Send, status: int, content: object, headers: Headers = ()) -> None:
    """Send a complete JSON response."""
    await send_response(send, status, msgspec.json.encode(content), JSON_TYPE, headers)


async def send_error(send: Send, error: ErrorBody) -> None:
    """Send an error response, with ``Retry-After`` if the delay is known."""
    headers: list[tuple[bytes, bytes]] = []
    if error.retry_after_s is not None:
        headers.append((b'retry-after', str(error.retry_after_s).encode()))
    await send_response(send, error.status, error.encode(), JSON_TYPE, headers)
