"""Tests of control instances whose disks are slow."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import trio
import trio.testing

from shallotmux.replication import Effects
from tests.control._instances import ControlGroup

#: Time for which each save takes. An election takes two, one after the other.
SAVE_S = 0.4


async def run_slowly(save: Callable[[Effects], None], effects: Effects) -> None:
    """Save after a delay."""
    await trio.sleep(SAVE_S)
    save(effects)


async def test_leader_is_elected_on_slow_disks(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    """Guards against candidates that start over before the votes for them are stored, without end."""
    group = ControlGroup(nursery, tmp_path, run_blocking=run_slowly)
    await group.bootstrap()
    leader = await group.wait_for_leader()
    await group.kill(leader.member.settings.name)
    await group.wait_for_leader()
