"""Tests of what waits in a group's driver while its disk is slow."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from uuid import uuid4

import trio
import trio.testing

from shallotmux.authority import GroupDriver, GroupState, PutDocument, encode_command
from shallotmux.authority._driver import (
    MAX_INBOX_COMMAND_BYTES,
    MAX_INBOX_MESSAGE_BYTES,
    QUEUE_FULL,
)
from shallotmux.replication import (
    AppendRequest,
    Configuration,
    Effects,
    Entry,
    EntryKind,
    Envelope,
    Replica,
    ReplicaOptions,
    bootstrap_group,
    encode_envelope,
)
from shallotmux.storage import VolatileStore
from shallotmux.transport import Channel, ForwardAnswer, PeerEnvelope, Refusal
from tests.support.log_lines import capture_lines

DOCUMENT_BYTES = 1 << 20
GROUP = 'group'


def start_driver(nursery: trio.Nursery, *, voters: tuple[str, ...] = ('v1',)) -> GroupDriver:
    """Start a driver whose disk never completes a write."""

    async def never_save(save: Callable[[Effects], None], effects: Effects) -> None:
        await trio.sleep_forever()

    configuration = Configuration(frozenset(voters), disks=frozenset(voters))
    replica = Replica(
        'v1', bootstrap_group(configuration), ReplicaOptions(), Random(1), trio.current_time()
    )
    driver = GroupDriver(
        GROUP,
        'v1',
        replica,
        GroupState(),
        VolatileStore(),
        lambda envelope: None,
        tick_s=0.05,
        run_blocking=never_save,
    )
    nursery.start_soon(driver.run)
    return driver


async def test_commands_that_wait_are_bounded_by_bytes(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against operators that fill the memory of an instance whose disk stands still."""
    driver = start_driver(nursery)
    await trio.sleep(2)
    answers: list[ForwardAnswer] = []

    async def commit() -> None:
        command = PutDocument(uuid4().hex, 1, bytes(DOCUMENT_BYTES))
        answers.append(await driver.commit(encode_command(command), 0.5))

    async with trio.open_nursery() as committing:
        for _ in range(40):
            committing.start_soon(commit)
    too_many = [each for each in answers if each.detail == 'too many commands']
    assert len(answers) - len(too_many) <= MAX_INBOX_COMMAND_BYTES // DOCUMENT_BYTES
    assert all(each.refusal is Refusal.NOT_COMMITTED for each in answers)


async def test_messages_that_wait_are_bounded_by_bytes(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a leader's messages that fill the memory of a member whose disk stands still."""
    driver = start_driver(nursery, voters=('v1', 'v2', 'v3'))
    await trio.sleep(2)
    entry = Entry(2, 2, EntryKind.COMMAND, bytes(DOCUMENT_BYTES))
    request = AppendRequest(2, 1, 1, (entry,), 1, 1, 0.0)
    payload = encode_envelope(Envelope('v2', 'v1', request))
    with capture_lines('shallotmux:message-dropped') as lines:
        for _ in range(100):
            driver.receive(PeerEnvelope(GROUP, 'v2', 'v1', Channel.REPLICATION, payload))
    assert [each['reason'] for each in lines] == [f'v2: {QUEUE_FULL}']
    assert driver.queued_message_bytes <= MAX_INBOX_MESSAGE_BYTES
    assert driver.queued_message_bytes > MAX_INBOX_MESSAGE_BYTES - 2 * len(payload)


async def test_unreadable_messages_of_a_peer_are_told(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a member of another version whose messages are all dropped silently."""
    driver = start_driver(nursery, voters=('v1', 'v2', 'v3'))
    with capture_lines('shallotmux:message-dropped') as lines:
        for _ in range(100):
            driver.receive(PeerEnvelope(GROUP, 'v2', 'v1', Channel.REPLICATION, b'\xc1'))
            await trio.sleep(0.2)
    assert 2 <= len(lines) <= 3
    assert lines[0]['reason'].startswith('v2: unreadable')
    assert lines[-1]['count'] > 1


async def test_refused_transfer_is_told(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a planned stop that keeps its leadership for a reason that nobody sees."""
    driver = start_driver(nursery, voters=('v1', 'v2', 'v3'))
    with capture_lines('shallotmux:transfer-refused') as lines:
        assert not driver.transfer('v2')
        assert not driver.transfer('v2')
    assert [each['target'] for each in lines] == ['v2']
    assert lines[0]['reason']
