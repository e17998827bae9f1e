"""What the operator API shows, and the interfaces of the parts that know it."""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from shallotmux import __version__
from shallotmux.authority import Authority, LiftQuarantine, Refused, Result


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """What is known of an instance.

    :param state: ``live``, ``suspected`` or ``leaving``.
    """

    name: str
    zone: str
    state: str


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """What is known of an endpoint.

    :param state: ``listed`` when only its pool entry is known.
    """

    name: str
    zone: str
    pool: str
    address: str
    cheap: bool
    state: str = 'listed'


@dataclass(frozen=True, slots=True)
class ZoneStatus:
    """What is known of a zone.

    :param term: term of the leader.
    :param revision: revision of the configuration that is in force there.
    :param reachable: whether it was heard of within the freshness limit.
    """

    name: str
    leader: str
    term: int
    revision: int
    reachable: bool


@dataclass(frozen=True, slots=True)
class PendingChange:
    """An accepted change that has not reached every zone."""

    operation_id: str
    subject: str
    revision: int
    zones: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """The state of the fleet as one instance sees it.

    :param zone: zone of the instance that answers.
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
    """Where an accepted change is in force, and where it is pending."""

    in_force: tuple[str, ...]
    pending: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class UsageRow:
    """Usage of one customer in one window.

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
    """Knows the state of the fleet."""

    def status(self) -> FleetStatus:
        """Return the state of the fleet."""

    def reach(self, kind: str, revision: int) -> Reach:
        """Return where a revision is in force.

        :param kind: kind of the object that was changed; some kinds apply to the whole fleet.
        """


class UsageProvider(Protocol):
    """Knows what customers have used."""

    def usage(self, customer: str | None) -> Sequence[UsageRow]:
        """Return the usage of one customer, or of all."""


class QuarantineProvider(Protocol):
    """Knows which requests are quarantined."""

    def quarantined(self) -> Sequence[QuarantinedRequest]:
        """Return the requests that are refused at present."""

    async def lift(self, operation_id: str, fingerprint: str) -> Result:
        """Accept a request again."""


@dataclass(frozen=True, slots=True)
class LocalStatus:
    """Status of a zone with a single instance."""

    authority: Authority
    instance: str
    zone: str

    def status(self) -> FleetStatus:
        """Return what the replica of this instance shows."""
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
        """Return this zone, as in force when the replica has applied the revision."""
        if self.authority.read().revision >= revision:
            return Reach((self.zone,))
        return Reach((), (self.zone,))


class NoUsage:
    """Stands in until a part that counts usage is plugged in."""

    def usage(self, customer: str | None) -> Sequence[UsageRow]:
        """Return nothing."""
        return ()


class NoQuarantine:
    """Stands in until a part that quarantines requests is plugged in."""

    def quarantined(self) -> Sequence[QuarantinedRequest]:
        """Return nothing."""
        return ()

    async def lift(self, operation_id: str, fingerprint: str) -> Result:
        """Refuse, since nothing is quarantined."""
        return Refused(f'{fingerprint!r} is not quarantined')


@dataclass(frozen=True, slots=True)
class ZoneQuarantine:
    """Quarantined requests in the state of the zone."""

    authority: Authority

    def quarantined(self) -> Sequence[QuarantinedRequest]:
        """Return the requests that are refused at present."""
        now = time.time()
        return [
            QuarantinedRequest(each.fingerprint, each.crashes, each.until_s - now)
            for each in self.authority.read().quarantine.suspicions.values()
            if each.quarantined and now < each.until_s
        ]

    async def lift(self, operation_id: str, fingerprint: str) -> Result:
        """Accept a request again."""
        return await self.authority.submit(LiftQuarantine(operation_id, fingerprint))


@dataclass(frozen=True, slots=True)
class Providers:
    """Parts that the operator API asks; other parts replace the defaults."""

    status: StatusProvider
    usage: UsageProvider = field(default_factory=NoUsage)
    quarantine: QuarantineProvider = field(default_factory=NoQuarantine)
