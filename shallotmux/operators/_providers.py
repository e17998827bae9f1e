"""Data classes of the operator API and interfaces of the components that supply the data."""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from shallotmux import __version__
from shallotmux.authority import Authority, LiftQuarantine, Refused, Result


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """Status of an instance.

    :param state: ``live``, ``suspected`` or ``leaving``.
    """

    name: str
    zone: str
    state: str


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """Status of an endpoint.

    :param state: ``listed`` if only its pool entry is known.
    """

    name: str
    zone: str
    pool: str
    address: str
    cheap: bool
    state: str = 'listed'


@dataclass(frozen=True, slots=True)
class ZoneStatus:
    """Status of a zone.

    :param term: term of the leader.
    :param revision: revision of the configuration in force in the zone.
    :param reachable: whether an update of the zone arrived within the freshness limit.
    """

    name: str
    leader: str
    term: int
    revision: int
    reachable: bool


@dataclass(frozen=True, slots=True)
class PendingChange:
    """An accepted change that is not yet in force in every zone.

    :param zones: zones in which it is still pending.
    """

    operation_id: str
    subject: str
    revision: int
    zones: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """Status of the fleet as seen by one instance.

    :param instance: name of the instance that answers.
    :param zone: zone of that instance.
    :param pending: accepted changes that are not yet in force in every zone.
    """

    instance: str
    zone: str
    version: str
    ready: bool
    zones: tuple[ZoneStatus, ...]
    instances: tuple[InstanceStatus, ...]
    endpoints: tuple[EndpointStatus, ...]
    pending: tuple[PendingChange, ...] = ()


@dataclass(frozen=True, slots=True)
class Reach:
    """Zones in which an accepted change is in force, and zones in which it is pending."""

    in_force: tuple[str, ...]
    pending: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class UsageRow:
    """Usage of one customer in one accounting window.

    :param window: start of the window in ISO 8601.
    :param state: ``open``, ``frozen`` or ``reported``.
    """

    customer: str
    zone: str
    window: str
    state: str
    requests: int
    prompt_tokens: int
    output_tokens: int


@dataclass(frozen=True, slots=True)
class QuarantinedRequest:
    """A request that is refused because it crashed endpoints.

    :param remaining_s: seconds until it is accepted again.
    """

    fingerprint: str
    crashes: int
    remaining_s: float


class StatusProvider(Protocol):
    """Supplies the status of the fleet."""

    def status(self) -> FleetStatus:
        """Return the status of the fleet."""

    def reach(self, kind: str, revision: int) -> Reach:
        """Return the zones in which a revision is in force or pending.

        :param kind: kind of the changed object; some kinds apply to the whole fleet.
        """


class UsageProvider(Protocol):
    """Supplies the usage of customers."""

    def usage(self, customer: str | None) -> Sequence[UsageRow]:
        """Return the usage of one customer, or of all customers if None."""


class QuarantineProvider(Protocol):
    """Lists quarantined requests and lifts quarantines."""

    def quarantined(self) -> Sequence[QuarantinedRequest]:
        """Return the requests that are currently refused."""

    async def lift(self, operation_id: str, fingerprint: str) -> Result:
        """Lift the quarantine of a request."""


@dataclass(frozen=True, slots=True)
class LocalStatus:
    """Status of a zone with a single instance."""

    authority: Authority
    instance: str
    zone: str

    def status(self) -> FleetStatus:
        """Return the status according to the local replica."""
        state = self.authority.read()
        leadership = self.authority.leadership()
        fresh = self.authority.is_fresh()
        return FleetStatus(
            instance=self.instance,
            zone=self.zone,
            version=__version__,
            ready=fresh,
            zones=(
                ZoneStatus(self.zone, leadership.leader, leadership.term, state.revision, fresh),
            ),
            instances=(InstanceStatus(self.instance, self.zone, 'live'),),
            endpoints=tuple(
                EndpointStatus(each.name, each.zone, pool.name, each.address, each.cheap)
                for pool in state.pools()
                for each in pool.endpoints
            ),
        )

    def reach(self, kind: str, revision: int) -> Reach:
        """Return this zone, in force once the local replica has applied the revision."""
        if self.authority.read().revision >= revision:
            return Reach((self.zone,))
        return Reach((), (self.zone,))


class NoUsage:
    """Default provider without usage accounting."""

    def usage(self, customer: str | None) -> Sequence[UsageRow]:
        """Return an empty sequence."""
        return ()


class NoQuarantine:
    """Default provider without quarantine."""

    def quarantined(self) -> Sequence[QuarantinedRequest]:
        """Return an empty sequence."""
        return ()

    async def lift(self, operation_id: str, fingerprint: str) -> Result:
        """Refuse, because nothing is quarantined."""
        return Refused(f'{fingerprint!r} is not quarantined')


@dataclass(frozen=True, slots=True)
class ZoneQuarantine:
    """Supplies the quarantined requests from the replicated state of the zone."""

    authority: Authority

    def quarantined(self) -> Sequence[QuarantinedRequest]:
        """Return the requests that are currently refused."""
        now = time.time()
        return [
            QuarantinedRequest(each.fingerprint, each.crashes, each.until_s - now)
            for each in self.authority.read().quarantine.suspicions.values()
            if each.quarantined and now < each.until_s
        ]

    async def lift(self, operation_id: str, fingerprint: str) -> Result:
        """Lift the quarantine of a request."""
        return await self.authority.submit(LiftQuarantine(operation_id, fingerprint))


@dataclass(frozen=True, slots=True)
class Providers:
    """Data sources of the operator API."""

    status: StatusProvider
    usage: UsageProvider = field(default_factory=NoUsage)
    quarantine: QuarantineProvider = field(default_factory=NoQuarantine)
