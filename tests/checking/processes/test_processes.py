"""The smallest form of each check with real processes."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

import openai
import pytest
import trio
from openai import OpenAI

from shallotmux.checking.processes import (
    NAMES,
    Fleet,
    Row,
    chat_body,
    check_configuration,
    check_keys,
    check_kill,
    check_leader,
    check_restart,
    check_shutdown,
    start_fleet,
)
from shallotmux.standins import prompt_key, token_text

#: Bound on a check that hangs; no test waits for it to pass.
HANG_S = 80
TOKENS = 200
PROMPT = 'Sort lot 7.'
Check = Callable[[Fleet, int], Awaitable[Row]]


@pytest.mark.parametrize(
    'checks',
    [
        (check_shutdown,),
        (check_kill, check_leader),
        (check_keys, check_configuration, partial(check_restart, changes=5)),
    ],
    ids=['shutdown', 'kill', 'changes'],
)
async def test_checks_find_no_violation(checks: tuple[Check, ...], tmp_path: Path) -> None:
    """Guards against violations that appear only between real processes."""
    with trio.fail_after(HANG_S):
        async with start_fleet(tmp_path) as fleet:
            rows = [await check(fleet, 1) for check in checks]
    violations = [each for row in rows for each in row.violations]
    assert not violations


def read_until_broken(address: str, secret: str, started: Callable[[], None]) -> list[object]:
    """Read a stream until its connection breaks; runs in a thread."""
    chunks: list[object] = []
    body = chat_body(PROMPT, TOKENS)
    with OpenAI(base_url=f'http://{address}/v1', api_key=secret, max_retries=0) as client:
        with pytest.raises(openai.OpenAIError):
            for chunk in client.chat.completions.create(**body):
                chunks.append(chunk)
                if len(chunks) == 3:
                    started()
    return chunks


def read_rest(address: str, secret: str, response_id: str, offset: int) -> list[object]:
    """Resume a stream and read its rest; runs in a thread."""
    headers = {'shallotmux-response-id': response_id, 'last-event-id': str(offset)}
    body = chat_body(PROMPT, TOKENS)
    with OpenAI(base_url=f'http://{address}/v1', api_key=secret, max_retries=0) as client:
        return list(client.chat.completions.create(**body, extra_headers=headers))


async def test_openai_client_resumes_after_kill(tmp_path: Path) -> None:
    """Guards against tokens lost or repeated when a client goes on through another instance."""
    killed, other = NAMES[2], NAMES[0]
    started = trio.Event()
    chunks: list = []
    with trio.fail_after(HANG_S):
        async with start_fleet(tmp_path) as fleet:

            async def read() -> None:
                address = fleet.daemons[killed].callers
                chunks.extend(
                    await trio.to_thread.run_sync(
                        read_until_broken,
                        address,
                        fleet.secret,
                        lambda: trio.from_thread.run_sync(started.set),
                    )
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(read)
                await started.wait()
                await fleet.end(killed, signal.SIGKILL)
            assert 0 < len(chunks) < TOKENS
            address = fleet.daemons[other].callers
            chunks += await trio.to_thread.run_sync(
                read_rest, address, fleet.secret, chunks[0].id, len(chunks)
            )
    key = prompt_key(chat_body(PROMPT, TOKENS))
    text = ''.join(each.choices[0].delta.content for each in chunks)
    assert text == ''.join(token_text(key, position) for position in range(TOKENS))
