"""Tests of histories of concurrent operators under faults."""

from __future__ import annotations

from random import Random

import pytest
import trio
from trio.testing import MockClock

from shallotmux.authority import Applied, Conflict, PutObject
from shallotmux.checking import History, is_linearizable
from shallotmux.errors import AuthorityUnavailable, OutcomeUnknown
from shallotmux.world import Contract, Customer
from tests.membership.conftest import MakeZone, Zone

NAMES = ('entry-01', 'entry-02', 'entry-03')
ROUNDS = 12


def revisions(revision: int, call: str, arguments: tuple[int]) -> tuple[int, tuple[str, int]]:
    """Specify compare-and-set on one object's revision."""
    if arguments[0] == revision:
        return revision + 1, ('applied', revision + 1)
    return revision, ('conflict', revision)


async def operate(zone: Zone, name: str, history: History, random: Random) -> None:
    """Put one object again and again, resending after lost answers."""
    expected = 0
    for number in range(ROUNDS):
        await trio.sleep(random.uniform(0, 1))
        command = PutObject(f'{name}-{number}', Customer('tailors', Contract(number + 1)), expected)
        begun = history.begin('put', (expected,))
        for target in (name, *NAMES):
            try:
                result = await zone.members[target].authority.submit(command)
            except (AuthorityUnavailable, OutcomeUnknown):
                continue
            match result:
                case Applied(revision):
                    history.end(begun, ('applied', revision))
                    expected = revision
                case Conflict(_, revision):
                    history.end(begun, ('conflict', revision))
                    expected = revision
            break


async def disturb(zone: Zone, random: Random) -> None:
    """Cut off, pause and lose until cancelled."""
    while True:
        name = random.choice(NAMES)
        fault = random.choice((zone.fabric.isolate, zone.fabric.pause))
        fault(name)
        await trio.sleep(random.uniform(0.5, 4))
        zone.fabric.heal()
        zone.fabric.resume(name)
        await trio.sleep(random.uniform(0, 2))


@pytest.mark.parametrize('seed', range(5))
async def test_racing_operators_see_one_order(
    make_zone: MakeZone, autojump_clock: MockClock, seed: int
) -> None:
    """Guards against lost, doubled or reordered changes while leaders are cut off or paused."""
    zone = make_zone(3, disks=3)
    await zone.start(*NAMES, bootstrap='entry-01')
    await zone.settle(3)
    zone.fabric.loss = 0.02
    history, random = History(), Random(seed)
    async with trio.open_nursery() as faults:
        faults.start_soon(disturb, zone, random)
        async with trio.open_nursery() as nursery:
            for name in NAMES:
                nursery.start_soon(operate, zone, name, history, random)
        faults.cancel_scope.cancel()
    assert sum(each.end is not None for each in history.operations) > ROUNDS
    assert is_linearizable(history.operations, revisions, 0)
