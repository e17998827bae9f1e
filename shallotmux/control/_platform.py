"""Interface to the platform on which a deployment runs."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from shallotmux.calls import SendGuard
from shallotmux.fleet import EngineRole, ListedEndpoint, Listing

#: Time in which the platform's list must show an order that has been carried out: endpoints that have
#: booted, or a role that was changed. Until then the order counts; afterwards it may be repeated.
LISTING_DELAY_S = 3.0


class DutyOutcome(enum.Enum):
    """Outcome of a duty, which is a call that only the leader of the control group may make."""

    ACCEPTED = 'accepted'
    #: Another instance has used a higher fencing token.
    FENCED = 'fenced'
    #: The platform has no capacity for the order at the moment.
    UNAVAILABLE = 'unavailable'
    #: The platform takes no more calls at the moment; the call was not carried out.
    LIMITED = 'limited'
    #: Nothing was sent, as there was no connection or the lease had expired.
    NOT_SENT = 'not sent'
    #: No answer, or an answer that does not tell the outcome.
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class DutyHolder:
    """Instance that performs a duty, and its fencing token.

    :param token: term in which the instance leads the control group.
    :param guard: checked before each write of a call.
    """

    name: str
    token: int
    guard: SendGuard = field(compare=False, repr=False)


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Number of requests that started in one window, by customer."""

    window: int
    counts: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class FleetOrder:
    """Number of endpoints wanted for a service in a zone.

    :param is_cheap: whether the order is for cheap endpoints, which the platform may reclaim.
    """

    service: str
    zone: str
    count: int
    is_cheap: bool


class PlatformApi(Protocol):
    """Calls to the platform.

    Any instance may call ``list_endpoints``; the other calls are for the leader and carry its
    fencing token.
    """

    async def list_endpoints(self) -> Listing:
        """Return the complete list of endpoints.

        :raises ShallotmuxError: if the list cannot be read completely.
        """

    async def report_usage(self, report: UsageReport, holder: DutyHolder) -> DutyOutcome:
        """Report the usage of one window; a retry has the same counts."""

    async def order_endpoints(self, order: FleetOrder, holder: DutyHolder) -> DutyOutcome:
        """Set the number of endpoints of a service in a zone."""

    async def change_role(
        self, endpoint: ListedEndpoint, role: EngineRole, holder: DutyHolder
    ) -> DutyOutcome:
        """Order an engine to change its role."""
