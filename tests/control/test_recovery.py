"""Tests of the recovery of a control group from the data folders that are left."""

from __future__ import annotations

import shutil
from functools import partial
from pathlib import Path
from random import Random

import pytest
import trio
import trio.testing
from click.testing import CliRunner, Result

from shallotmux.cli import main
from shallotmux.control import DataFolders
from shallotmux.errors import MembershipRefused, StorageError
from shallotmux.replication._recovery import UNSEEN_TERMS
from shallotmux.storage import load_identity, store_identity
from shallotmux.transport import instance_name
from tests.control._instances import SEEDS, ControlGroup

FIRST_MACHINES = (*SEEDS, '10.0.0.4:7', '10.0.0.5:7')
NEW_MACHINE = '10.0.0.9:7'

#: Time in which members that are started become voters.
JOIN_S = 8.0


async def start_five_voters(nursery: trio.Nursery, folder: Path) -> ControlGroup:
    """Start a group of five voters and put the first document."""
    group = ControlGroup(nursery, folder, tolerated=2)
    await group.bootstrap()
    for name in FIRST_MACHINES[len(SEEDS) :]:
        await group.start(name)
    with trio.fail_after(JOIN_S):
        while len(group.voters()) < len(FIRST_MACHINES):
            await trio.sleep(0.1)
    assert await group.put(1)
    return group


async def stop_all(group: ControlGroup) -> None:
    """Stop all instances without a shutdown."""
    for name in tuple(group.running):
        await group.kill(name)


async def run_tool(*arguments: str | Path) -> Result:
    """Run the command-line tool."""
    invoke = partial(CliRunner().invoke, main, ('recover', *map(str, arguments)))
    return await trio.to_thread.run_sync(invoke)


def paths(group: ControlGroup, names: tuple[str, ...]) -> list[Path]:
    """Return the data folders of some instances."""
    return [group.data(name) for name in names]


async def run_with(group: ControlGroup, first: str, *others: str) -> None:
    """Start the recovered member, then others that have it as seed, and wait until all vote."""
    if first not in group.running:
        await group.start(first)
    await group.wait_for_leader()
    for name in others:
        instance = await group.start(name)
        instance.member.update_seeds((first,))
    with trio.fail_after(2 * JOIN_S):
        while {instance_name(each) for each in group.voters()} != {first, *others}:
            await trio.sleep(0.1)
    assert await group.put(9)


async def test_three_of_five_folders_continue_by_themselves(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    """Guards against a recovery that replaces the votes of a group which needs none."""
    group = await start_five_voters(nursery, tmp_path)
    await stop_all(group)
    left = FIRST_MACHINES[2:]
    result = await run_tool(*paths(group, left))
    assert result.exit_code == 5, result.output
    assert 'majority' in result.output
    for name in left:
        await group.start(name)
    await group.wait_for_leader()
    assert await group.read() == 1
    assert await group.put(2)


async def test_three_of_five_folders_are_recovered_at_another_address(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    """Guards against an acknowledged change that is lost with folders moved to new machines."""
    group = await start_five_voters(nursery, tmp_path)
    await stop_all(group)
    left = FIRST_MACHINES[2:]
    dry_run = await run_tool('--dry-run', '--at', NEW_MACHINE, *paths(group, left))
    assert dry_run.exit_code == 0, dry_run.output
    assert '3 of 5 voters are left' in dry_run.output
    folders = DataFolders(paths(group, left))
    newest = folders.survey().newest
    folders.close()
    result = await run_tool('--at', NEW_MACHINE, *paths(group, left))
    assert result.exit_code == 0, result.output
    group.data(instance_name(newest)).rename(group.data(NEW_MACHINE))
    await group.start(NEW_MACHINE)
    await group.wait_for_leader()
    assert await group.read() == 1
    others = set(left) - {instance_name(newest)}
    await run_with(group, NEW_MACHINE, *sorted(others))


async def test_minority_of_folders_is_recovered_only_if_the_loss_is_accepted(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    """Guards against a change that is lost silently, and against a token that is used again."""
    group = await start_five_voters(nursery, tmp_path)
    term = (await group.wait_for_leader()).member.driver.status().term
    await stop_all(group)
    left = FIRST_MACHINES[3:]
    for name in FIRST_MACHINES[:3]:
        shutil.rmtree(group.data(name))
    refused = await run_tool(*paths(group, left))
    assert refused.exit_code == 5, refused.output
    assert 'may be lost' in refused.output
    for name in left:
        await group.start(name)
    await trio.sleep(JOIN_S)
    assert not await group.put(2)
    await stop_all(group)
    result = await run_tool('--accept-loss', *paths(group, left))
    assert result.exit_code == 0, result.output
    first = next(each for each in left if f'start {each}' in result.output)
    others = {*left, *FIRST_MACHINES[:2], NEW_MACHINE} - {first}
    await run_with(group, first, *sorted(others))
    leader = await group.wait_for_leader()
    assert leader.member.driver.status().term >= term + UNSEEN_TERMS


async def test_folder_of_a_running_instance_is_refused(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against two groups, of the running members and of the recovered one."""
    result = await run_tool('--accept-loss', group.data(SEEDS[0]))
    assert result.exit_code == 2, result.output
    assert 'is its instance stopped' in result.output
    await group.kill(SEEDS[0])
    with pytest.raises(StorageError):
        DataFolders(paths(group, SEEDS[:2]))


async def test_recovery_that_was_interrupted_is_repeated(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    """Guards against members that keep votes of the old configuration after a failed recovery."""
    group = await start_five_voters(nursery, tmp_path)
    await stop_all(group)
    left = FIRST_MACHINES[3:]
    folders = DataFolders(paths(group, left), Random(1))
    newest = folders.survey().newest
    other = next(each for identity, each in folders.folders.items() if identity != newest)
    assert folders.recover(accepts_loss=True) == newest
    # The process ended before the other member got a new identity.
    store_identity(other.path, other.identity)
    folders.close()
    repeated = DataFolders(paths(group, left))
    with pytest.raises(MembershipRefused):
        repeated.recover()
    assert repeated.recover(accepts_loss=True) == newest
    repeated.close()
    assert load_identity(other.path) != other.identity
