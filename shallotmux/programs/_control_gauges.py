"""Gauges of a control instance."""

from __future__ import annotations

import math

from prometheus_client import CollectorRegistry, Counter, Gauge

from shallotmux.control import ControlMember, GroupHealth, QuorumWatch
from shallotmux.overflow import OverflowShare
from shallotmux.plannedchanges import Plan


class ControlGauges:
    """Gauges of the log, and of the group's voters.

    :param registry: registry to which they are added.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._term = Gauge('shallotmux_term', 'Term of the group.', registry=registry)
        self._leads = Gauge(
            'shallotmux_leads', 'Whether this instance is the leader.', registry=registry
        )
        self._version = Gauge(
            'shallotmux_document_version', 'Version in the local state.', registry=registry
        )
        self._entry_bytes = Gauge(
            'shallotmux_log_entry_bytes', 'Log entries in memory.', registry=registry
        )
        self._snapshot_bytes = Gauge(
            'shallotmux_snapshot_bytes', 'Size of the latest snapshot.', registry=registry
        )
        self._voters = Gauge(
            'shallotmux_voters', 'Voters in the local configuration.', registry=registry
        )
        self._leader_known = Gauge(
            'shallotmux_leader_known',
            'Whether this instance leads or had contact with a leader within an election.',
            registry=registry,
        )
        self._without_leader = Gauge(
            'shallotmux_seconds_without_leader',
            'Time since the last contact with a leader, which is near 0 in a sound group.',
            registry=registry,
        )
        self._target_voters = Gauge(
            'shallotmux_target_voters',
            'Voters that the tolerated losses need; NaN unless this instance leads.',
            registry=registry,
        )
        self._live_voters = Gauge(
            'shallotmux_live_voters',
            'Voters that answer; NaN unless this instance leads.',
            registry=registry,
        )
        self._borne_losses = Gauge(
            'shallotmux_borne_losses',
            'Further voters that may be lost now; NaN unless this instance leads.',
            registry=registry,
        )
        self._borne_after_zone_loss = Gauge(
            'shallotmux_borne_after_zone_loss',
            'Voters that may be lost besides the zone with the most; NaN unless this instance leads.',
            registry=registry,
        )

    def update(self, member: ControlMember, quorum: QuorumWatch) -> None:
        """Set the gauges from the state of the member and of its group."""
        status, sizes = member.driver.status(), member.driver.sizes()
        self._entry_bytes.set(sizes.entry_bytes)
        self._snapshot_bytes.set(sizes.snapshot_bytes)
        self._term.set(status.term)
        self._leads.set(member.driver.is_leader())
        self._version.set(member.state.zone.document.version)
        self._voters.set(len(status.configuration.voters))
        self._leader_known.set(not quorum.is_lost)
        self._without_leader.set(quorum.without_leader_s())
        self._set_health(member.health)

    def _set_health(self, health: GroupHealth | None) -> None:
        if health is None:
            self._clear_health()
            return
        self._target_voters.set(health.target)
        self._live_voters.set(len(health.voters) - len(health.silent))
        self._borne_losses.set(health.borne_losses)
        self._borne_after_zone_loss.set(health.borne_after_zone_loss)

    def _clear_health(self) -> None:
        for gauge in (
            self._target_voters,
            self._live_voters,
            self._borne_losses,
            self._borne_after_zone_loss,
        ):
            gauge.set(math.nan)


class PlanCounter:
    """Counter of the planned role changes that have ended while this instance led.

    :param registry: registry to which it is added.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._ended = Counter(
            'shallotmux_planned_changes',
            'Planned role changes that have ended, by outcome.',
            ('outcome',),
            registry=registry,
        )

    def count(self, plan: Plan, reason: str) -> None:
        """Count a plan that has entered its last state."""
        if not plan.is_live:
            self._ended.labels(plan.state.value).inc()


class OverflowGauge:
    """Gauge of the shares of requests that the own zone sends to other zones.

    :param registry: registry to which it is added.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._share = Gauge(
            'shallotmux_overflow_share',
            'Share of the requests of the own zone that is sent to another zone.',
            ('service', 'to_zone'),
            registry=registry,
        )

    def update(self, share: OverflowShare) -> None:
        """Show a share that has changed."""
        self._share.labels(share.service, share.to_zone).set(share.share)
