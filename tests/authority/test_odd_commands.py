"""Tests of payloads that are no commands, from whoever reaches the port for peers."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from uuid import uuid4

import msgspec
import pytest
import trio
import trio.testing

from shallotmux.authority import GroupDriver, GroupState, PutDocument, encode_command
from shallotmux.replication import (
    Configuration,
    Effects,
    Replica,
    ReplicaOptions,
    bootstrap_group,
)
from shallotmux.storage import VolatileStore
from shallotmux.transport import Channel, PeerEnvelope, Refusal

GROUP = 'group'
DEPTH = 100_000

NO_COMMANDS = {
    'number': msgspec.msgpack.encode(1),
    'text': msgspec.msgpack.encode('PutDocument'),
    'map': msgspec.msgpack.encode({}),
    'list': msgspec.msgpack.encode([]),
    'nothing': msgspec.msgpack.encode(None),
    'empty': b'',
    'no-utf-8': msgspec.msgpack.encode({'$': 'PutDocument'}).replace(b'PutDoc', b'\xff\xfe\xffDoc'),
    'nested': b'%b\x90' % (b'\x91' * DEPTH),
    'type-of-type': msgspec.msgpack.encode({'$': {}}),
    'result': msgspec.msgpack.encode({'$': 'Refused', 'reason': 'no'}),
    'no-item': msgspec.msgpack.encode(
        {'$': 'PutObject', 'operation_id': 'a', 'item': None, 'expected_revision': 0}
    ),
    'no-operation': msgspec.msgpack.encode(
        {'$': 'PutDocument', 'operation_id': None, 'version': 1, 'content': b''}
    ),
    'numeric-operation': msgspec.msgpack.encode(
        {'$': 'PutDocument', 'operation_id': 1, 'version': 1, 'content': b''}
    ),
}


async def save_at_once(save: Callable[[Effects], None], effects: Effects) -> None:
    """Store without a thread, for which the clock of the tests would not wait."""
    save(effects)


async def start_leader(nursery: trio.Nursery) -> GroupDriver:
    """Start the driver of a group of one, and wait until it leads."""
    configuration = Configuration(frozenset(('v1',)), disks=frozenset(('v1',)))
    stored = bootstrap_group(configuration)
    replica = Replica('v1', stored, ReplicaOptions(), Random(1), trio.current_time())
    driver = GroupDriver(
        GROUP,
        'v1',
        replica,
        GroupState(),
        VolatileStore(),
        lambda envelope: None,
        tick_s=0.05,
        run_blocking=save_at_once,
    )
    nursery.start_soon(driver.run)
    while not driver.is_leader():
        await trio.sleep(0.05)
    return driver


@pytest.mark.parametrize('payload', NO_COMMANDS.values(), ids=NO_COMMANDS.keys())
async def test_payload_that_is_no_command_is_refused(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, payload: bytes
) -> None:
    """Guards against an entry on which every replica fails, again after each start."""
    driver = await start_leader(nursery)
    answer = await driver.commit(payload, 1)
    assert answer.refusal is Refusal.INVALID
    following = await driver.commit(encode_command(PutDocument(uuid4().hex, 1, b'{}')), 1)
    assert following.refusal is Refusal.NONE


async def test_envelope_that_cannot_be_decoded_is_dropped(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a message of a peer that ends the stream or the process that receives it."""
    driver = await start_leader(nursery)
    for payload in NO_COMMANDS.values():
        driver.receive(PeerEnvelope(GROUP, 'v2', 'v1', Channel.REPLICATION, payload))
    following = await driver.commit(encode_command(PutDocument(uuid4().hex, 1, b'{}')), 1)
    assert following.refusal is Refusal.NONE
