"""Build a forwarder from its dependencies."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from shallotmux.fleet import FleetView
from shallotmux.forwarding._admission import Dialect
from shallotmux.forwarding._attempt import AttemptRunner
from shallotmux.forwarding._budget import SharedRetryBudget
from shallotmux.forwarding._directory import EndpointDirectory
from shallotmux.forwarding._engines import EnginePlacer
from shallotmux.forwarding._forwarder import Forwarder
from shallotmux.forwarding._job import Job
from shallotmux.forwarding._metrics import ForwardingMetrics
from shallotmux.forwarding._paths import DirectPath, PeerPath
from shallotmux.forwarding._pool import ConnectionPool
from shallotmux.forwarding._quota_gate import QuotaGate
from shallotmux.forwarding._starts import StartVerifier
from shallotmux.forwarding._zones import ZoneFollower
from shallotmux.origins import StreamOrigins
from shallotmux.overflow import DEFAULT_PRICE
from shallotmux.quotas import CustomerQuotas
from shallotmux.relaying import RelayPeers


@dataclass(frozen=True, slots=True)
class ForwarderParts:
    """Dependencies of a forwarder.

    :param zone: availability zone of this instance.
    :param on_run_started: called once for each job, when an endpoint has started to run it.
    :param quotas: quotas of customers; None to keep none.
    :param zone_traffic_ms_per_kb: time that sending one kilobyte to another zone must save.
    :param other_instances_tokens: returns the prompt tokens that other instances have queued at an
        engine.
    """

    zone: str
    view: FleetView
    dialect: Dialect
    pool: ConnectionPool
    directory: EndpointDirectory
    budget: SharedRetryBudget
    on_run_started: Callable[[Job], None]
    other_instances_tokens: Callable[[str], float] = lambda _: 0
    metrics: ForwardingMetrics = field(default_factory=ForwardingMetrics)
    random: Random = field(default_factory=Random)
    origins: StreamOrigins = field(default_factory=StreamOrigins)
    peers: RelayPeers = field(default_factory=RelayPeers)
    quotas: CustomerQuotas | None = None
    zone_traffic_ms_per_kb: float = DEFAULT_PRICE


def build_forwarder(parts: ForwarderParts) -> Forwarder:
    """Return a forwarder with its attempt runner and engine placer."""
    dialect, pool, directory, budget = parts.dialect, parts.pool, parts.directory, parts.budget
    directory.reach.watch(pool)
    zones = ZoneFollower(
        parts.zone, parts.view.shares, parts.zone_traffic_ms_per_kb, parts.random.random
    )
    zones.count_sent = lambda service: parts.metrics.cross_zone_requests.labels(service).inc()
    directory.follow_zones(zones)
    directory.on_blamed_refusal.append(
        lambda phase, status: parts.metrics.refused_after_own_order.labels(
            phase.value, status
        ).inc()
    )
    load_reports = parts.metrics.load_reports
    directory.reports.count_result = lambda result: load_reports.labels(result).inc()
    directory.reach.can_relay = lambda service: parts.peers.choose(service, ()) is not None
    pool.observe_heads = directory.notices.observe_heads
    quota_gate = QuotaGate(parts.quotas)
    starts = StartVerifier(dialect, parts.origins, lambda: parts.view.listed_at)
    return Forwarder(
        parts.zone,
        parts.view,
        dialect,
        directory,
        AttemptRunner(
            parts.on_run_started,
            parts.origins,
            DirectPath(dialect.names, pool, directory, starts),
            PeerPath(dialect.names, parts.peers, directory, pool),
            quota_gate,
        ),
        EnginePlacer(
            parts.zone,
            dialect,
            pool,
            directory,
            lambda: parts.view.table,
            budget,
            parts.other_instances_tokens,
            quota_gate,
        ),
        budget,
        parts.metrics,
        parts.origins,
        parts.peers,
        parts.random,
        quota_gate,
    )
