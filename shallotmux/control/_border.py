"""What the control instances need of the platform beneath a deployment."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from shallotmux.fleet import EngineRole, ListedEndpoint, Listing


class DutyOutcome(enum.Enum):
    """Answer to a call that only one instance at a time may make."""

    ACCEPTED = 'accepted'
    #: Another instance has used a higher fencing token.
    FENCED = 'fenced'
    #: What was ordered is not to be had at the moment.
    UNAVAILABLE = 'unavailable'
    #: No answer, or one that says nothing of the outcome.
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class DutyHolder:
    """Who makes a call, and under which fencing token.

    :param token: term of the holder's leadership.
    """

    name: str
    token: int


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Requests of each customer that began to run in one window."""

    window: int
    counts: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class FleetOrder:
    """Number of endpoints wanted for a service in a zone.

    :param is_cheap: whether the order is for endpoints that the platform may reclaim.
    """

    service: str
    zone: str
    count: int
    is_cheap: bool


class PlatformApi(Protocol):
    """Calls to the platform. Only ``list_endpoints`` may be made by any instance."""

    async def list_endpoints(self) -> Listing:
        """Return the whole list.

        :raises ShallotmuxError: if it cannot be read completely.
        """

    async def report_usage(self, report: UsageReport, holder: DutyHolder) -> DutyOutcome:
        """Report one window; a repeat has the same counts."""

    async def order_endpoints(self, order: FleetOrder, holder: DutyHolder) -> DutyOutcome:
        """Order endpoints."""

    async def change_role(
        self, endpoint: ListedEndpoint, role: EngineRole, holder: DutyHolder
    ) -> DutyOutcome:
        """Order an engine to change its role."""
