"""Membership of a control instance in the replicated control group."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace
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
from shallotmux.control._group_changes import ControlGroupView, next_group_change
from shallotmux.control._group_health import GroupHealth, assess_group, log_health
from shallotmux.control._join_requests import JoinRequests
from shallotmux.control._leader_search import LeaderSearch
from shallotmux.control._leaving import (
    LEAVE_TIMEOUT_S,
    Departures,
    leave_group,
    transfer_leadership,
)
from shallotmux.control._member_zones import MemberZones
from shallotmux.control._timeouts import ELECTION_MAX_S, choose_timeouts
from shallotmux.control._voter_placement import MemberStability
from shallotmux.errors import ShallotmuxError, StorageError
from shallotmux.fleet import (
    JOIN_GROUP,
    Join,
    JoinAnswer,
    decode_join,
    decode_join_answer,
    encode_fleet_message,
)
from shallotmux.replication import (
    Configuration,
    Effects,
    MembershipChange,
    RemoveMember,
    Replica,
    ReplicaOptions,
    StoredGroup,
    bootstrap_group,
    initial_voters,
)
from shallotmux.storage import (
    FileSystem,
    GroupStore,
    LocalFileSystem,
    load_identity,
    store_identity,
)
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

#: Interval at which non-members ask to join.
MEMBERSHIP_INTERVAL_S = 0.25

#: Interval at which the leader checks the membership.
CHECK_INTERVAL_S = 0.1

#: Timeout of a join request.
JOIN_TIMEOUT_S = 0.5

#: Time without contact to a leader after which a member asks its peers for it and to join again, as it
#: may have been removed. Most elections are over by then.
REJOIN_AFTER_S = ELECTION_MAX_S

#: Replaced documents are not needed any more, so the log is compacted early.
SNAPSHOT_AFTER_ENTRIES = 256
RETAINED_ENTRIES = 64


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """Settings of a control instance.

    :param name: address at which peers reach the instance.
    :param folder: data folder.
    :param seeds: names of the control instances in the settings.
    :param bootstrap: whether the deployment starts for the first time.
    :param tolerated: number of disks that may be lost at once.
    :param zone: availability zone of the instance; empty if it is unknown.
    :param replacement_s: time after which a lost instance must not count any more, as another one may
        be lost then.
    """

    name: str
    folder: Path
    seeds: tuple[str, ...]
    bootstrap: bool
    tolerated: int = 1
    zone: str = ''
    replacement_s: float = 6.0


def replica_options() -> ReplicaOptions:
    """Return the replication options of the control group.

    The timeouts let a configuration change be acknowledged within seconds of the loss of a leader.
    """
    return ReplicaOptions(
        heartbeat_s=0.2,
        election_min_s=0.8,
        election_max_s=ELECTION_MAX_S,
        lease_s=0.7,
        snapshot_after_entries=SNAPSHOT_AFTER_ENTRIES,
        retained_entries=RETAINED_ENTRIES,
        snapshot_retry_s=2.0,
    )


class ControlMember:
    """Replica of the control group, join requests and, on the leader, membership changes."""

    def __init__(
        self,
        settings: MemberSettings,
        network: PeerNetwork,
        random: Random,
        run_blocking: RunBlocking = run_in_thread,
        files: FileSystem | None = None,
    ) -> None:
        self.settings = settings
        self._network = network
        files = files or LocalFileSystem()
        self._store = GroupStore(settings.folder, files)
        self.state = GroupState()
        try:
            opened = _open_disk(settings, self._store, files, random)
        except StorageError:
            # The member may be opened again in this process once the disk accepts writes.
            self._store.close()
            raise
        self.identity = opened.identity
        #: Whether the deployment starts for the first time, by what the disk holds. The setting
        #: stays true in a process that is rebuilt from its disk later.
        self.is_first_start = opened.is_first_start
        stored = opened.stored
        if stored.snapshot is not None:
            snapshot = stored.snapshot
            self.state.restore(snapshot.index, snapshot.term, snapshot.payload)
            self.state.outdated_since = trio.current_time()
        options = replica_options()
        now = trio.current_time()
        self.driver = GroupDriver(
            CONTROL_GROUP,
            self.identity,
            Replica(self.identity, stored, options, random, now),
            self.state,
            self._store,
            network.send,
            tick_s=options.tick_s,
            run_blocking=run_blocking,
        )
        self.authority = ReplicatedAuthority(
            self.driver,
            network,
            self.leader,
            AuthorityLimits(submit_s=SUBMIT_TIMEOUT_S),
            random,
            self.has_no_leader,
        )
        #: Health of the group; None while this instance does not lead.
        self.health: GroupHealth | None = None
        self._search = LeaderSearch(settings.name)
        #: Zones of the members.
        self.zones = MemberZones(self.identity, settings.zone, network, self.driver.status)
        self._timeouts = choose_timeouts(settings.tolerated, settings.replacement_s)
        self._known_peers = set(settings.seeds) | {settings.name}
        self._joining = JoinRequests()
        self._departures = Departures()
        self._stability = MemberStability()
        self._answered_at: dict[str, float] = {}
        self._led_term = 0
        self._led_since = now
        self._leader_contact_at = now

    def leader(self) -> str | None:
        """Return the leader, if this instance or a peer knows it."""
        leader = self.driver.status().leader
        return leader or self._search.leader or None

    def has_no_leader(self) -> bool:
        """Return whether neither this instance nor a peer has known a leader since an election's time."""
        is_unknown = self.driver.status().leader is None
        return is_unknown and self._search.has_failed(trio.current_time())

    def peers(self) -> tuple[str, ...]:
        """Return the names of the control instances."""
        members = {instance_name(each) for each in self.driver.status().configuration.members}
        return tuple(sorted(members or self._known_peers))

    def answering_peers(self, max_age_s: float) -> list[str]:
        """Return the instances that answered a join request within a time."""
        since = trio.current_time() - max_age_s
        return sorted(each for each, at in self._answered_at.items() if at >= since)

    def leads_since(self, term: int) -> float:
        """Return the local time since when this instance leads in a term; infinity before."""
        return self._led_since if self._led_term == term else math.inf

    def update_seeds(self, seeds: Iterable[str]) -> None:
        """Add the seeds of changed settings to the known peers."""
        self._known_peers.update(seeds)

    async def run(self) -> None:
        """Run the replica and maintain the membership until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.driver.run)
            nursery.start_soon(self._join_repeatedly)
            nursery.start_soon(self.zones.announce_repeatedly)
            while True:
                await trio.sleep(CHECK_INTERVAL_S)
                self._update_membership(trio.current_time())

    def receive(self, envelope: PeerEnvelope) -> None:
        """Process a message of the replication protocol."""
        self.driver.receive(envelope)

    def handle_join_request(self, payload: bytes) -> ForwardAnswer:
        """Record the join request of an instance and return the answer to it."""
        try:
            join = decode_join(payload)
        except msgspec.DecodeError as error:
            return ForwardAnswer(refusal=Refusal.INVALID, detail=str(error))
        self._joining.record(join.identity, trio.current_time())
        self.zones.record(join.identity, join.zone)
        # What peers have told is not passed on: two instances could keep a leader that is gone in each
        # other's memory.
        status = self.driver.status()
        leader = instance_name(status.leader or '')
        known = set(self.peers()) | {instance_name(join.identity)}
        answer = JoinAnswer(leader, tuple(sorted(known)), status.term)
        return ForwardAnswer(encode_fleet_message(answer))

    async def transfer_leadership(self) -> None:
        """Transfer leadership to the voter that answered last, if this instance leads."""
        with trio.move_on_after(LEAVE_TIMEOUT_S):
            await transfer_leadership(self.driver)

    async def leave(self) -> None:
        """Hand leadership and the vote over, since an instance that stops may not come back."""
        await leave_group(self.driver, self._network)

    def handle_leave_notice(self, payload: bytes) -> ForwardAnswer:
        """Record that an instance stops, and answer whether its vote is about to be given away."""
        return self._departures.answer(self.driver, payload)

    def close(self) -> None:
        """Close the files in the data folder."""
        self._store.close()

    def _update_membership(self, now: float) -> None:
        status = self.driver.status()
        self._known_peers.update(instance_name(each) for each in status.configuration.members)
        joining = self._joining.valid(now)
        self.zones.retain(status.configuration.members | joining)
        if not self.driver.is_leader():
            self.health = None
            return
        if status.term != self._led_term:
            self._led_term = status.term
            self._led_since = now
            self._stability = MemberStability()
            log_message(message_type='shallotmux:leading', term=status.term)
        view = ControlGroupView(
            self.identity,
            status.configuration,
            self.driver.followers(),
            joining - {self.identity},
            status.last_index,
            self._led_since,
            now,
            self.settings.tolerated,
            self._timeouts,
            zones=self.zones.known(),
            leaving=self._departures.valid(now),
        )
        self._update_health(assess_group(view))
        live = frozenset(filter(view.is_live, view.configuration.members))
        live_since = self._stability.update(view.configuration.voters, live, now)
        change = next_group_change(replace(view, live_since=live_since))
        if change is not None and self.driver.change_membership(change):
            self._keep_as_learner(change, view)

    def _keep_as_learner(self, change: MembershipChange, view: ControlGroupView) -> None:
        """Let a removed voter join again at once if it is live, since it is not told of its removal."""
        if isinstance(change, RemoveMember) and view.is_live(change.name):
            self._joining.record_for_removed(change.name, view.now)

    def _update_health(self, health: GroupHealth) -> None:
        if health != self.health:
            log_health(health)
        self.health = health

    async def _join_repeatedly(self) -> None:
        """Send join requests while this instance is not a member or has no contact with a leader."""
        while True:
            await trio.sleep(MEMBERSHIP_INTERVAL_S)
            if not self._needs_to_join(trio.current_time()):
                self._search.stop()
                continue
            self._search.begin_round(trio.current_time())
            async with trio.open_nursery() as nursery:
                for peer in sorted(self._known_peers - {self.settings.name}):
                    nursery.start_soon(self._send_join_request, peer)
            self._search.end_round()

    def _needs_to_join(self, now: float) -> bool:
        """Return whether this instance is not a member, or has lost contact with the leader."""
        status = self.driver.status()
        self._leader_contact_at = max(self._leader_contact_at, status.last_leader_contact)
        is_member = self.identity in status.configuration.members
        return not is_member or now - self._leader_contact_at > REJOIN_AFTER_S

    async def _send_join_request(self, peer: str) -> None:
        payload = encode_fleet_message(Join(self.identity, self.settings.zone))
        try:
            answer = await self._network.forward(peer, JOIN_GROUP, payload, JOIN_TIMEOUT_S)
            if answer.refusal is Refusal.NONE:
                self._answered_at[peer] = trio.current_time()
                join_answer = decode_join_answer(answer.result)
                self._known_peers.update(join_answer.peers)
                self._search.record(join_answer)
        except (ShallotmuxError, msgspec.DecodeError) as error:
            log_message(
                message_type='shallotmux:join-unanswered',
                level='debug',
                peer=peer,
                error=str(error),
            )


#: Timeout of a commit. An operator's client tries another instance after one second.
SUBMIT_TIMEOUT_S = 0.9


@dataclass(frozen=True, slots=True)
class _OpenedDisk:
    """Identity stored on a disk, and the log on it.

    :param is_first_start: whether the group was not used before.
    """

    identity: str
    stored: StoredGroup
    is_first_start: bool


def _open_disk(
    settings: MemberSettings, store: GroupStore, files: FileSystem, random: Random
) -> _OpenedDisk:
    """Return the identity and the log on the disk; an empty disk is initialized.

    At the first start of a deployment, a seed uses its name as identity, since the other seeds list
    it as an initial voter. At any other time, an empty disk may have been wiped: its vote is lost,
    and voting again under the old identity could elect two leaders in one term. The instance
    therefore joins under a new identity.

    The group is stored before the identity: an initial voter whose identity is stored is able to
    elect a leader, even if the start was interrupted and the deployment's first start is over.
    """
    identity = load_identity(settings.folder, files)
    stored = store.load()
    is_empty_disk = identity is None and stored is None
    is_initial_voter = settings.bootstrap and settings.name in settings.seeds
    # An identity without a group is left by earlier builds, which stored the identity first.
    if stored is None and is_initial_voter and identity in {None, settings.name}:
        voters = frozenset(settings.seeds)
        stored = bootstrap_group(Configuration(voters, disks=voters))
        store.save(Effects(stored.hard_state, stored.entries))
    is_unused = stored is not None and settings.name in initial_voters(stored)
    if identity is None:
        identity = settings.name if is_unused else new_identity(settings.name, random)
        store_identity(settings.folder, identity, files)
    is_first_start = is_unused or (settings.bootstrap and is_empty_disk)
    return _OpenedDisk(identity, stored or StoredGroup(), is_first_start)
