"""The replication groups that an instance is a member of."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection
from dataclasses import replace
from pathlib import Path
from random import Random, SystemRandom

import trio

from shallotmux.authority import (
    Authority,
    AuthorityLimits,
    FleetAuthority,
    LocalAuthority,
    RunBlocking,
    run_in_thread,
)
from shallotmux.errors import SettingsError
from shallotmux.membership import (
    GroupMember,
    GroupOptions,
    GroupPlan,
    MemberSpec,
    PropagationTracker,
)
from shallotmux.replication import ReplicaOptions
from shallotmux.settings import Settings
from shallotmux.storage import GroupStore, VolatileStore
from shallotmux.transport import (
    ForwardAnswer,
    GrpcPeerNetwork,
    PeerEnvelope,
    PeerNetwork,
    PeerTls,
    Refusal,
    instance_name,
    new_identity,
)

#: Name of the group that all zones share. Names of zone groups have a prefix, so that a zone cannot
#: have the same name.
FLEET_GROUP = 'fleet'
ZONE_PREFIX = 'zone/'

#: Factor by which the timeouts of the fleet group exceed those of zone groups.
FLEET_TIMEOUT_FACTOR = 2


class InstanceGroups:
    """The zone group of an instance, the fleet group, and the groups that it is a witness of.

    :param bootstrap: names of the groups to start when nothing is stored.
    :param recover: names of the groups to restore from this instance's disk alone.
    :param network: network to use instead of the one that the settings describe.
    :raises SettingsError: if a group to start is unknown, or this instance has no disk.
    """

    def __init__(
        self,
        settings: Settings,
        bootstrap: Collection[str] = (),
        network: PeerNetwork | None = None,
        recover: Collection[str] = (),
        run_blocking: RunBlocking = run_in_thread,
    ) -> None:
        instance = settings.instance
        self._settings = settings
        self._bootstrap = frozenset(bootstrap)
        self._recover = frozenset(recover)
        self._has_disk = any(each.has_disk for each in settings.peers if each.name == instance.name)
        self.identity = (
            instance.name if self._has_disk else new_identity(instance.name, SystemRandom())
        )
        self._network = network or make_network(settings)
        self._options = group_options(settings, run_blocking)
        plans = group_plans(settings)
        requested = self._bootstrap | self._recover
        if requested - frozenset(plans) or (requested and not self._has_disk):
            raise SettingsError(
                f'groups {sorted(requested)}: starting one needs a disk and one of {sorted(plans)}',
                step='bootstrap',
            )
        self.members = {name: self._create_member(name, plan) for name, plan in plans.items()}
        zone = self.members[ZONE_PREFIX + instance.zone]
        fleet = self.members[FLEET_GROUP]
        fleet.tree.is_piggybacked = True
        zone.tree.piggybacked_trees.append(fleet.tree)
        self.authority = FleetAuthority(zone.authority, fleet.authority)
        self.propagation = PropagationTracker(zone, fleet, fleet.spec.plan.zones)

    async def run(self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Run the members of all groups until cancelled; ``task_status`` receives the address."""
        async with trio.open_nursery() as nursery:
            address = await nursery.start(self._network.run, self)
            for member in self.members.values():
                nursery.start_soon(member.run)
            task_status.started(address)

    async def leave(self) -> None:
        """Announce the shutdown, and transfer leadership in all groups."""
        async with trio.open_nursery() as nursery:
            for member in self.members.values():
                nursery.start_soon(member.leave)

    def receive(self, envelope: PeerEnvelope) -> None:
        """Pass an envelope for this incarnation to its group."""
        member = self.members.get(envelope.group)
        names = {self.identity, instance_name(self.identity)}
        if member is not None and envelope.recipient in names:
            member.receive(envelope)

    async def handle_forward(self, group: str, command: bytes) -> ForwardAnswer:
        """Commit a command forwarded by a peer."""
        member = self.members.get(group)
        if member is None:
            return ForwardAnswer(refusal=Refusal.NOT_COMMITTED, detail=f'no group {group!r}')
        return await member.handle_forward(command)

    def _create_member(self, name: str, plan: GroupPlan) -> GroupMember:
        instance = self._settings.instance
        spec = MemberSpec(
            name,
            self.identity,
            instance.zone,
            self._has_disk,
            plan,
            bootstrap=name in self._bootstrap,
            recover=name in self._recover,
        )
        store: GroupStore | VolatileStore = VolatileStore()
        if self._has_disk:
            folder = Path(instance.data_folder) / 'groups' / name.replace('/', '-')
            store = GroupStore(folder)
        random = Random(SystemRandom().getrandbits(64))  # noqa: S311
        options = self._options
        if name == FLEET_GROUP:
            options = replace(options, replica=scale_timeouts(options.replica))
        return GroupMember(spec, self._network, store, options, random)


def choose_authority(settings: Settings, groups: InstanceGroups | None) -> Authority:
    """Return the authority of an instance.

    :raises SettingsError: if the settings name no peers and do not set ``groups.standalone``.
    """
    if groups is not None:
        return groups.authority
    if settings.groups.standalone:
        return LocalAuthority(settings.instance.name)
    raise SettingsError('peers: empty, but groups.standalone is not set', step='settings')


def make_network(settings: Settings) -> GrpcPeerNetwork:
    """Return the network that the settings describe."""
    addresses = {each.name: each.address for each in settings.peers}
    files = settings.peer_tls
    tls = PeerTls(files.authority, files.certificate, files.private_key) if files else None
    name = settings.instance.name
    return GrpcPeerNetwork(name, addresses[name], addresses, tls)


def group_plans(settings: Settings) -> dict[str, GroupPlan]:
    """Return the plans of the groups that the instance is a member of, by group name."""
    zones: dict[str, tuple[str, ...]] = defaultdict(tuple)
    for peer in sorted(settings.peers, key=lambda each: each.name):
        zones[peer.zone] += (peer.name,)
    disks = frozenset(each.name for each in settings.peers if each.has_disk)
    witnesses = settings.groups.witnesses
    instance = settings.instance
    plans = {FLEET_GROUP: GroupPlan(dict(zones), disks, one_per_zone=True)}
    for zone, names in zones.items():
        if zone == instance.zone or witnesses.get(zone) == instance.name:
            plans[ZONE_PREFIX + zone] = GroupPlan({zone: names}, disks, witnesses.get(zone, ''))
    return plans


def group_options(settings: Settings, run_blocking: RunBlocking) -> GroupOptions:
    """Return the group options that the settings describe."""
    groups = settings.groups
    return GroupOptions(
        replica=ReplicaOptions(
            heartbeat_s=groups.heartbeat_s,
            election_min_s=groups.election_min_s,
            election_max_s=groups.election_max_s,
            lease_s=groups.lease_s,
        ),
        limits=AuthorityLimits(groups.freshness_limit_s, groups.submit_limit_s),
        poll_s=groups.poll_s,
        replace_after_s=groups.replace_after_s,
        run_blocking=run_blocking,
    )


def scale_timeouts(options: ReplicaOptions) -> ReplicaOptions:
    """Return options with longer timeouts, for the fleet group.

    The fleet group changes rarely and sends no orders, so a slower failover costs little.
    """
    return replace(
        options,
        heartbeat_s=FLEET_TIMEOUT_FACTOR * options.heartbeat_s,
        election_min_s=FLEET_TIMEOUT_FACTOR * options.election_min_s,
        election_max_s=FLEET_TIMEOUT_FACTOR * options.election_max_s,
        lease_s=FLEET_TIMEOUT_FACTOR * options.lease_s,
    )
