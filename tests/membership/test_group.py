"""Tests of a zone's replication group: elections, faults, restarts and propagation."""

from __future__ import annotations

from functools import partial

import pytest
import trio
from trio.testing import MockClock

from shallotmux.authority import Applied, Conflict, CreateKey, PutObject, WithdrawKey
from shallotmux.errors import AuthorityUnavailable, OutcomeUnknown
from shallotmux.membership import GroupMember
from shallotmux.replication import ReplicaOptions
from shallotmux.world import Contract, Customer, CustomerKey
from tests.membership.conftest import MakeZone, Zone

INSTANCE_NAMES = ('entry-01', 'entry-02', 'entry-03')
FRESHNESS_LIMIT_S = 3

#: Commits are pushed to followers, so they arrive well within the 3 s that the design allows.
PROPAGATION_LIMIT_S = 0.5


def is_stale(member: GroupMember) -> bool:
    """Return whether an instance's state is too old to serve requests with keys."""
    return not member.authority.is_fresh()


async def start_zone_of_three(make_zone: MakeZone, **options: object) -> Zone:
    """Start a zone of three instances with disks, and wait until it is stable."""
    zone = make_zone(3, disks=3, **options)
    await zone.start(*INSTANCE_NAMES, bootstrap='entry-01')
    await zone.wait_stable(3)
    return zone


async def test_instances_started_before_bootstrap_find_the_leader(
    make_zone: MakeZone, autojump_clock: MockClock
) -> None:
    """Guards against instances that keep polling each other although none knows the leader."""
    zone = make_zone(3, disks=3)
    await zone.start('entry-02', 'entry-03')
    await trio.sleep(10)
    await zone.start('entry-01', bootstrap='entry-01')
    await zone.wait_stable(3)


async def test_command_from_any_instance_is_applied_everywhere(
    make_zone: MakeZone, autojump_clock: MockClock
) -> None:
    """Guards against commands that are lost, or not replicated, on non-leaders."""
    zone = await start_zone_of_three(make_zone)
    for number, name in enumerate(INSTANCE_NAMES):
        customer = Customer(f'customer-{number}')
        result = await zone.members[name].authority.submit(PutObject(name, customer, 0))
        assert result == Applied(number + 1)
    await zone.wait_until(
        lambda: all(each.state.zone.revision == 3 for each in zone.members.values()), 1
    )


async def test_group_is_not_started_without_bootstrap(
    make_zone: MakeZone, autojump_clock: MockClock
) -> None:
    """Guards against silently creating an empty group after the disks were lost."""
    zone = make_zone(3, disks=3)
    await zone.start(*INSTANCE_NAMES)
    await trio.sleep(30)
    assert zone.leader() is None
    with pytest.raises(AuthorityUnavailable):
        await zone.members['entry-01'].authority.submit(PutObject('a', Customer('tailors'), 0))


async def test_change_commits_soon_after_leader_is_killed(
    make_zone: MakeZone, autojump_clock: MockClock
) -> None:
    """Guards against a zone without a leader for more than 3 s after the old one fails."""
    zone = await start_zone_of_three(make_zone)
    leader = zone.leader()
    zone.kill(leader.spec.identity)
    survivor = next(iter(zone.members.values()))
    start = trio.current_time()
    assert await survivor.authority.submit(PutObject('a', Customer('tailors'), 0)) == Applied(1)
    assert trio.current_time() - start <= 3


async def test_isolated_leader_has_no_authority(
    make_zone: MakeZone, autojump_clock: MockClock
) -> None:
    """Guards against two leaders, and against an isolated leader that reports success."""
    zone = await start_zone_of_three(make_zone)
    old = zone.leader()
    zone.fabric.isolate(old.spec.identity)
    with pytest.raises(OutcomeUnknown):
        await old.authority.submit(PutObject('old', Customer('tailors'), 0))
    assert not old.authority.is_fresh()
    new = zone.leader()
    assert await new.authority.submit(PutObject('new', Customer('tailors'), 0)) == Applied(1)
    zone.fabric.heal()
    await zone.wait_stable(3)
    assert old.state.zone.results == {'new': Applied(1)}


async def test_isolated_instance_stops_being_fresh(
    make_zone: MakeZone, autojump_clock: MockClock
) -> None:
    """Guards against an isolated instance that still accepts keys withdrawn meanwhile."""
    zone = await start_zone_of_three(make_zone)
    for member in zone.members.values():
        name = member.spec.identity
        zone.fabric.isolate(name)
        await zone.wait_until(partial(is_stale, member), FRESHNESS_LIMIT_S)
        zone.fabric.heal()
        await zone.wait_stable(3)


async def test_paused_leader_has_no_authority_after_its_lease(
    make_zone: MakeZone, autojump_clock: MockClock
) -> None:
    """Guards against an expired lease that is extended by answers delivered after a pause."""
    zone = await start_zone_of_three(make_zone)
    old = zone.leader()
    lease_end = old.authority.leadership().lease_end
    zone.fabric.pause(old.spec.identity)
    await trio.sleep(lease_end - trio.current_time() + 0.001)
    assert not old.authority.leadership().is_leader
    await zone.wait_until(zone.leader, 3)
    zone.fabric.resume(old.spec.identity)
    for _ in range(100):
        assert not old.authority.leadership().is_leader
        await trio.sleep(0.001)


async def test_state_survives_restart_of_all_instances(
    make_zone: MakeZone, autojump_clock: MockClock
) -> None:
    """Guards against changes lost, or applied twice, when a whole zone restarts from disk."""
    zone = await start_zone_of_three(make_zone, replica=ReplicaOptions(snapshot_after_entries=100))
    for number in range(500):
        customer = Customer('tailors', Contract(number + 1))
        name = INSTANCE_NAMES[number % 3]
        command = PutObject(f'change-{number}', customer, number)
        assert await zone.members[name].authority.submit(command) == Applied(number + 1)
    before = zone.leader().state.zone
    zone.kill(*INSTANCE_NAMES)
    await zone.start(*INSTANCE_NAMES)
    await zone.wait_stable(3)
    assert all(each.state.zone == before for each in zone.members.values())
    resent = PutObject('change-499', Customer('tailors', Contract(500)), 499)
    assert await zone.members['entry-02'].authority.submit(resent) == Applied(500)


async def test_zone_recovers_from_its_only_disk(
    make_zone: MakeZone, autojump_clock: MockClock
) -> None:
    """Guards against a zone that cannot recover although one disk holds all commits."""
    zone = make_zone(3, disks=1)
    await zone.start(*INSTANCE_NAMES, bootstrap='entry-01')
    await zone.wait_stable(3)
    await zone.members['entry-02'].authority.submit(PutObject('a', Customer('tailors'), 0))
    zone.kill(*INSTANCE_NAMES)
    await zone.start(*INSTANCE_NAMES, recover='entry-01')
    await zone.wait_stable(3)
    assert all(each.state.zone.revision == 1 for each in zone.members.values())


async def test_concurrent_writes_have_one_winner(
    make_zone: MakeZone, autojump_clock: MockClock
) -> None:
    """Guards against two writes at one revision that both succeed, and resends applied twice."""
    zone = await start_zone_of_three(make_zone)
    results = {}

    async def run_operator(name: str) -> None:
        command = PutObject(f'by-{name}', Customer('tailors', Contract(len(results) + 2)), 0)
        first = await zone.members[name].authority.submit(command)
        results[name] = first, await zone.members['entry-01'].authority.submit(command)

    async with trio.open_nursery() as nursery:
        for name in INSTANCE_NAMES:
            nursery.start_soon(run_operator, name)
    assert all(first == resent for first, resent in results.values())
    won = [first for first, _ in results.values() if isinstance(first, Applied)]
    lost = [first for first, _ in results.values() if isinstance(first, Conflict)]
    assert won == [Applied(1)]
    assert lost == [Conflict('customer/tailors', 1), Conflict('customer/tailors', 1)]


async def test_lossy_network_applies_each_operation_once(
    make_zone: MakeZone, autojump_clock: MockClock
) -> None:
    """Guards against changes lost or applied twice when messages and answers are lost."""
    zone = await start_zone_of_three(make_zone)
    zone.fabric.loss = 0.1
    revisions = []

    async def run_operator(name: str) -> None:
        for number in range(20):
            command = PutObject(f'{name}-{number}', Customer(f'{name}-{number}'), 0)
            revisions.append(await zone.members[name].authority.submit(command))

    async with trio.open_nursery() as nursery:
        for name in INSTANCE_NAMES:
            nursery.start_soon(run_operator, name)
    assert sorted(each.revision for each in revisions) == list(range(1, 61))


async def test_key_withdrawal_reaches_all_instances(
    make_zone: MakeZone, autojump_clock: MockClock
) -> None:
    """Guards against a withdrawn key that a connected instance accepts for longer than 3 s."""
    zone = make_zone(9, disks=3)
    await zone.start(*sorted(zone.plan.names()), bootstrap='entry-01')
    await zone.wait_stable(3)
    authority = zone.members['entry-09'].authority
    await authority.submit(PutObject('c', Customer('tailors'), 0))
    await authority.submit(CreateKey('k', CustomerKey('key-1', 'tailors', 'digest')))
    await authority.submit(WithdrawKey('w', 'key-1'))

    def is_withdrawn_everywhere() -> bool:
        keys = [each.state.zone.keys.keys.get('key-1') for each in zone.members.values()]
        return all(key and key.withdrawn for key in keys)

    await zone.wait_until(is_withdrawn_everywhere, PROPAGATION_LIMIT_S)


async def test_diskless_voter_rejoins_under_new_identity(
    make_zone: MakeZone, autojump_clock: MockClock
) -> None:
    """Guards against a restarted voter that votes twice in a term, and failed voters that stay."""
    zone = make_zone(3)
    await zone.start(*INSTANCE_NAMES, bootstrap='entry-01')
    await zone.wait_stable(3)
    follower = next(each for each in zone.members.values() if not each.driver.is_leader())
    name, old = follower.spec.identity.split('~')[0], follower.spec.identity
    zone.kill(name)
    await trio.sleep(1)
    await zone.start(name)
    leader = zone.leader()

    def is_replaced() -> bool:
        voters = leader.driver.status().configuration.voters
        return old not in voters and zone.members[name].spec.identity in voters

    await zone.wait_until(is_replaced, 10)
    await zone.wait_stable(3)


async def test_lost_voter_is_replaced_by_another_instance(
    make_zone: MakeZone, autojump_clock: MockClock
) -> None:
    """Guards against a group that a second failure stops although spare instances exist."""
    zone = make_zone(4, replace_after_s=5)
    await zone.start(*sorted(zone.plan.names()), bootstrap='entry-01')
    leader = await zone.wait_stable(3)
    lost = sorted(leader.driver.status().configuration.voters - {leader.spec.identity})[0]
    zone.kill(lost.split('~')[0])
    await zone.wait_until(lambda: lost not in leader.driver.status().configuration.voters, 15)
    await zone.wait_stable(3)


async def test_fan_out_in_large_zone_is_bounded(
    make_zone: MakeZone, autojump_clock: MockClock
) -> None:
    """Guards against a leader whose load grows with the number of instances."""
    zone = make_zone(38, disks=5)
    await zone.start(*sorted(zone.plan.names()), bootstrap='entry-01')
    leader = await zone.wait_stable(5, timeout_s=60)
    await trio.sleep(10)
    assert len(leader.tree.followers) == 4
    assert max(len(each.tree.followers) for each in zone.members.values()) == 9
    assert sum(len(each.tree.followers) for each in zone.members.values()) == 37
    assert len(leader.table.members(trio.current_time())) == 37
    await zone.members['entry-38'].authority.submit(PutObject('c', Customer('tailors'), 0))
    await zone.wait_until(
        lambda: all(each.state.zone.revision for each in zone.members.values()), PROPAGATION_LIMIT_S
    )
