"""Serve ASGI applications with hypercorn on trio."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio
from hypercorn.trio import serve

from shallotmux.http._asgi import AsgiApp, Receive, Scope, Send
from shallotmux.http._tls import Certificate, ServerConfig

#: Default of the longest wait for open requests at shutdown, in seconds.
GRACEFUL_TIMEOUT_S = 600.0
KEEP_ALIVE_TIMEOUT_S = 75.0
MAX_HEADER_BYTES = 32_768


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


async def serve_app(
    app: AsgiApp,
    listener: Listener,
    shutdown: Callable[[], Awaitable[None]],
    *,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until ``shutdown`` returns.

    :param task_status: is given the address and port that were bound.
    """
    config = ServerConfig()
    config.bind = [listener.bind]
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.graceful_timeout = listener.drain_s
    config.keep_alive_timeout = listener.keep_alive_s
    config.h11_max_incomplete_size = listener.header_bytes
    if listener.certificate is not None:
        listener.certificate.check()
        config.source = listener.certificate
        config.certfile = listener.certificate.chain
        config.keyfile = listener.certificate.private_key
    async with trio.open_nursery() as nursery:
        bound = await nursery.start(_serve, app, config, shutdown)
        task_status.started(bound[0].split('://')[-1])


async def _serve(
    app: AsgiApp,
    config: ServerConfig,
    shutdown: Callable[[], Awaitable[None]],
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    await serve(
        _LifespanApp(app),  # type: ignore[arg-type]
        config,
        shutdown_trigger=shutdown,
        task_status=task_status,
        mode='asgi',
    )


@dataclass(frozen=True, slots=True)
class _LifespanApp:
    """Answers the server's lifespan messages, which the applications do not use."""

    app: AsgiApp

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Pass requests on to the application."""
        if scope['type'] != 'lifespan':
            await self.app(scope, receive, send)
            return
        phase = ''
        while phase != 'shutdown':
            phase = (await receive())['type'].rpartition('.')[2]
            await send({'type': f'lifespan.{phase}.complete'})
