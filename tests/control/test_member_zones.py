"""Tests of the zones that members announce to the leader of the control group."""

from __future__ import annotations

from pathlib import Path

import trio
import trio.testing

from shallotmux.control._member_zones import ANNOUNCEMENT_REFRESH_S, MemberZones
from shallotmux.errors import OutcomeUnknown
from shallotmux.fleet import AnnouncementAnswer, encode_fleet_message
from shallotmux.replication import Configuration, ReplicaStatus, Role
from shallotmux.transport import ForwardAnswer, PeerEnvelope, PeerHandler, Refusal
from tests.control._instances import SEEDS, ControlGroup

FIRST, SECOND, THIRD = SEEDS
FOURTH = '10.0.0.4:7'
ZONES = {FIRST: 'east', SECOND: 'west', THIRD: 'north', FOURTH: 'south'}


def known_zones(group: ControlGroup, leader: str) -> dict[str, str]:
    """Return the zones that an instance knows, by the name of the instance."""
    known = group.running[leader].member.zones.known()
    return {identity.split('~')[0]: zone for identity, zone in known.items()}


async def test_new_leader_learns_all_zones_within_a_second(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    """Guards against voters that are placed without regard to zones after a change of leader."""
    group = ControlGroup(nursery, tmp_path, zones=ZONES)
    await group.bootstrap()
    await group.start(FOURTH, bootstrap=True)
    await trio.sleep(2)
    leader = (await group.wait_for_leader()).member.settings.name
    assert known_zones(group, leader) == ZONES
    # Killed together, so that nothing of the zones is left in a memory.
    for name in ZONES:
        await group.kill(name)
    for name in ZONES:
        await group.start(name)
    leader = (await group.wait_for_leader()).member.settings.name
    await trio.sleep(1)
    assert known_zones(group, leader) == ZONES


async def test_zone_of_a_lost_member_is_forgotten(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    """Guards against a memory that grows with each instance that is replaced."""
    group = ControlGroup(nursery, tmp_path, zones=ZONES)
    await group.bootstrap()
    await group.start(FOURTH, bootstrap=True)
    await trio.sleep(2)
    leader = (await group.wait_for_leader()).member.settings.name
    await group.kill(FOURTH)
    await trio.sleep(25)
    assert known_zones(group, leader) == {each: ZONES[each] for each in SEEDS}


class AnnouncementNetwork:
    """Network that records the peers to which commands are forwarded.

    :param answers: answers in turn, None for one that is lost; an empty one follows.
    """

    def __init__(self, *answers: ForwardAnswer | None) -> None:
        self.peers: list[str] = []
        self._answers = list(answers)

    async def run(
        self, handler: PeerHandler, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Receive nothing."""

    def send(self, envelope: PeerEnvelope) -> None:
        """Drop an envelope."""

    async def forward(
        self, peer: str, group: str, command: bytes, timeout_s: float
    ) -> ForwardAnswer:
        """Return the next answer."""
        self.peers.append(peer)
        answer = self._answers.pop(0) if self._answers else ForwardAnswer()
        if answer is None:
            raise OutcomeUnknown('no answer', step='forward', peer=peer)
        return answer


async def announce(network: AnnouncementNetwork, zone: str, seconds: float) -> MemberZones:
    """Let instance ``b`` of a zone announce it to leader ``a`` for some time."""
    configuration = Configuration(frozenset(('a:1', 'b:1')))
    status = ReplicaStatus(Role.FOLLOWER, 3, 'a:1', 1, 1, 0, 0, configuration)
    zones = MemberZones('b:1', zone, network, lambda: status)
    with trio.move_on_after(seconds):
        await zones.announce_repeatedly()
    return zones


async def test_answered_announcement_is_repeated_rarely(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a stream of announcements, also to a leader of a build that refuses them."""
    for answer in (ForwardAnswer(), ForwardAnswer(refusal=Refusal.NOT_COMMITTED)):
        network = AnnouncementNetwork(answer)
        await announce(network, 'east', ANNOUNCEMENT_REFRESH_S)
        assert network.peers == ['a:1']
        await announce(network, 'east', 10 * ANNOUNCEMENT_REFRESH_S)
        assert len(network.peers) <= 11


async def test_lost_announcement_is_repeated_soon(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a leader that never learns the zone of a member."""
    network = AnnouncementNetwork(None, None)
    await announce(network, 'east', 1)
    assert network.peers == ['a:1', 'a:1', 'a:1']


async def test_member_learns_the_zones_of_the_others(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a new leader that does not know the zone of the one before it, which is lost."""
    answer = encode_fleet_message(AnnouncementAnswer({'a:1': 'west', 'b:1': 'east'}))
    zones = await announce(AnnouncementNetwork(ForwardAnswer(answer)), 'east', 1)
    assert zones.known() == {'a:1': 'west', 'b:1': 'east'}


async def test_odd_answer_is_ignored(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against an answer of another build that ends the process."""
    zones = await announce(AnnouncementNetwork(ForwardAnswer(b'\x93odd')), 'east', 1)
    assert zones.known() == {'b:1': 'east'}


async def test_unknown_zone_is_not_announced(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against announcements that tell nothing."""
    network = AnnouncementNetwork()
    await announce(network, '', 30)
    assert not network.peers
