"""Serve ASGI applications with hypercorn on trio."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from shallotmux.http._asgi import AsgiApp, Receive, Scope, Send

#: Seconds that hypercorn itself waits for open requests; longer than any drain of the daemon.
GRACEFUL_TIMEOUT_S = 600.0
KEEP_ALIVE_TIMEOUT_S = 75.0
MAX_HEADER_BYTES = 32_768


@dataclass(frozen=True, slots=True)
class Listener:
    """Where and how an application is served.

    :param bind: IP address and port; port 0 lets the system choose.
    :param certificate: path of the certificate chain, or empty for plain HTTP.
    :param private_key: path of the private key.
    """

    bind: str
    certificate: str = ''
    private_key: str = ''


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
    config = Config()
    config.bind = [listener.bind]
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    if listener.certificate:
        config.certfile = listener.certificate
        config.keyfile = listener.private_key
    async with trio.open_nursery() as nursery:
        bound = await nursery.start(_serve, app, config, shutdown)
        task_status.started(bound[0].split('://')[-1])


async def _serve(
    app: AsgiApp,
    config: Config,
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
