"""Runs one instance's membership in one replication group."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from operator import attrgetter
from random import Random

import msgspec
import trio

from shallotmux.authority import (
    AuthorityLimits,
    GroupDriver,
    GroupState,
    GroupStorage,
    ReplicatedAuthority,
    RunBlocking,
    run_in_thread,
)
from shallotmux.membership._local_membership import LocalMembership
from shallotmux.membership._messages import (
    MembershipMessage,
    Poll,
    Probe,
    Report,
    Update,
    decode_message,
    encode_message,
)
from shallotmux.membership._policy import GroupPlan, GroupView, next_change
from shallotmux.membership._propagation import lowest_revisions
from shallotmux.membership._table import MemberState, MemberTable, SuspicionTimeouts
from shallotmux.membership._tree import ReportTree
from shallotmux.replication import (
    Configuration,
    Effects,
    Replica,
    ReplicaOptions,
    Role,
    StoredGroup,
    bootstrap_group,
    recover_group,
)
from shallotmux.transport import Channel, ForwardAnswer, PeerEnvelope, PeerNetwork

#: Members probed directly per interval; the remaining ones are probed in later intervals.
MAX_PROBES_PER_INTERVAL = 3

#: Maximum number of entries by which a learner may lag and still count as caught up.
MAX_LEARNER_LAG_ENTRIES = 64

#: Limit for transferring leadership at shutdown; after it, the group elects the next leader.
TRANSFER_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class MemberSpec:
    """Specification of one instance's membership in one group.

    :param identity: name of the instance, followed by an incarnation if it has no disk.
    :param bootstrap: whether to create the group if nothing is stored; set on one instance only.
    :param recover: whether to recreate the group from this disk alone, after its other voters
        have lost the log; set on one instance only.
    """

    group: str
    identity: str
    zone: str
    has_disk: bool
    plan: GroupPlan
    bootstrap: bool = False
    recover: bool = False


@dataclass(frozen=True, slots=True)
class GroupOptions:
    """Timing and limits of a group.

    :param poll_s: interval of polls and reports.
    :param membership_interval_s: interval at which the leader probes and changes the members.
    :param replace_after_s: time without a report after which a voter is replaced.
    """

    replica: ReplicaOptions = ReplicaOptions(0.6, 1.5, 2.3, 1.4)
    limits: AuthorityLimits = AuthorityLimits()
    timeouts: SuspicionTimeouts = SuspicionTimeouts()
    poll_s: float = 1.0
    membership_interval_s: float = 0.5
    replace_after_s: float = 30.0
    run_blocking: RunBlocking = run_in_thread


class GroupMember:
    """One group on this instance: replica driver, report tree and, on the leader, voter changes."""

    def __init__(
        self,
        spec: MemberSpec,
        network: PeerNetwork,
        store: GroupStorage,
        options: GroupOptions,
        random: Random,
    ) -> None:
        now = trio.current_time()
        self.spec = spec
        self._network = network
        self._options = options
        self._random = random
        self.state = GroupState()
        stored = _load_or_bootstrap(spec, store)
        if stored.snapshot is not None:
            snapshot = stored.snapshot
            self.state.restore(snapshot.index, snapshot.term, snapshot.payload)
        replica = Replica(spec.identity, stored, options.replica, random, now)
        self.driver = GroupDriver(
            spec.group,
            spec.identity,
            replica,
            self.state,
            store,
            network.send,
            tick_s=options.replica.tick_s,
            run_blocking=options.run_blocking,
        )
        self.table = MemberTable(options.timeouts, now)
        self.membership = LocalMembership(
            spec.identity, spec.zone, spec.has_disk, self.driver, spec.plan
        )
        self.tree = ReportTree(
            self.membership,
            self.state,
            self.table,
            self._send,
            interval_s=options.poll_s,
            random=random,
        )
        self.authority = ReplicatedAuthority(
            self.driver, network, self.tree.leader, options.limits, random
        )
        self.driver.before_reply = self.tree.poll_with_reply
        self._observed_term = 0

    async def run(self) -> None:
        """Run the driver and the report tree, and manage the members while leading."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.driver.run)
            nursery.start_soon(self.tree.run)
            while True:
                await trio.sleep(self._options.membership_interval_s)
                if self.driver.is_leader():
                    self._update_membership(trio.current_time())

    def receive(self, envelope: PeerEnvelope) -> None:
        """Handle an envelope addressed to this instance; undecodable ones are dropped."""
        if envelope.channel is Channel.REPLICATION:
            self.driver.receive(envelope)
            return
        try:
            message = decode_message(envelope.payload)
        except msgspec.DecodeError:
            return
        self._handle_message(envelope.sender, message)

    def zone_revisions(self) -> Mapping[str, int]:
        """Return the lowest revision in force per zone, as last published by the leader."""
        return self.tree.zone_revisions

    async def handle_forward(self, command: bytes) -> ForwardAnswer:
        """Commit a command forwarded by a peer, and return its result or a refusal."""
        return await self.driver.commit(command, self._options.limits.submit_s)

    async def leave(self) -> None:
        """Announce the shutdown, and transfer leadership to the most up-to-date live voter."""
        self.membership.is_leaving = True
        with trio.move_on_after(TRANSFER_TIMEOUT_S):
            while self.driver.status().role is Role.LEADER and self._transfer_leadership():
                await trio.sleep(self._options.replica.heartbeat_s)

    def _transfer_leadership(self) -> bool:
        """Start a transfer of leadership; return False if there is no live voter for it."""
        now = trio.current_time()
        configuration = self.driver.status().configuration
        others = configuration.voters - configuration.witnesses - {self.spec.identity}
        reports = [
            member.report
            for identity, member in self.table.members(now).items()
            if identity in others and member.state is MemberState.LIVE
        ]
        for report in sorted(reports, key=lambda each: -each.applied_index)[:1]:
            self.driver.transfer(report.identity)
        return bool(reports)

    def _handle_message(self, sender: str, message: MembershipMessage) -> None:
        match message:
            case Poll():
                self.tree.handle_poll(sender, message)
            case Update():
                self.tree.handle_update(message)
            case Report():
                self.table.record((message,), trio.current_time())
            case Probe():
                self._send(sender, self.membership.own_report())

    def _send(self, recipient: str, message: MembershipMessage, may_wait: bool = False) -> None:
        spec = self.spec
        payload = encode_message(message)
        self._network.send(
            PeerEnvelope(
                spec.group, spec.identity, recipient, Channel.MEMBERSHIP, payload, may_wait
            )
        )

    def _update_membership(self, now: float) -> None:
        """Probe suspected members, update the revisions in force, and start one change."""
        status = self.driver.status()
        if status.term != self._observed_term:
            self._observed_term = status.term
            self.table.restart_observation(now)
        members = self.table.members(now)
        self._probe(now)
        ordered = sorted(members.values(), key=attrgetter('heard_at'))
        reports = [member.report for member in ordered]
        self.tree.zone_revisions = lowest_revisions(
            self.spec.plan, (*reports, self.membership.own_report())
        )
        change = next_change(self.spec.plan, self._build_view(status.configuration, now))
        if change is not None:
            self.driver.change_membership(change)

    def _probe(self, now: float) -> None:
        configuration = self.driver.status().configuration
        others = configuration.members - {self.spec.identity}
        unresponsive = [
            each
            for each in sorted(others)
            if self.table.state_of(each, now) in {MemberState.SUSPECTED, MemberState.DOWN}
        ]
        probed = self._random.sample(unresponsive, min(len(unresponsive), MAX_PROBES_PER_INTERVAL))
        for each in probed:
            self._send(each, Probe())

    def _build_view(self, configuration: Configuration, now: float) -> GroupView:
        table, replace_after_s = self.table, self._options.replace_after_s
        live = {
            identity: member.report
            for identity, member in table.members(now).items()
            if member.state is MemberState.LIVE
        }
        lost = {
            each
            for each in configuration.members - {self.spec.identity}
            if table.silence_s(each, now) >= replace_after_s
            or (each not in live and table.is_delisted(each))
        }
        min_applied_index = self.state.applied_index - MAX_LEARNER_LAG_ENTRIES
        caught_up = {
            identity
            for identity, report in live.items()
            if report.applied_index >= min_applied_index
        }
        return GroupView(
            self.spec.identity, configuration, live, frozenset(lost), frozenset(caught_up)
        )


def _load_or_bootstrap(spec: MemberSpec, store: GroupStorage) -> StoredGroup:
    """Return the stored group, or a bootstrapped or recovered one if the specification asks so."""
    stored = store.load()
    if stored is not None and spec.recover:
        recovered = recover_group({spec.identity: stored})[1]
        store.save(Effects(recovered.hard_state, recovered.entries[-1:]))
        return recovered
    if stored is not None:
        return stored
    if not spec.bootstrap:
        return StoredGroup()
    own = frozenset((spec.identity,))
    started = bootstrap_group(Configuration(own, disks=own if spec.has_disk else frozenset()))
    store.save(Effects(started.hard_state, started.entries))
    return started
