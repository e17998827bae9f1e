"""Tests of errors that the event loop of the network reports without a task that awaits them."""

from __future__ import annotations

import asyncio
import errno
import gc
import socket
from collections.abc import Iterator
from typing import Any

import pytest
import trio
import trio_asyncio

from shallotmux.errors import AuthorityUnavailable, OutcomeUnknown
from shallotmux.transport import (
    ForwardAnswer,
    GrpcPeerNetwork,
    PeerEnvelope,
    SelfNamedAddresses,
)

LOOPBACK = '127.0.0.1:0'


class Echo:
    """Answers each command with itself."""

    def receive(self, envelope: PeerEnvelope) -> None:
        """Ignore an envelope."""

    async def handle_forward(self, group: str, command: bytes) -> ForwardAnswer:
        """Return a command."""
        await trio.lowlevel.checkpoint()
        return ForwardAnswer(result=command)


def make_network() -> GrpcPeerNetwork:
    return GrpcPeerNetwork(LOOPBACK, LOOPBACK, SelfNamedAddresses(), None)


@pytest.mark.parametrize('number', (errno.EMFILE, errno.ENOBUFS, errno.ENOMEM))
async def test_network_outlives_a_lack_of_resources(
    monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    """Guards against a process that ends as it has no descriptor left for one more connection."""
    failures: Iterator[OSError] = iter([OSError(number, 'no more')])
    accept = socket.socket.accept

    def fail_once(sock: socket.socket) -> Any:
        error = next(failures, None)
        if error is not None:
            raise error
        return accept(sock)

    network, peer = make_network(), make_network()
    async with trio.open_nursery() as nursery:
        await nursery.start(network.run, Echo())
        address = await nursery.start(peer.run, Echo())
        monkeypatch.setattr(socket.socket, 'accept', fail_once)
        with trio.fail_after(5):
            assert await _forward_until_answered(network, address) == b'command'
        nursery.cancel_scope.cancel()
    assert next(failures, None) is None


async def test_network_outlives_a_task_that_nobody_awaits() -> None:
    """Guards against a process that ends when the error of an abandoned task is noticed."""

    async def abandon() -> None:
        task = asyncio.ensure_future(_fail())
        await asyncio.sleep(0)
        del task  # noqa: WPS420
        gc.collect()

    network, peer = make_network(), make_network()
    async with trio.open_nursery() as nursery:
        await nursery.start(network.run, Echo())
        address = await nursery.start(peer.run, Echo())
        await trio_asyncio.aio_as_trio(abandon, loop=network._loop)()
        with trio.fail_after(5):
            assert await _forward_until_answered(network, address) == b'command'
        nursery.cancel_scope.cancel()


async def _fail() -> None:
    raise KeyError('abandoned')


async def _forward_until_answered(network: GrpcPeerNetwork, address: str) -> bytes:
    while True:
        try:
            return (await network.forward(address, 'group', b'command', 2)).result
        except (AuthorityUnavailable, OutcomeUnknown):
            await trio.sleep(0.1)
