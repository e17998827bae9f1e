"""A control instance's part in the group that holds the fleet's log."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from random import Random

import msgspec
import trio
from eliot import log_message

from shallotmux.authority import (
    AuthorityLimits,
    GroupDriver,
    GroupState,
    ReplicatedAuthority,
    RunBlocking,
    run_in_thread,
)
from shallotmux.control._seats import SeatView, next_seat_change
from shallotmux.errors import ShallotmuxError
from shallotmux.fleet import (
    JOIN_GROUP,
    Join,
    JoinAnswer,
    decode_join,
    decode_join_answer,
    encode_knowledge,
)
from shallotmux.replication import (
    Configuration,
    Effects,
    Replica,
    ReplicaOptions,
    Role,
    StoredGroup,
    bootstrap_group,
)
from shallotmux.storage import GroupStore, load_identity, store_identity
from shallotmux.transport import (
    ForwardAnswer,
    PeerEnvelope,
    PeerNetwork,
    Refusal,
    instance_name,
    new_identity,
)

#: Name of the group of control instances.
CONTROL_GROUP = 'control'

#: Interval at which the leader looks after the voters, and at which others ask to join.
CARE_S = 0.25

#: Time for which a request to join counts; it is repeated while it is not granted.
JOIN_MEMORY_S = 3.0
JOIN_TIMEOUT_S = 0.5

#: Time without a message of a leader after which a member asks whether it still is one.
ORPHAN_S = 3.0

#: Ticks of the replica in one heartbeat interval.
TICKS_PER_HEARTBEAT = 4

#: Time for handing leadership over at shutdown.
TRANSFER_S = 1.0

#: Replaced documents are of no use, so the log is kept short.
SNAPSHOT_AFTER_ENTRIES = 256
RETAINED_ENTRIES = 64


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """Settings of a control instance.

    :param name: address at which peers reach it.
    :param folder: data folder.
    :param seeds: names of the control instances that the settings name.
    :param bootstrap: whether the whole deployment starts for the first time.
    :param tolerated: disks that may be lost at once.
    """

    name: str
    folder: Path
    seeds: tuple[str, ...]
    bootstrap: bool
    tolerated: int = 1


def replica_options() -> ReplicaOptions:
    """Return the times of the control group.

    A configuration change must be acknowledged within seconds of a leader's loss.
    """
    return ReplicaOptions(
        heartbeat_s=0.2,
        election_min_s=0.8,
        election_max_s=1.4,
        lease_s=0.7,
        snapshot_after_entries=SNAPSHOT_AFTER_ENTRIES,
        retained_entries=RETAINED_ENTRIES,
        snapshot_retry_s=2.0,
    )


class ControlMember:
    """Replica, requests to join, and on the leader the care for the voters."""

    def __init__(
        self,
        settings: MemberSettings,
        network: PeerNetwork,
        random: Random,
        run_blocking: RunBlocking = run_in_thread,
    ) -> None:
        self.settings = settings
        self._network = network
        self._store = GroupStore(settings.folder)
        self.state = GroupState()
        opened = _open_disk(settings, self._store, random)
        self.identity = opened.identity
        stored = opened.stored
        if stored.snapshot is not None:
            kept = stored.snapshot
            self.state.restore(kept.index, kept.term, kept.payload)
        options = replica_options()
        now = trio.current_time()
        self.driver = GroupDriver(
            CONTROL_GROUP,
            self.identity,
            Replica(self.identity, stored, options, random, now),
            self.state,
            self._store,
            network.send,
            tick_s=options.heartbeat_s / TICKS_PER_HEARTBEAT,
            run_blocking=run_blocking,
        )
        self.authority = ReplicatedAuthority(
            self.driver, network, self.leader, AuthorityLimits(submit_s=SUBMIT_S), random
        )
        self._told_leader = ''
        self._known_peers = set(settings.seeds) | {settings.name}
        self._joining: dict[str, float] = {}
        self._led_term = 0
        self._led_since = now
        self._heard_at = now

    def leader(self) -> str | None:
        """Return the leader as far as this instance knows."""
        leader = self.driver.status().leader
        return leader or self._told_leader or None

    def peers(self) -> tuple[str, ...]:
        """Return the names of the control instances."""
        members = {instance_name(each) for each in self.driver.status().configuration.members}
        return tuple(sorted(members or self._known_peers))

    def update_seeds(self, seeds: Iterable[str]) -> None:
        """Take the seeds of changed settings."""
        self._known_peers.update(seeds)

    async def run(self) -> None:
        """Take part until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.driver.run)
            nursery.start_soon(self._join_repeatedly)
            while True:
                await trio.sleep(CARE_S)
                self._care(trio.current_time())

    def receive(self, envelope: PeerEnvelope) -> None:
        """Take a message of the replication protocol."""
        self.driver.receive(envelope)

    def handle_join_request(self, payload: bytes) -> ForwardAnswer:
        """Take note of an instance that wants to join."""
        try:
            join = decode_join(payload)
        except msgspec.DecodeError as error:
            return ForwardAnswer(refusal=Refusal.INVALID, detail=str(error))
        self._joining[join.identity] = trio.current_time()
        leader = instance_name(self.leader() or '')
        known = set(self.peers()) | {instance_name(join.identity)}
        return ForwardAnswer(encode_knowledge(JoinAnswer(leader, tuple(sorted(known)))))

    async def transfer_leadership(self) -> None:
        """Hand leadership to the follower that answered last."""
        with trio.move_on_after(TRANSFER_S):
            while self.driver.status().role is Role.LEADER:
                successor = self._find_successor()
                if successor is None:
                    return
                self.driver.transfer(successor)
                await trio.sleep(CARE_S)

    def close(self) -> None:
        """Release the files of the data folder."""
        self._store.close()

    def _find_successor(self) -> str | None:
        followers = self.driver.followers()
        voters = self.driver.status().configuration.voters & followers.keys()
        return max(
            sorted(voters),
            key=lambda each: (followers[each].heard_at, followers[each].match_index),
            default=None,
        )

    def _care(self, now: float) -> None:
        status = self.driver.status()
        self._known_peers.update(instance_name(each) for each in status.configuration.members)
        self._joining = {
            identity: at for identity, at in self._joining.items() if now - at < JOIN_MEMORY_S
        }
        if not self.driver.is_leader():
            return
        if status.term != self._led_term:
            self._led_term = status.term
            self._led_since = now
            log_message(message_type='shallotmux:leading', term=status.term)
        view = SeatView(
            self.identity,
            status.configuration,
            self.driver.followers(),
            frozenset(self._joining) - {self.identity},
            status.last_index,
            self._led_since,
            now,
            self.settings.tolerated,
        )
        change = next_seat_change(view)
        if change is not None and self.driver.change_membership(change):
            log_message(
                message_type='shallotmux:membership-change',
                group=CONTROL_GROUP,
                change=repr(change),
            )

    async def _join_repeatedly(self) -> None:
        """Ask to join while this instance is no member, or no leader speaks to it."""
        while True:
            await trio.sleep(CARE_S)
            if not self._is_orphan(trio.current_time()):
                self._told_leader = ''
                continue
            async with trio.open_nursery() as nursery:
                for peer in sorted(self._known_peers - {self.settings.name}):
                    nursery.start_soon(self._ask_to_join, peer)

    def _is_orphan(self, now: float) -> bool:
        """Return whether nobody in the group seems to count this instance as a member."""
        status = self.driver.status()
        if status.role is Role.LEADER or status.leader is not None:
            self._heard_at = max(self._heard_at, status.last_leader_contact)
        is_member = self.identity in status.configuration.members
        return not is_member or now - self._heard_at > ORPHAN_S

    async def _ask_to_join(self, peer: str) -> None:
        payload = encode_knowledge(Join(self.identity))
        try:
            answer = await self._network.forward(peer, JOIN_GROUP, payload, JOIN_TIMEOUT_S)
            if answer.refusal is Refusal.NONE:
                told = decode_join_answer(answer.result)
                self._known_peers.update(told.peers)
                self._told_leader = told.leader or self._told_leader
        except (ShallotmuxError, msgspec.DecodeError) as error:
            log_message(
                message_type='shallotmux:join-unanswered',
                level='debug',
                peer=peer,
                error=str(error),
            )


#: Time in which a command must commit. An operator asks elsewhere after a second.
SUBMIT_S = 0.9


@dataclass(frozen=True, slots=True)
class _OpenedDisk:
    """Identity that a disk belongs to, and the log on it."""

    identity: str
    stored: StoredGroup


def _open_disk(settings: MemberSettings, store: GroupStore, random: Random) -> _OpenedDisk:
    """Return the identity and the log of this disk.

    A seed of a first start keeps its name as identity, since the other seeds count it among the
    first voters. An empty disk at any other time may be one that was wiped: what it voted for is
    forgotten, so it joins under a new identity.
    """
    settings.folder.mkdir(parents=True, exist_ok=True)
    identity = load_identity(settings.folder)
    if identity is not None:
        stored = store.load()
        return _OpenedDisk(identity, stored or StoredGroup())
    is_founder = settings.bootstrap and settings.name in settings.seeds
    identity = settings.name if is_founder else new_identity(settings.name, random)
    store_identity(settings.folder, identity)
    store.load()
    if not is_founder:
        return _OpenedDisk(identity, StoredGroup())
    voters = frozenset(settings.seeds)
    started = bootstrap_group(Configuration(voters, disks=voters))
    store.save(Effects(started.hard_state, started.entries))
    return _OpenedDisk(identity, started)
