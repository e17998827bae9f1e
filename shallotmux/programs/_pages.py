"""HTTP pages for the load balancer, monitoring and operators."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import trio
from eliot import log_message
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

from shallotmux.control import DocumentService
from shallotmux.errors import DocumentInvalid, ShallotmuxError
from shallotmux.forwarding import CallerRequest, Headers, Reply, send_response

TEXT_TYPE = 'text/plain; charset=utf-8'
JSON_TYPE = 'application/json'

#: Value of ``Retry-After`` in responses to operators while there is no leader.
RETRY_AFTER_S = 0.3

#: Reads of the document at a time. Each holds a copy of up to 4 MiB.
MAX_DOCUMENT_READS = 4


async def send_page(
    reply: Reply, status: int, content: bytes, content_type: str, extra: Headers = ()
) -> None:
    """Send a complete response."""
    headers = ((b'content-type', content_type.encode()), *extra)
    await send_response(reply, status, content, headers)


@dataclass(frozen=True, slots=True)
class ReadinessPage:
    """Tells the load balancer whether this instance accepts new connections.

    :param reasons: returns why it does not; empty when it does.
    """

    reasons: Callable[[], tuple[str, ...]]

    async def handle(self, request: CallerRequest, reply: Reply) -> None:
        """Answer any request."""
        reasons = self.reasons()
        content = ', '.join(reasons) or 'ready'
        await send_page(reply, 503 if reasons else 200, f'{content}\n'.encode(), TEXT_TYPE)


@dataclass(frozen=True, slots=True)
class MetricsPage:
    """Serves the metrics of a registry."""

    registry: CollectorRegistry

    async def handle(self, request: CallerRequest, reply: Reply) -> None:
        """Answer any request."""
        await send_page(reply, 200, generate_latest(self.registry), CONTENT_TYPE_LATEST)


@dataclass(frozen=True, slots=True)
class DocumentPage:
    """Accepts and returns the configuration document.

    :param put_path: path of ``POST`` with a document.
    :param get_path: path of ``GET``.
    """

    documents: DocumentService
    put_path: str
    get_path: str
    _reads: trio.CapacityLimiter = field(
        default_factory=lambda: trio.CapacityLimiter(MAX_DOCUMENT_READS)
    )
    #: The document that was read last, which responses in progress share.
    _shared: list[bytes] = field(default_factory=lambda: [b''])

    async def handle(self, request: CallerRequest, reply: Reply) -> None:
        """Handle one request of an operator."""
        match (request.method, request.path):
            case (b'POST', path) if path == self.put_path:
                await self._put(request, reply)
            case (b'GET', path) if path == self.get_path:
                await self._get(reply)
            case _:
                await send_page(reply, 404, b'no such path\n', TEXT_TYPE)

    async def _put(self, request: CallerRequest, reply: Reply) -> None:
        try:
            await self.documents.put(request.body)
        except DocumentInvalid as error:
            log_message(message_type='shallotmux:document-refused', reason=str(error))
            await send_page(reply, 400, f'{error}\n'.encode(), TEXT_TYPE)
        except ShallotmuxError as error:
            await _send_unavailable(reply, error)
        else:
            await send_page(reply, 200, b'{}', JSON_TYPE)

    async def _get(self, reply: Reply) -> None:
        try:
            content = await self._read()
        except ShallotmuxError as error:
            await _send_unavailable(reply, error)
            return
        if content:
            await send_page(reply, 200, content, JSON_TYPE)
        else:
            await send_page(reply, 503, b'no document yet\n', TEXT_TYPE)

    async def _read(self) -> bytes:
        """Return the document; each read makes a copy, of which one is kept."""
        async with self._reads:
            content = await self.documents.read()
            if content != self._shared[0]:
                self._shared[0] = content
            return self._shared[0]


async def _send_unavailable(reply: Reply, error: ShallotmuxError) -> None:
    log_message(message_type='shallotmux:document-unavailable', reason=str(error))
    retry = ((b'retry-after', str(RETRY_AFTER_S).encode()),)
    await send_page(reply, 503, f'{error}\n'.encode(), TEXT_TYPE, retry)
