"""End-to-end checks with real processes, in their smallest size."""

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
    INSTANCE_NAMES,
    CheckResult,
    Cluster,
    chat_body,
    check_configuration,
    check_keys,
    check_kill,
    check_leader,
    check_restart,
    check_shutdown,
    start_cluster,
)
from shallotmux.standins import prompt_key, token_text

#: Timeout of a check that hangs.
TEST_TIMEOUT_S = 80
STREAM_TOKENS = 200
PROMPT = 'Sort lot 7.'
Check = Callable[[Cluster, int], Awaitable[CheckResult]]


@pytest.mark.parametrize(
    'checks',
    [
        (check_shutdown,),
        (check_kill, check_leader),
        (check_keys, check_configuration, partial(check_restart, change_count=5)),
    ],
    ids=['shutdown', 'kill', 'changes'],
)
async def test_checks_find_no_violation(checks: tuple[Check, ...], tmp_path: Path) -> None:
    """Guards against violations that occur only between real processes."""
    with trio.fail_after(TEST_TIMEOUT_S):
        async with start_cluster(tmp_path) as cluster:
            results = [await check(cluster, 1) for check in checks]
    violations = [each for result in results for each in result.violations]
    assert not violations


def read_until_broken(address: str, secret: str, on_started: Callable[[], None]) -> list[object]:
    """Read a stream until its connection breaks; runs in a thread."""
    chunks: list[object] = []
    body = chat_body(PROMPT, STREAM_TOKENS)
    with OpenAI(base_url=f'http://{address}/v1', api_key=secret, max_retries=0) as client:
        with pytest.raises(openai.OpenAIError):
            for chunk in client.chat.completions.create(**body):
                chunks.append(chunk)
                if len(chunks) == 3:
                    on_started()
    return chunks


def resume_stream(address: str, secret: str, response_id: str, offset: int) -> list[object]:
    """Resume a stream and read the remaining chunks; runs in a thread."""
    headers = {'shallotmux-response-id': response_id, 'last-event-id': str(offset)}
    body = chat_body(PROMPT, STREAM_TOKENS)
    with OpenAI(base_url=f'http://{address}/v1', api_key=secret, max_retries=0) as client:
        return list(client.chat.completions.create(**body, extra_headers=headers))


async def test_openai_client_resumes_after_kill(tmp_path: Path) -> None:
    """Guards against lost or repeated tokens when a client resumes through another instance."""
    killed_name, surviving_name = INSTANCE_NAMES[2], INSTANCE_NAMES[0]
    stream_started = trio.Event()
    chunks: list = []
    with trio.fail_after(TEST_TIMEOUT_S):
        async with start_cluster(tmp_path) as cluster:

            async def read() -> None:
                address = cluster.daemons[killed_name].callers
                chunks.extend(
                    await trio.to_thread.run_sync(
                        read_until_broken,
                        address,
                        cluster.secret,
                        lambda: trio.from_thread.run_sync(stream_started.set),
                    )
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(read)
                await stream_started.wait()
                await cluster.stop(killed_name, signal.SIGKILL)
            assert 0 < len(chunks) < STREAM_TOKENS
            address = cluster.daemons[surviving_name].callers
            chunks += await trio.to_thread.run_sync(
                resume_stream, address, cluster.secret, chunks[0].id, len(chunks)
            )
    key = prompt_key(chat_body(PROMPT, STREAM_TOKENS))
    text = ''.join(each.choices[0].delta.content for each in chunks)
    assert text == ''.join(token_text(key, position) for position in range(STREAM_TOKENS))
