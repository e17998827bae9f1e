"""Tests of telling control instances of beginnings, and of asking them."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from itertools import combinations

import pytest
import trio
import trio.testing

from shallotmux.errors import ShallotmuxError
from shallotmux.origins import (
    Continuation,
    KnownFrom,
    OriginAnswer,
    OriginClient,
    OriginReport,
    OriginStore,
    StreamOrigins,
    Unknown,
    decode_origin_call,
    encode_origin_message,
)
from shallotmux.origins import _client as client_module
from shallotmux.rendezvous import rank_owners

PEERS = ('c-1', 'c-2', 'c-3', 'c-4', 'c-5')
VERSIONS = (('desk', 'v1'), ('desk', 'v2'))


@dataclass(slots=True)
class Controls:
    """Control instances that remember beginnings, some of which do not answer."""

    peers: tuple[str, ...] = PEERS
    delay_s: float = 0.002
    silent: set[str] = field(default_factory=set)
    failing: set[str] = field(default_factory=set)
    stores: dict[str, OriginStore] = field(default_factory=lambda: defaultdict(OriginStore))
    calls: list[str] = field(default_factory=list)

    async def call(self, peer: str, content: bytes, timeout_s: float) -> bytes:
        """Answer a call."""
        self.calls.append(peer)
        if peer in self.silent:
            await trio.sleep(timeout_s)
        if peer in self.silent | self.failing:
            raise ShallotmuxError('no answer', step='origins', peer=peer)
        await trio.sleep(self.delay_s)
        call = decode_origin_call(content)
        self.stores[peer].merge(call.reports)
        return encode_origin_message(OriginAnswer(self.stores[peer].build_reports(call.wanted)))


def start_entry(controls: Controls, nursery: trio.Nursery) -> StreamOrigins:
    """Start an entry instance that has seen no list yet."""
    client = OriginClient(controls.call, lambda: controls.peers)
    nursery.start_soon(client.run)
    origins = StreamOrigins(client)
    origins.history.assume_complete()
    return origins


@asynccontextmanager
async def run_entries(controls: Controls, count: int = 2) -> AsyncIterator[list[StreamOrigins]]:
    """Run entry instances that see two versions in service."""
    async with trio.open_nursery() as nursery:
        entries = [start_entry(controls, nursery) for _ in range(count)]
        for each in entries:
            each.observe(VERSIONS, trio.current_time())
        await trio.testing.wait_all_tasks_blocked()
        yield entries
        nursery.cancel_scope.cancel()


async def test_another_instance_learns_of_a_beginning(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against streams that nobody can resume after their instance was killed."""
    controls = Controls()
    async with run_entries(controls) as (first, second):
        await first.record(1, 'desk', 'v1', 'r-1')
        found = await second.find(1, 'desk')
        unknown = await second.find(2, 'desk')
    assert found == Continuation('desk', 'v1', KnownFrom.CONTROL)
    assert isinstance(unknown, Unknown)
    assert sum(bool(len(store)) for store in controls.stores.values()) == client_module.COPIES


async def test_beginning_outlives_a_control_instance(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a beginning that only one control instance knows."""
    controls = Controls()
    async with run_entries(controls) as (first, second):
        await first.record(1, 'desk', 'v1', 'r-1')
        await trio.sleep(0.1)
        controls.failing = {next(peer for peer, each in controls.stores.items() if len(each))}
        assert isinstance(await second.find(1, 'desk'), Continuation)


@pytest.mark.parametrize('is_silent', [False, True])
async def test_first_event_waits_for_a_bounded_time(
    autojump_clock: trio.testing.MockClock, is_silent: bool
) -> None:
    """Guards against streams that wait for control instances that do not answer."""
    controls = Controls(silent=set(PEERS) if is_silent else set())
    async with run_entries(controls) as (first, _):
        started_at = trio.current_time()
        await first.record(1, 'desk', 'v1', 'r-1')
        took_s = trio.current_time() - started_at
    assert took_s <= (client_module.ACK_TIMEOUT_S if is_silent else 0.01) + 0.001


async def test_silent_instances_are_passed_over(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against each stream that waits for the same control instance that does not answer."""
    controls = Controls(silent={'c-1', 'c-2', 'c-3'})
    async with run_entries(controls) as (first, second):
        for key in range(20):
            await first.record(key, 'desk', 'v1', 'r')
        await trio.sleep(0.5)
        started_at = trio.current_time()
        for key in range(100, 120):
            await first.record(key, 'desk', 'v1', 'r')
        took_s = trio.current_time() - started_at
        found = [await second.find(known, 'desk') for known in range(100, 120)]
    assert took_s <= 20 * 0.01
    assert all(isinstance(each, Continuation) for each in found)


async def test_question_to_silent_instances_ends(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against retries that are held until their deadline."""
    controls = Controls(silent=set(PEERS))
    async with run_entries(controls) as (first, _):
        started_at = trio.current_time()
        found = await first.find(1, 'desk')
        took_s = trio.current_time() - started_at
    assert isinstance(found, Unknown)
    assert took_s <= client_module.ASK_TIMEOUT_S + 0.001


async def test_calls_are_bounded_under_load(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against one call for each stream under load."""
    controls = Controls(delay_s=0.02)
    async with run_entries(controls) as (first, _):
        async with trio.open_nursery() as nursery:
            for key in range(1000):
                nursery.start_soon(first.record, key, 'desk', 'v1', 'r')
    assert len(controls.calls) <= 4 * len(PEERS)
    assert sum(len(each) for each in controls.stores.values()) == 2 * 1000


async def test_nothing_is_told_while_one_version_serves(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against messages for each stream although the history of versions tells it."""
    controls = Controls()
    async with trio.open_nursery() as nursery:
        origins = start_entry(controls, nursery)
        origins.observe(VERSIONS[:1], trio.current_time())
        await origins.record(1, 'desk', 'v1', 'r-1')
        nursery.cancel_scope.cancel()
    assert not controls.calls


async def test_recent_beginnings_are_told_when_a_second_version_appears(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against streams that began right before a release, and cannot be resumed elsewhere."""
    controls = Controls()
    async with trio.open_nursery() as nursery:
        first, second = (start_entry(controls, nursery) for _ in range(2))
        for origins in (first, second):
            origins.observe(VERSIONS[:1], trio.current_time())
        await trio.testing.wait_all_tasks_blocked()
        await first.record(1, 'desk', 'v1', 'r-1')
        await trio.sleep(0.5)
        for origins in (first, second):
            origins.observe(VERSIONS, trio.current_time())
        await trio.sleep(0.1)
        found = await second.find(1, 'desk')
        nursery.cancel_scope.cancel()
    assert found == Continuation('desk', 'v1', KnownFrom.CONTROL)


async def test_report_of_a_future_beginning_does_not_last(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a negative age, which would keep a beginning for longer than others."""
    store = OriginStore()
    store.merge((OriginReport(1, 'desk', 'v1', -1e9),))
    found = store.find(1)
    assert found is not None
    assert found.at <= trio.current_time()


@pytest.mark.parametrize(('silent', 'expected'), ((0, True), (1, True), (2, False), (5, False)))
async def test_instance_out_of_step_derives_nothing_from_its_list(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, silent: int, *, expected: bool
) -> None:
    """Guards against a stream that is continued at another version during a release.

    The instance that takes it up has seen a list that is too old to name the version that began it,
    and those control instances that were told of its beginning do not answer.
    """
    controls = Controls()
    entry = start_entry(controls, nursery)
    entry.history.assume_complete()
    entry.observe((('desk', 'v1'),), trio.current_time())
    await trio.sleep(0.5)
    key = 7
    controls.silent.update(rank_owners(key.to_bytes(8), PEERS)[:silent])
    found = await entry.find(key, 'desk')
    assert isinstance(found, Continuation) is expected


async def test_version_that_joined_since_the_last_list_is_not_confused(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against joining two versions, whichever control instances an instance is cut off from."""
    key = 11
    ranked = rank_owners(key.to_bytes(8), PEERS)
    for cut in combinations(PEERS, 3):
        controls = Controls()
        beginner, other = start_entry(controls, nursery), start_entry(controls, nursery)
        for each in (beginner, other):
            each.history.assume_complete()
        other.observe((('desk', 'v1'),), trio.current_time())
        beginner.observe(VERSIONS, trio.current_time())
        await beginner.record(key, 'desk', 'v2', 'r-1')
        await trio.sleep(0.1)
        controls.silent.update(cut)
        found = await other.find(key, 'desk')
        assert isinstance(found, Unknown) or found.version == 'v2', (cut, ranked)
