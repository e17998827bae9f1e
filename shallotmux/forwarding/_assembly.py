"""Put the parts of a forwarder together."""

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
from shallotmux.forwarding._pool import ConnectionPool


@dataclass(frozen=True, slots=True)
class ForwarderParts:
    """What a forwarder is made of.

    :param zone: availability zone of this instance.
    :param on_begun: is called when an endpoint has begun to run a job, once for each job.
    :param others: returns the tokens that other instances have under way at an engine.
    """

    zone: str
    view: FleetView
    dialect: Dialect
    pool: ConnectionPool
    directory: EndpointDirectory
    budget: SharedRetryBudget
    on_begun: Callable[[Job], None]
    others: Callable[[str], float] = lambda _: 0
    metrics: ForwardingMetrics = field(default_factory=ForwardingMetrics)
    random: Random = field(default_factory=Random)


def build_forwarder(parts: ForwarderParts) -> Forwarder:
    """Return a forwarder with its runner of attempts and its placer of prompts."""
    dialect, pool, directory, budget = parts.dialect, parts.pool, parts.directory, parts.budget
    return Forwarder(
        parts.zone,
        parts.view,
        dialect,
        directory,
        AttemptRunner(dialect.names, pool, directory, parts.on_begun),
        EnginePlacer(
            parts.zone, dialect, pool, directory, lambda: parts.view.table, budget, parts.others
        ),
        budget,
        parts.metrics,
        parts.random,
    )
