"""Settings of one program, independent of the file format they are loaded from."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from pathlib import Path

from shallotmux.forwarding import RetryBudgetLimits
from shallotmux.membounds import ProcessLimits
from shallotmux.overflow import DEFAULT_PRICE
from shallotmux.quotas import QuotaTerms


class ProgramRole(enum.Enum):
    """Role of a program in the deployment."""

    #: Forwards the requests of callers.
    ENTRY = 'entry'
    #: Replicates the fleet's log and performs fleet-wide tasks.
    CONTROL = 'control'


@dataclass(frozen=True, slots=True)
class ListenAddresses:
    """IP addresses and ports to listen on; an empty one disables the listener.

    :param callers: requests of callers.
    :param readiness: readiness checks of the load balancer.
    :param operators: configuration documents.
    :param metrics: metrics of this program.
    :param peers: messages of other instances; also identifies this instance to its peers.
    :param relayed: requests that other entry instances relay. All use the same port.
    """

    peers: str
    callers: str = ''
    readiness: str = ''
    operators: str = ''
    metrics: str = ''
    relayed: str = ''


@dataclass(frozen=True, slots=True)
class ProgramTimes:
    """Durations that a deployment sets, in seconds.

    :param grace_s: time between SIGTERM and SIGKILL.
    :param listing_s: interval at which the platform's list of endpoints is polled.
    :param usage_window_s: length of a usage window.
    :param alternation_s: time within which leader-only calls must not return to an instance after another
        one has made some.
    :param replacement_s: time after which a lost control instance must not count any more, as another one
        may be lost then.
    """

    grace_s: float = 8.0
    listing_s: float = 0.8
    usage_window_s: float = 5.0
    alternation_s: float = 3.0
    replacement_s: float = 6.0


@dataclass(frozen=True, slots=True)
class ProgramSettings:
    """Settings of one program.

    :param name: name of the instance in calls to the platform.
    :param seeds: peer addresses of control instances.
    :param bootstrap: whether the whole deployment starts for the first time.
    :param folder: data folder; None on an instance without a disk.
    :param tolerated_disk_losses: number of disks that may be lost at once.
    :param reports_usage: whether usage is reported to the platform.
    :param orders_endpoints: whether endpoints are ordered from the platform.
    :param quota_terms: bound within which quotas are kept.
    :param limits: memory and descriptors of the machine.
    :param zone_traffic_ms_per_kb: time that sending one kilobyte to another zone must save.
    """

    role: ProgramRole
    name: str
    zone: str
    listen: ListenAddresses
    seeds: tuple[str, ...]
    bootstrap: bool = False
    folder: Path | None = None
    tolerated_disk_losses: int = 1
    retry_budget: RetryBudgetLimits = RetryBudgetLimits()
    times: ProgramTimes = ProgramTimes()
    reports_usage: bool = True
    orders_endpoints: bool = False
    quota_terms: QuotaTerms = QuotaTerms()
    limits: ProcessLimits = ProcessLimits()
    zone_traffic_ms_per_kb: float = DEFAULT_PRICE
