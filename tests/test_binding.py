"""Tests of binding while a port is in use."""

from __future__ import annotations

import errno
import socket

import pytest
import trio
import trio.testing

from shallotmux.binding import BIND_TIMEOUT_S, bind_when_free
from shallotmux.forwarding import HttpListener, Reply
from shallotmux.forwarding._messages import CallerRequest
from shallotmux.transport import GrpcPeerNetwork, SelfNamedAddresses

ADDRESS = '127.0.0.1:9'


class Port:
    """Fails a number of times with an error."""

    def __init__(self, failures: int, number: int) -> None:
        self.failures = failures
        self.number = number

    async def bind(self) -> str:
        """Bind."""
        await trio.lowlevel.checkpoint()
        if self.failures:
            self.failures -= 1
            raise OSError(self.number, 'failed')
        return 'bound'


@pytest.mark.parametrize('number', (errno.EADDRINUSE, errno.EADDRNOTAVAIL))
async def test_port_that_becomes_free_is_bound(
    autojump_clock: trio.testing.MockClock, number: int
) -> None:
    """Guards against a process that ends as the one before it still holds the port."""
    assert await bind_when_free(ADDRESS, Port(3, number).bind) == 'bound'


async def test_port_that_stays_in_use_is_given_up(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a process that waits for ever and says nothing."""
    with pytest.raises(OSError, match='failed'):
        await bind_when_free(ADDRESS, Port(10_000, errno.EADDRINUSE).bind)
    assert trio.current_time() >= BIND_TIMEOUT_S


async def test_other_error_is_not_repeated(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a wait for what does not change, such as a port without permission."""
    port = Port(2, errno.EACCES)
    with pytest.raises(OSError, match='failed'):
        await bind_when_free(ADDRESS, port.bind)
    assert port.failures == 1


async def _answer(request: CallerRequest, reply: Reply) -> None:
    """Answer nothing."""


class NoHandler:
    """Handles no messages of peers."""


@pytest.mark.parametrize('kind', ('listener', 'peers'))
async def test_listeners_wait_for_their_port(kind: str) -> None:
    """Guards against a start that fails while the process before it exits (EADDRINUSE)."""
    holder = socket.create_server(('127.0.0.1', 0))
    address = f'127.0.0.1:{holder.getsockname()[1]}'
    network = GrpcPeerNetwork(address, address, SelfNamedAddresses(), None)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_release_later, holder)
        with trio.fail_after(4):
            if kind == 'listener':
                bound = await nursery.start(HttpListener(address, _answer).run)
            else:
                bound = await nursery.start(network.run, NoHandler())
        nursery.cancel_scope.cancel()
    assert bound == address


async def _release_later(holder: socket.socket) -> None:
    await trio.sleep(0.3)
    holder.close()
