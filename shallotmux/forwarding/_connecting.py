"""Open connections to endpoints."""

from __future__ import annotations

import errno
import socket

import trio

from shallotmux.addresses import split_address
from shallotmux.forwarding._endpoint import (
    ConnectionUnusable,
    EndpointConnection,
    LocalResourcesSpent,
)

#: ``TCP_USER_TIMEOUT``: the kernel closes a connection whose sent data, or keep-alive probes, stay
#: unacknowledged so long. Sound endpoints may be silent for up to two seconds.
USER_TIMEOUT_MS = 3000

#: Idle time of a connection before the first keep-alive probe, and interval between two. Without
#: probes, a stream that only receives would not notice that its connection is dead. How many probes
#: may be lost follows from :data:`USER_TIMEOUT_MS`.
KEEP_ALIVE_PROBE_S = 1

#: Errors of the operating system for :exc:`LocalResourcesSpent`.
LOCAL_ERRORS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
)


async def connect_endpoint(
    address: str, peer: str, request_id_header: bytes, timeout_s: float, source: str | None = None
) -> EndpointConnection:
    """Open a connection to an endpoint.

    :param address: IP address and port.
    :param source: IP address to connect from; None lets the system choose.
    :raises LocalResourcesSpent: if this instance cannot open a further connection.
    :raises ConnectionUnusable: if that fails or takes longer than ``timeout_s``.
    """
    try:
        target = split_address(address)
        with trio.fail_after(timeout_s):
            stream = await trio.open_tcp_stream(
                target.host, target.port, happy_eyeballs_delay=timeout_s, local_address=source
            )
    except (OSError, ValueError, trio.TooSlowError) as error:
        kind = LocalResourcesSpent if _is_local(error) else ConnectionUnusable
        raise kind(f'{address}: {error!r}', step='connect', peer=peer) from error
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_PROBE_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_PROBE_S)
    return EndpointConnection(stream, peer, request_id_header)


def _is_local(error: Exception) -> bool:
    """Return whether a connect failed for want of resources of this instance.

    :param error: error of the connect; the one of the operating system may be its cause.
    """
    causes = error.__cause__
    found = causes.exceptions if isinstance(causes, BaseExceptionGroup) else (causes, error)
    return any(isinstance(each, OSError) and each.errno in LOCAL_ERRORS for each in found)
