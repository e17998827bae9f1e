"""Tests that histories of concurrent operators under faults are linearizable."""

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

INSTANCE_NAMES = ('entry-01', 'entry-02', 'entry-03')
COMMANDS_PER_OPERATOR = 12


def revision_model(revision: int, call: str, arguments: tuple[int]) -> tuple[int, tuple[str, int]]:
    """Model compare-and-set on the revision of one object."""
    if arguments[0] == revision:
        return revision + 1, ('applied', revision + 1)
    return revision, ('conflict', revision)


async def run_operator(zone: Zone, name: str, history: History, random: Random) -> None:
    """Update one object repeatedly, and resend commands whose answers are lost."""
    expected = 0
    for number in range(COMMANDS_PER_OPERATOR):
        await trio.sleep(random.uniform(0, 1))
        command = PutObject(f'{name}-{number}', Customer('tailors', Contract(number + 1)), expected)
        operation = history.begin('put', (expected,))
        for target in (name, *INSTANCE_NAMES):
            try:
                result = await zone.members[target].authority.submit(command)
            except (AuthorityUnavailable, OutcomeUnknown):
                continue
            match result:
                case Applied(revision):
                    history.end(operation, ('applied', revision))
                    expected = revision
                case Conflict(_, revision):
                    history.end(operation, ('conflict', revision))
                    expected = revision
            break


async def inject_faults(zone: Zone, random: Random) -> None:
    """Isolate or pause random instances until cancelled."""
    while True:
        name = random.choice(INSTANCE_NAMES)
        fault = random.choice((zone.fabric.isolate, zone.fabric.pause))
        fault(name)
        await trio.sleep(random.uniform(0.5, 4))
        zone.fabric.heal()
        zone.fabric.resume(name)
        await trio.sleep(random.uniform(0, 2))


@pytest.mark.parametrize('seed', range(5))
async def test_concurrent_operators_are_linearizable(
    make_zone: MakeZone, autojump_clock: MockClock, seed: int
) -> None:
    """Guards against lost, duplicate or reordered changes while instances fail or are paused."""
    zone = make_zone(3, disks=3)
    await zone.start(*INSTANCE_NAMES, bootstrap='entry-01')
    await zone.wait_stable(3)
    zone.fabric.loss = 0.02
    history, random = History(), Random(seed)
    async with trio.open_nursery() as faults:
        faults.start_soon(inject_faults, zone, random)
        async with trio.open_nursery() as nursery:
            for name in INSTANCE_NAMES:
                nursery.start_soon(run_operator, zone, name, history, random)
        faults.cancel_scope.cancel()
    assert sum(each.end is not None for each in history.operations) > COMMANDS_PER_OPERATOR
    assert is_linearizable(history.operations, revision_model, 0)
