"""Serve ASGI applications with hypercorn on trio."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState

from shallotmux.http._asgi import AsgiApp, Receive, Scope, Send
from shallotmux.http._connection import DirectApp, ServerConnection
from shallotmux.http._tls import Certificate, ServerConfig
from shallotmux.membounds import BoundedListener, ConnectionSlots

#: Default timeout for the completion of open requests at shutdown.
DRAIN_TIMEOUT_S = 600.0
KEEP_ALIVE_TIMEOUT_S = 75.0

#: Default limit of the connections of a listener.
MAX_CONNECTIONS = 4096

#: Default limit of the request line and the headers of a request.
MAX_HEADER_BYTES = 32_768

#: Time without an open request after which a stopping server closes its connections.
IDLE_BEFORE_CLOSE_S = 1.0
IDLE_CHECK_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class Listener:
    """Address and options with which an application is served.

    :param bind: IP address and port; port 0 selects a free port.
    :param certificate: certificate for TLS, or None for plain HTTP.
    :param header_bytes: maximum size of the request line and headers.
    :param keep_alive_s: idle time in seconds after which a connection is closed.
    :param drain_s: timeout in seconds for the completion of open requests at shutdown.
    :param connections: maximum number of connections.
    """

    bind: str
    certificate: Certificate | None = None
    header_bytes: int = MAX_HEADER_BYTES
    keep_alive_s: float = KEEP_ALIVE_TIMEOUT_S
    drain_s: float = DRAIN_TIMEOUT_S
    connections: int = MAX_CONNECTIONS

    def config(self) -> ServerConfig:
        """Return the configuration of the hypercorn server.

        :raises SettingsError: if the certificate cannot be loaded.
        """
        config = ServerConfig()
        config.bind = [self.bind]
        config.accesslog = None
        config.errorlog = None
        config.include_server_header = False
        config.graceful_timeout = self.drain_s
        config.keep_alive_timeout = self.keep_alive_s
        config.h11_max_incomplete_size = self.header_bytes
        if self.certificate is not None:
            self.certificate.check()
            config.certificate = self.certificate
            config.certfile = self.certificate.chain
            config.keyfile = self.certificate.private_key
        return config


async def serve_app(
    app: AsgiApp,
    listener: Listener,
    shutdown: Callable[[], Awaitable[None]],
    *,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until ``shutdown`` returns, then complete the open requests.

    :param task_status: receives the bound address and port.
    """
    config = listener.config()
    context = WorkerContext(None)
    in_flight = InFlightRequests(DirectApp(app))
    wrapped = ASGIWrapper(in_flight)  # type: ignore[arg-type]
    slots = ConnectionSlots(listener.connections, listener.bind)
    handler: Any = partial(ServerConnection, slots, wrapped, config, context, ConnectionState({}))
    opened, address = _open_listeners(config, slots)
    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            await accepting.start(
                partial(trio.serve_listeners, handler, opened, handler_nursery=connections)
            )
            task_status.started(address)
            await shutdown()
            accepting.cancel_scope.cancel()
        await context.terminated.set()
        connections.cancel_scope.deadline = trio.current_time() + listener.drain_s
        connections.start_soon(_cancel_when_idle, in_flight, connections.cancel_scope)


class InFlightRequests:
    """Application wrapper that counts the requests in progress."""

    def __init__(self, app: AsgiApp) -> None:
        self._app = app
        self.count = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI connection."""
        self.count += 1
        try:
            await self._app(scope, receive, send)
        finally:
            self.count -= 1


async def _cancel_when_idle(in_flight: InFlightRequests, scope: trio.CancelScope) -> None:
    """Cancel all connections once no request has been open for :data:`IDLE_BEFORE_CLOSE_S`.

    The server closes idle connections itself, but occasionally the task of a connection that its
    caller had closed never ended and blocked the shutdown.
    """
    idle_s = 0.0
    while idle_s < IDLE_BEFORE_CLOSE_S:
        await trio.sleep(IDLE_CHECK_INTERVAL_S)
        idle_s = 0.0 if in_flight.count else idle_s + IDLE_CHECK_INTERVAL_S
    scope.cancel()


def _open_listeners(
    config: ServerConfig, slots: ConnectionSlots
) -> tuple[list[trio.abc.Listener[Any]], str]:
    """Open the sockets; return the listeners and the bound address."""
    sockets = config.create_sockets()
    context = config.create_ssl_context()
    opened: list[trio.abc.Listener[Any]] = []
    address = ''
    for each in (*sockets.secure_sockets, *sockets.insecure_sockets):
        each.listen(config.backlog)
        address = _format_address(each.getsockname())
        plain = BoundedListener(trio.SocketListener(trio.socket.from_stdlib_socket(each)), slots)
        secure = (
            None if context is None else trio.SSLListener(plain, context, https_compatible=True)
        )
        opened.append(secure or plain)
    return opened, address


def _format_address(name: tuple[Any, ...]) -> str:
    host, port = name[:2]
    return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'
