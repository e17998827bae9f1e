"""Tests of calls over a kept stream."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest
import trio

from shallotmux.errors import OutcomeUnknown
from shallotmux.transport import (
    ForwardAnswer,
    GrpcPeerNetwork,
    PeerEnvelope,
    SelfNamedAddresses,
    _grpc,
)

CLIENT, SERVER = '127.77.6.1:17791', '127.77.6.2:17791'


class Handler:
    """Answers calls, after a delay that the command names."""

    def __init__(self) -> None:
        self.calls = 0

    def receive(self, envelope: PeerEnvelope) -> None:
        """Ignore envelopes."""

    async def handle_forward(self, group: str, command: bytes) -> ForwardAnswer:
        """Return the command twice."""
        self.calls += 1
        if command == b'fault':
            raise ValueError('fault')
        if command.startswith(b'wait'):
            await trio.sleep(float(command.removeprefix(b'wait')))
        return ForwardAnswer(command + command)


@asynccontextmanager
async def run_networks() -> AsyncIterator[tuple[GrpcPeerNetwork, trio.CancelScope, Handler]]:
    """Run a client that streams its polls, and a server."""
    handler = Handler()
    client = GrpcPeerNetwork(CLIENT, CLIENT, SelfNamedAddresses(), None, streamed=('polls',))
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            scope = await nursery.start(run_server, handler)
            await nursery.start(client.run, handler)
            yield client, scope, handler
            nursery.cancel_scope.cancel()


async def run_server(
    handler: Handler, *, task_status: trio.TaskStatus[trio.CancelScope] = trio.TASK_STATUS_IGNORED
) -> None:
    """Run a server until the scope that is passed to the caller is cancelled."""
    server = GrpcPeerNetwork(SERVER, SERVER, SelfNamedAddresses(), None)
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as nursery:
            await nursery.start(server.run, handler)
            task_status.started(scope)


async def open_stream(client: GrpcPeerNetwork) -> None:
    """Make calls until there is a stream."""
    while client.link(SERVER).calls.stream() is None:
        await client.forward(SERVER, 'polls', b'1', 5)
        await trio.sleep(0.01)


async def test_calls_use_the_stream_once_it_is_open() -> None:
    """Guards against answers that reach another call, and large ones that are cut."""
    async with run_networks() as (client, _, _):
        await open_stream(client)
        answers: dict[bytes, bytes] = {}

        async def call(command: bytes) -> None:
            answers[command] = (await client.forward(SERVER, 'polls', command, 10)).result

        commands = [b'wait0.2', b'wait0.1', b'x' * 500_000, b'y' * 300_000, b'']
        async with trio.open_nursery() as nursery:
            for command in commands:
                nursery.start_soon(call, command)
        assert answers == {command: command + command for command in commands}
        assert client.link(SERVER).calls.stream() is not None


async def test_other_groups_use_no_stream() -> None:
    """Guards against calls of the control group behind many polls."""
    async with run_networks() as (client, _, _):
        await client.forward(SERVER, 'other', b'1', 5)
        await trio.sleep(0.1)
        assert client.link(SERVER).calls.stream() is None


async def test_late_answer_ends_the_call_and_the_connection_is_replaced() -> None:
    """Guards against a dead connection that is kept, and a late answer for a later call."""
    async with run_networks() as (client, _, _):
        await open_stream(client)
        with pytest.raises(OutcomeUnknown):
            await client.forward(SERVER, 'polls', b'wait0.4', 0.1)
        assert client.link(SERVER).calls.stream() is None
        assert (await client.forward(SERVER, 'polls', b'2', 5)).result == b'22'
        await open_stream(client)


async def test_call_ends_with_the_server_and_the_next_server_is_found() -> None:
    """Guards against a poll that waits for its time limit after the stream has ended."""
    async with run_networks() as (client, scope, handler):
        await open_stream(client)
        async with trio.open_nursery() as nursery:

            async def call() -> None:
                with pytest.raises(OutcomeUnknown):
                    await client.forward(SERVER, 'polls', b'wait15', 15)

            nursery.start_soon(call)
            await trio.sleep(0.1)
            began_at = trio.current_time()
            scope.cancel()
        assert trio.current_time() - began_at < 10
        async with trio.open_nursery() as nursery:
            await nursery.start(run_server, handler)
            await open_stream(client)
            assert (await client.forward(SERVER, 'polls', b'2', 5)).result == b'22'
            nursery.cancel_scope.cancel()


async def test_fault_of_the_handler_ends_one_call_alone() -> None:
    """Guards against one odd poll that ends the process or the polls of others."""
    async with run_networks() as (client, _, _):
        await open_stream(client)
        with pytest.raises(OutcomeUnknown):
            await client.forward(SERVER, 'polls', b'fault', 0.2)
        assert (await client.forward(SERVER, 'polls', b'2', 5)).result == b'22'


async def test_server_of_the_earlier_build_gets_single_calls(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against polls that fail, or a stream that is asked for again and again."""
    opened: list[str] = []

    async def exchange(self: Any, stream: Any) -> None:
        name = self._network.identify(stream)
        opened.append(name)
        await stream.send_initial_metadata()
        try:
            await self._network.link(name).run_stream(stream)
        finally:
            stream.peer._transport.close()  # noqa: SLF001

    monkeypatch.setattr(_grpc._PeerService, 'Exchange', exchange)  # noqa: SLF001
    async with run_networks() as (client, _, handler):
        failures = 0
        for _ in range(20):
            try:
                await client.forward(SERVER, 'polls', b'1', 5)
            except OutcomeUnknown:
                failures += 1
            await trio.sleep(0.02)
        assert opened == [CLIENT]
        assert handler.calls == 20 - failures
        assert failures <= 1
