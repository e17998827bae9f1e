"""Tests of several zones on the in-memory network and a mock clock."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from random import Random

import trio
from trio.testing import MockClock

from shallotmux.authority import Applied, PutObject, run_inline
from shallotmux.daemon import FLEET_GROUP, ZONE_PREFIX, InstanceGroups
from shallotmux.settings import InstanceSettings, PeerSettings, SecretSettings, Settings
from shallotmux.transport import MemoryPeerFabric
from shallotmux.world import Customer, Defaults

SEED = 3
ZONES = ('zone-a', 'zone-b', 'zone-c')
PROPAGATION_LIMIT_S = 3
REPORT_LIMIT_S = 9
DEFAULTS = Defaults(cheap_share=0.1)


def make_settings(name: str, zone: str, folder: Path) -> Settings:
    """Return the settings of one of three instances in each zone, of which the first has a disk."""
    peers = tuple(
        PeerSettings(
            name=f'{each}-{number}', zone=each, address='127.0.0.1:1', has_disk=number == 1
        )
        for each in ZONES
        for number in (1, 2, 3)
    )
    return Settings(
        instance=InstanceSettings(name=name, zone=zone, data_folder=str(folder / name)),
        secrets=SecretSettings(pepper='p' * 16, operator_token='o' * 16),
        peers=peers,
    )


async def start_fleet(
    nursery: trio.Nursery, folder: Path, first: str = 'zone-a-1'
) -> tuple[dict[str, InstanceGroups], MemoryPeerFabric]:
    """Start three zones, and wait until every group has its voters."""
    fabric = MemoryPeerFabric(Random(SEED))
    nursery.start_soon(fabric.run)
    fleet: dict[str, InstanceGroups] = {}
    for zone in ZONES:
        for number in (1, 2, 3):
            name = f'{zone}-{number}'
            bootstrap = [ZONE_PREFIX + zone] if number == 1 else []
            if name == first:
                bootstrap.append(FLEET_GROUP)
            settings = make_settings(name, zone, folder)
            fleet[name] = InstanceGroups(
                settings, bootstrap, fabric.network(name), run_blocking=run_inline
            )
            await nursery.start(fleet[name].run)
    await wait_until(lambda: all(has_voters(each) for each in fleet.values()), 60)
    return fleet, fabric


def has_voters(groups: InstanceGroups) -> bool:
    """Return whether an instance's state is fresh and each of its groups has three voters."""
    counts = [len(each.tree.voters()) for each in groups.members.values()]
    return counts == [3, 3] and groups.authority.is_fresh()


async def wait_until(condition: Callable[[], object], timeout_s: float) -> None:
    """Wait until a condition holds."""
    start = trio.current_time()
    while not condition():
        assert trio.current_time() - start <= timeout_s, 'condition did not hold in time'
        await trio.sleep(0.01)


async def test_defaults_are_in_force_in_all_zones(
    nursery: trio.Nursery, autojump_clock: MockClock, tmp_path: Path
) -> None:
    """Guards against a fleet-wide change that does not reach a zone, or is reported too early."""
    fleet, fabric = await start_fleet(nursery, tmp_path)
    submitter = fleet['zone-b-3']
    command = PutObject('d', DEFAULTS, 0)
    result = await submitter.authority.submit(command)
    assert result == Applied(1)
    key = ('defaults', 'fleet')

    def is_in_force_everywhere() -> bool:
        states = [each.authority.read().configuration.objects for each in fleet.values()]
        return all(key in each and each[key].item == DEFAULTS for each in states)

    await wait_until(is_in_force_everywhere, PROPAGATION_LIMIT_S)
    await wait_until(
        lambda: submitter.propagation.find(command, 1).in_force == ZONES, REPORT_LIMIT_S
    )


async def test_change_is_pending_in_isolated_zone(
    nursery: trio.Nursery, autojump_clock: MockClock, tmp_path: Path
) -> None:
    """Guards against a change reported in force too early, and an isolated zone that stops."""
    fleet, fabric = await start_fleet(nursery, tmp_path)
    isolated = [name for name in fleet if name.startswith('zone-c')]
    for isolated_name in isolated:
        for reachable_name in fleet.keys() - set(isolated):
            fabric.partition(isolated_name, reachable_name)
    submitter = fleet['zone-a-2']
    command = PutObject('d', DEFAULTS, 0)
    await submitter.authority.submit(command)
    await wait_until(
        lambda: submitter.propagation.find(command, 1).in_force == ZONES[:2], REPORT_LIMIT_S
    )
    assert submitter.propagation.find(command, 1).pending == ('zone-c',)
    local_change = PutObject('c', Customer('tailors'), 0)
    assert await fleet['zone-c-2'].authority.submit(local_change) == Applied(1)
    fabric.heal()
    await wait_until(
        lambda: submitter.propagation.find(command, 1).in_force == ZONES, REPORT_LIMIT_S
    )


async def test_fleet_group_can_be_bootstrapped_in_any_zone(
    nursery: trio.Nursery, autojump_clock: MockClock, tmp_path: Path
) -> None:
    """Guards against instances that contact only one peer, which knows no leader either."""
    fleet, _ = await start_fleet(nursery, tmp_path, 'zone-c-1')
    assert all(has_voters(each) for each in fleet.values())
