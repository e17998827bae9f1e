"""Status of the fleet and usage for operators, from the state of an instance's groups."""

from __future__ import annotations

import datetime
from collections.abc import Sequence
from dataclasses import dataclass, replace

import trio

from shallotmux.authority import WINDOW_S, Authority, Window
from shallotmux.daemon._groups import ZONE_PREFIX, InstanceGroups
from shallotmux.membership import Member
from shallotmux.operators import (
    EndpointStatus,
    FleetStatus,
    InstanceStatus,
    LocalStatus,
    Reach,
    UsageRow,
    ZoneStatus,
)
from shallotmux.transport import instance_name


@dataclass(frozen=True, slots=True)
class ZoneUsage:
    """Usage windows from the state of a zone."""

    authority: Authority
    zone: str

    def usage(self, customer: str | None) -> Sequence[UsageRow]:
        """Return the usage of one customer, or of all, oldest window first."""
        windows = self.authority.read().usage.windows.values()
        ordered = sorted(windows, key=lambda each: (each.window, each.customer))
        return [self._row(each) for each in ordered if customer in {None, each.customer}]

    def _row(self, window: Window) -> UsageRow:
        start = datetime.datetime.fromtimestamp(window.window * WINDOW_S, datetime.UTC)
        state = 'frozen' if window.frozen else 'open'
        return UsageRow(
            window.customer,
            self.zone,
            start.isoformat(),
            'reported' if window.reported else state,
            window.figures.requests,
            window.figures.prompt_tokens,
            window.figures.output_tokens,
        )


@dataclass(frozen=True, slots=True)
class GroupStatus:
    """Status of the fleet from the replication groups of one instance."""

    groups: InstanceGroups
    local: LocalStatus

    def status(self) -> FleetStatus:
        """Return the status of the fleet as this instance's replicas know it."""
        status = self.local.status()
        own_zone = status.zones[0]
        others = self.groups.propagation.fleet_zones()
        other_zones = tuple(
            ZoneStatus(zone, '', 0, revision, reachable=revision > 0)
            for zone, revision in sorted(others.items())
            if zone != own_zone.name
        )
        return replace(
            status,
            zones=(own_zone, *other_zones),
            instances=self._instances(),
            endpoints=tuple(self._describe(each) for each in status.endpoints),
        )

    def reach(self, kind: str, revision: int) -> Reach:
        """Return where a revision is in force, as the leaders last published it."""
        reach = self.groups.propagation.find_by_kind(kind, revision)
        return Reach(reach.in_force, reach.pending)

    def _instances(self) -> tuple[InstanceStatus, ...]:
        member = self.groups.members[ZONE_PREFIX + self.local.zone]
        members = member.table.members(trio.current_time())
        rows = [_describe_member(identity, each) for identity, each in sorted(members.items())]
        this_instance = InstanceStatus(self.local.instance, self.local.zone, 'live')
        return (this_instance, *(row for row in rows if row.name != this_instance.name))

    def _describe(self, endpoint: EndpointStatus) -> EndpointStatus:
        state = self.local.authority.read()
        if state.inventory.is_leaving(endpoint.name):
            return replace(endpoint, state='leaving')
        if state.intents.is_changing(endpoint.name):
            return replace(endpoint, state='changing')
        return endpoint


def _describe_member(identity: str, member: Member) -> InstanceStatus:
    return InstanceStatus(instance_name(identity), member.report.zone, member.state.value)
