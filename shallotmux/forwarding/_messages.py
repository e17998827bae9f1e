"""Requests and answers as they are forwarded."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from shallotmux.forwarding._headers import Headers, find_header


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request of a caller that was read completely.

    :param target: path and query as the caller sent them.
    :param received_at: local time at which the head was complete.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at: float

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition(b'?')[0].decode('latin-1')

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return find_header(self.headers, name)

    def text(self, name: bytes) -> str:
        """Return the first value of a header as text, empty if there is none."""
        return (self.header(name) or b'').decode('latin-1')


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request to an endpoint."""

    request_id: bytes
    method: bytes
    target: bytes
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an endpoint's answer."""

    status: int
    headers: Headers

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return find_header(self.headers, name)

    @property
    def has_length(self) -> bool:
        """Return whether the end of the body is marked, not only by the end of the connection."""
        framing = (b'content-length', b'transfer-encoding')
        return any(self.header(name) is not None for name in framing)


class Reply(Protocol):
    """Receiver of the answer to one request."""

    @property
    def is_started(self) -> bool:
        """Return whether the head was sent."""

    async def send_head(self, status: int, headers: Headers) -> None:
        """Send status and headers."""

    async def send_part(self, content: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """End the body as complete."""

    def abort(self) -> None:
        """Close the connection, so that the caller sees the answer as incomplete."""


async def send_response(reply: Reply, status: int, content: bytes, headers: Headers = ()) -> None:
    """Send a complete answer with its ``Content-Length``."""
    length = str(len(content)).encode()
    await reply.send_head(status, ((b'content-length', length), *headers))
    await reply.send_part(content)
    await reply.finish()
