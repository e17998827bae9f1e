"""HTTP server, clients and ASGI helpers shared by all interfaces."""

from __future__ import annotations

from shallotmux.calls import HttpRequest
from shallotmux.http._asgi import (
    EVENT_STREAM_TYPE,
    JSON_TYPE,
    WRITER_KEY,
    AsgiApp,
    ErrorBody,
    Message,
    PartWriter,
    Receive,
    Scope,
    Send,
    find_header,
    read_body,
    send_chunk,
    send_error,
    send_json,
    send_response,
    send_start,
)
from shallotmux.http._client import (
    HttpClient,
    HttpcoreClient,
    HttpResponse,
    fetch,
    read_response_body,
)
from shallotmux.http._multiplexing import BodyRelay, open_relay
from shallotmux.http._relay_client import RelayClient
from shallotmux.http._server import MAX_HEADER_BYTES, Listener, serve_app
from shallotmux.http._tls import Certificate

__all__ = (
    'EVENT_STREAM_TYPE',
    'JSON_TYPE',
    'MAX_HEADER_BYTES',
    'WRITER_KEY',
    'AsgiApp',
    'BodyRelay',
    'Certificate',
    'ErrorBody',
    'HttpClient',
    'HttpRequest',
    'HttpResponse',
    'HttpcoreClient',
    'Listener',
    'Message',
    'PartWriter',
    'Receive',
    'RelayClient',
    'Scope',
    'Send',
    'fetch',
    'read_response_body',
    'find_header',
    'open_relay',
    'read_body',
    'send_chunk',
    'send_error',
    'send_json',
    'send_response',
    'send_start',
    'serve_app',
)
