"""Settings of one program of a deployment, whatever file they came from."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from pathlib import Path

from shallotmux.forwarding import RetryBudgetLimits


class ProgramRole(enum.Enum):
    """What a program does."""

    #: Takes the requests of callers.
    ENTRY = 'entry'
    #: Holds the fleet's log and acts for the fleet.
    CONTROL = 'control'


@dataclass(frozen=True, slots=True)
class ListenAddresses:
    """IP addresses and ports; empty where nothing is served.

    :param callers: requests of callers.
    :param readiness: questions of the balancer.
    :param operators: configuration documents.
    :param metrics: metrics of this program.
    :param peers: messages of other instances; it is also the instance's name among them.
    """

    peers: str
    callers: str = ''
    readiness: str = ''
    operators: str = ''
    metrics: str = ''


@dataclass(frozen=True, slots=True)
class ProgramTimes:
    """Times that a deployment sets, in seconds.

    :param grace_s: time between the request to stop and the end by force.
    :param listing_s: interval at which the platform's list is read.
    :param usage_window_s: length of a usage window.
    """

    grace_s: float = 8.0
    listing_s: float = 0.8
    usage_window_s: float = 5.0


@dataclass(frozen=True, slots=True)
class ProgramSettings:
    """Settings of one program.

    :param name: name of the instance in calls to the platform.
    :param seeds: names of control instances among their peers.
    :param bootstrap: whether the whole deployment starts for the first time.
    :param folder: data folder; None without a disk.
    :param tolerated: disks that may be lost at once.
    :param has_usage: whether usage is reported.
    :param has_orders: whether endpoints are ordered.
    """

    role: ProgramRole
    name: str
    zone: str
    listen: ListenAddresses
    seeds: tuple[str, ...]
    bootstrap: bool = False
    folder: Path | None = None
    tolerated: int = 1
    budget: RetryBudgetLimits = RetryBudgetLimits()
    times: ProgramTimes = ProgramTimes()
    has_usage: bool = True
    has_orders: bool = False
