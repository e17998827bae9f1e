"""Bind listening sockets while their ports may still be in use."""

from __future__ import annotations

import errno
from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio
from eliot import log_message

__all__ = ('bind_when_free',)

#: Time for which a bind is repeated. A process of the same instance that still exits holds its ports
#: for about as long; a stop signal has to be obeyed within the grace period all the same.
BIND_TIMEOUT_S = 5.0
BIND_INTERVAL_S = 0.1

#: Errors that end by themselves: the port is in use, or the address is not configured yet.
TRANSIENT_ERRNOS = frozenset((errno.EADDRINUSE, errno.EADDRNOTAVAIL))

Bound = TypeVar('Bound')


async def bind_when_free(
    address: str, bind: Callable[[], Awaitable[Bound]], timeout_s: float = BIND_TIMEOUT_S
) -> Bound:
    """Bind, and repeat that for a time while the address cannot be used.

    :param address: IP address and port, for the log.
    :raises OSError: if the address cannot be used in time, or for any other error.
    """
    deadline = trio.current_time() + timeout_s
    is_logged = False
    while True:
        try:
            return await bind()
        except OSError as error:
            if error.errno not in TRANSIENT_ERRNOS or trio.current_time() >= deadline:
                raise
            if not is_logged:
                log_message(
                    message_type='shallotmux:port-in-use',
                    level='warning',
                    address=address,
                    error=repr(error),
                )
            is_logged = True
        await trio.sleep(BIND_INTERVAL_S)
