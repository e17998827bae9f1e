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

#: Default of the longest wait for open requests at shutdown, in seconds.
GRACEFUL_TIMEOUT_S = 600.0
KEEP_ALIVE_TIMEOUT_S = 75.0
MAX_HEADER_BYTES = 32_768

#: Seconds without an open request after which a server that stops ends its connections.
IDLE_END_S = 1.0
IDLE_CHECK_S = 0.1


@dataclass(frozen=True, slots=True)
class Listener:
    """Where and how an application is served.

    :param bind: IP address and port; port 0 lets the system choose.
    :param certificate: certificate for TLS, or None for plain HTTP.
    :param header_bytes: largest head of a request.
    :param keep_alive_s: idle time after which a connection is closed.
    :param drain_s: longest wait for open requests after ``shutdown``.
    """

    bind: str
    certificate: Certificate | None = None
    header_bytes: int = MAX_HEADER_BYTES
    keep_alive_s: float = KEEP_ALIVE_TIMEOUT_S
    drain_s: float = GRACEFUL_TIMEOUT_S

    def config(self) -> ServerConfig:
        """Return the configuration of the server.

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
            config.source = self.certificate
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
    """Serve an application until ``shutdown`` returns, then finish the open requests.

    :param task_status: is given the address and port that were bound.
    """
    config = listener.config()
    context = WorkerContext(None)
    requests = OpenRequests(DirectApp(app))
    wrapped = ASGIWrapper(requests)  # type: ignore[arg-type]
    handler: Any = partial(ServerConnection, wrapped, config, context, ConnectionState({}))
    opened, address = _open_listeners(config)
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
        connections.start_soon(_end_connections, requests, connections.cancel_scope)


class OpenRequests:
    """Counts the requests that an application has in progress."""

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


async def _end_connections(requests: OpenRequests, scope: trio.CancelScope) -> None:
    """End the connections once no request has been open for a while.

    The server closes idle connections by itself, but now and then the task of one that its caller
    had closed stayed for ever and held up the shutdown.
    """
    idle_s = 0.0
    while idle_s < IDLE_END_S:
        await trio.sleep(IDLE_CHECK_S)
        idle_s = 0.0 if requests.count else idle_s + IDLE_CHECK_S
    scope.cancel()


def _open_listeners(config: ServerConfig) -> tuple[list[trio.abc.Listener[Any]], str]:
    """Return the listeners and the address that was bound."""
    sockets = config.create_sockets()
    context = config.create_ssl_context()
    opened: list[trio.abc.Listener[Any]] = []
    address = ''
    for each in (*sockets.secure_sockets, *sockets.insecure_sockets):
        each.listen(config.backlog)
        address = _show_address(each.getsockname())
        plain = trio.SocketListener(trio.socket.from_stdlib_socket(each))
        secure = (
            None if context is None else trio.SSLListener(plain, context, https_compatible=True)
        )
        opened.append(secure or plain)
    return opened, address


def _show_address(name: tuple[Any, ...]) -> str:
    host, port = name[:2]
    return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'
