"""Tests of kept connections that the endpoint closes as they are used again."""

from __future__ import annotations

from collections.abc import Sequence

import pytest
import trio

from shallotmux.forwarding._endpoint import EndpointConnection
from tests.forwarding._harness import ReceivedRequest, ScriptedEndpoint, answer, run_forwarder

ROUNDS = 40


@pytest.mark.parametrize('path', ('/safe/', '/once/'))
async def test_end_of_a_kept_connection_is_not_read_before_the_request_is_sent(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a caller whose connection is closed without an answer.

    The tasks that send and receive start in any order, and the one that receives may find the end
    of the connection first.
    """
    ran: list[bytes] = []

    async def answer_and_close(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        ran.append(received.target)
        await stream.send_all(answer(received))
        return False

    # The connection is still open when it is taken from the pool, and closed a moment later.
    monkeypatch.setattr(EndpointConnection, 'is_alive', lambda connection, now: True)
    messages = capture_messages(monkeypatch)
    async with run_forwarder(ScriptedEndpoint(answer_and_close)) as harness:
        for number in range(ROUNDS):
            received = await harness.make_request(f'{path}{number}')
            has_run = f'{path}{number}'.encode() in ran
            assert received.status in ({200, 502} if has_run else {502, 503})
            await trio.sleep(0.005)
    assert 'shallotmux:handler-fault' not in messages
    assert len(ran) == len(set(ran))


def capture_messages(monkeypatch: pytest.MonkeyPatch) -> Sequence[str]:
    """Return the types of the messages that the listener logs."""
    kinds: list[str] = []

    def record(message_type: str, **_: object) -> None:
        kinds.append(message_type)

    monkeypatch.setattr('shallotmux.forwarding._caller_connection.log_message', record)
    return kinds
