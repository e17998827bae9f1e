"""Answer the polls of entry instances, and merge what they report."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from math import inf
from random import SystemRandom

import msgspec
import trio
from eliot import log_message

from shallotmux.authority import GroupState
from shallotmux.control._entry_reach import EntryReach
from shallotmux.control._publications import FleetPublications
from shallotmux.control._sizing import FleetDemand, sum_demands
from shallotmux.control._usage_totals import UsageTotals
from shallotmux.crashes import CrashRecords
from shallotmux.fleet import (
    FleetMembers,
    Knowledge,
    ListedEndpoint,
    Listing,
    Poll,
    ServiceDemand,
    TrueClock,
    decode_poll,
    encode_fleet_message,
)
from shallotmux.fleetnews import StateMark
from shallotmux.origins import (
    NO_HISTORY,
    OriginAnswer,
    OriginStore,
    VersionHistory,
    decode_origin_call,
    encode_origin_message,
)
from shallotmux.overflow import InstanceUse, OverflowDecider, OverflowShare
from shallotmux.plannedchanges import HeldPlans
from shallotmux.ratelimits import KnownLimits
from shallotmux.transport import ForwardAnswer, Refusal, instance_name

#: Time after its last poll for which an entry instance counts as live.
INSTANCE_TTL_S = 5.0

#: Time after the first poll until all live entry instances have polled: two intervals of their reports.
SETTLE_S = 2.5

#: Interval at which the live instances are counted anew for answers, unless another one has polled.
#: Counting them for each of about 100 polls a second takes most of the time of an answer.
MEMBERS_INTERVAL_S = 0.1

#: Random bits of an incarnation; messages can hold numbers of 64 bits.
INCARNATION_BITS = 63

#: Largest number in a reported demand, far beyond the whole fleet's.
MAX_DEMAND = 1e12

#: Time after a start for which a document that was read from the disk is not offered, as newer ones
#: may have been committed. It exceeds an election; a group that elects no leader offers what it has.
OUTDATED_OFFER_S = 5.0


class KnowledgeService:
    """Answers the polls of entry instances from the local state of this control instance.

    :param peers: returns the names of the control instances.
    :param window_s: length of a usage window in seconds; 0 if no usage is reported.
    :param zones: returns the known zones of the control instances by identity.
    """

    def __init__(
        self,
        state: GroupState,
        clock: TrueClock,
        peers: Callable[[], tuple[str, ...]],
        window_s: float = 0,
        zones: Callable[[], Mapping[str, str]] = dict,
    ) -> None:
        self._window_s = window_s
        self._zones = zones
        # Drawn from the system, so that two incarnations do not share an epoch.
        self._publications = FleetPublications(SystemRandom().getrandbits(INCARNATION_BITS) | 1)
        #: Time since when there has been a live entry instance at any time.
        self._live_since = inf
        self._last_poll_at = -inf
        #: Names of the live entry instances at a time.
        self._live: tuple[str, ...] = ()
        self._live_at = -inf
        self._state = state
        self._clock = clock
        self._peers = peers
        self.usage = UsageTotals()
        self._crashes = CrashRecords()
        self.limits = KnownLimits()
        self.history = VersionHistory()
        self._origins = OriginStore()
        self.listing: Listing | None = None
        self._summary: Counter[str] = Counter()
        self._versions: frozenset[tuple[str, str]] = frozenset()
        self._listed_at = float('-inf')
        self._polled_at: dict[str, float] = {}
        self._demands: dict[str, tuple[ServiceDemand, ...]] = {}
        self._entry_reach = EntryReach()
        #: Planned changes, as the leader sent them.
        self.plans = HeldPlans()
        #: Decides which requests of the own zone are sent to other zones; None to decide nothing.
        self.overflow: OverflowDecider | None = None

    @property
    def listed_at(self) -> float:
        """Return the local time at which the list was read."""
        return self._listed_at

    def update_listing(self, listing: Listing, listed_at: float) -> None:
        """Store the platform's list of endpoints, unless a newer one is known.

        :param listed_at: local time at which the list was read.
        """
        if listed_at < self._listed_at:
            return
        self._listed_at = listed_at
        if listing is not self.listing:
            self._replace_listing(listing)
        self.history.observe(self._versions, listed_at)

    def listing_age_s(self, now: float) -> float:
        """Return the time since the list was read; infinite if it never was."""
        return max(0.0, now - self._listed_at) if self.listing else inf

    def endpoints_after(self, known: StateMark) -> bytes:
        """Return the encoded change of the list from a known state; empty without a list."""
        return self._publications.endpoints.encode_after(known) if self.listing else b''

    def endpoints_of(self, service: str) -> tuple[ListedEndpoint, ...]:
        """Return the listed endpoints of a service, including those that are leaving."""
        listed = self.listing.endpoints if self.listing else ()
        return tuple(each for each in listed if each.service == service)

    def limits_of(self, service: str) -> tuple[float, ...]:
        """Return the limits in requests per second that endpoints of a service have named."""
        limits = (self.limits.limit_of(each.start_number) for each in self.endpoints_of(service))
        return tuple(limit for limit in limits if limit is not None)

    def entries(self) -> tuple[str, ...]:
        """Return the names of the live entry instances."""
        oldest = trio.current_time() - INSTANCE_TTL_S
        self._polled_at = {name: at for name, at in self._polled_at.items() if at >= oldest}
        return tuple(sorted({instance_name(name) for name in self._polled_at}))

    def zone_of(self, peer: str) -> str:
        """Return the zone of an entry or control instance by name; empty if unknown."""
        return self._entry_reach.zone_of(peer) or self._control_zones().get(peer, '')

    def demand_of(self, service: str) -> FleetDemand:
        """Return the demand for a service at all entry instances."""
        oldest = trio.current_time() - INSTANCE_TTL_S
        self._demands = {
            name: demands
            for name, demands in self._demands.items()
            if self._polled_at.get(name, oldest) > oldest
        }
        return sum_demands(
            each
            for demands in self._demands.values()
            for each in demands
            if each.service == service
        )

    def answer(self, payload: bytes) -> ForwardAnswer:
        """Merge the reports in a poll and return the answer to it."""
        try:
            poll = decode_poll(payload)
        except msgspec.DecodeError as error:
            return ForwardAnswer(refusal=Refusal.INVALID, detail=str(error))
        now = trio.current_time()
        if now - self._last_poll_at > INSTANCE_TTL_S:
            self._live_since = now
        self._last_poll_at = now
        is_new = poll.sender not in self._polled_at
        self._polled_at[poll.sender] = now
        present = int(self._clock.now() / self._window_s) if self._window_s else None
        took_counts = self.usage.merge(poll.sender, poll.counts, present)
        self._demands[poll.sender] = tuple(each for each in poll.demands if _is_plausible(each))
        has_moved = self._entry_reach.record(poll)
        if is_new or has_moved or now - self._live_at >= MEMBERS_INTERVAL_S:
            self._update_members(now)
        self._record_uses(poll, now)
        self._crashes.merge(poll.crash_news)
        self.limits.merge(poll.limits)
        knowledge = self._build_report_answer(poll, now, took_counts=took_counts)
        if poll.known_endpoints is not None and poll.known_members is not None:
            knowledge = self._add_changes(knowledge, poll.known_endpoints, poll.known_members)
        elif not poll.is_report:
            knowledge = self._add_whole(knowledge, poll)
        return ForwardAnswer(encode_fleet_message(knowledge))

    def answer_origins(self, payload: bytes) -> ForwardAnswer:
        """Remember the beginnings of streams in a call, and return those that it asks for."""
        try:
            call = decode_origin_call(payload)
        except msgspec.DecodeError as error:
            return ForwardAnswer(refusal=Refusal.INVALID, detail=str(error))
        self._origins.merge(call.reports)
        answer = OriginAnswer(self._origins.build_reports(call.wanted))
        return ForwardAnswer(encode_origin_message(answer))

    def _replace_listing(self, listing: Listing) -> None:
        summary = Counter(_describe_endpoint(each) for each in listing.endpoints)
        if summary != self._summary:
            self._summary = summary
            log_message(message_type='shallotmux:listing', endpoints=dict(sorted(summary.items())))
        self.listing = listing
        self._publications.update_listing(listing)
        self._versions = listing.versions()

    def _build_report_answer(self, poll: Poll, now: float, *, took_counts: bool) -> Knowledge:
        """Return the answer to an instance that follows another one, which needs no state."""
        document = self._state.zone.document
        is_newer = (
            document.version > poll.version and bool(document.content) and self._may_offer(now)
        )
        return Knowledge(
            document.version,
            document.content if is_newer else b'',
            (),
            None,
            self.listing_age_s(now),
            (),
            self._clock.local_estimate(),
            self._crashes.build_news(poll.crashes_known),
            versions=self.history.build_report(now) if poll.wants_history else NO_HISTORY,
            incarnation=self._publications.epoch,
            is_settled=now - self._live_since >= SETTLE_S,
            took_counts=took_counts,
            plans=self.plans.report(now),
            shares=self._shares_for(poll),
        )

    def _record_uses(self, poll: Poll, now: float) -> None:
        """Record the use of services in a poll, unless it is of an earlier build."""
        if self.overflow is not None and poll.uses is not None:
            self.overflow.record(
                instance_name(poll.sender), InstanceUse(poll.zone, poll.uses, poll.cut_off, now)
            )

    def _shares_for(self, poll: Poll) -> tuple[OverflowShare, ...]:
        """Return the shares that the sender of a poll follows; none for one of another zone."""
        if self.overflow is None or poll.is_report or poll.zone != self.overflow.zone:
            return ()
        return self.overflow.own_shares

    def _add_changes(
        self, answer: Knowledge, endpoints: StateMark, members: StateMark
    ) -> Knowledge:
        """Add what has changed since the states that the sender of a poll has."""
        return msgspec.structs.replace(
            answer,
            limits=self.limits.build_reports(),
            cut_off=self._entry_reach.cut_off(self._live),
            endpoints=self.endpoints_after(endpoints),
            members=self._publications.members.encode_after(members),
        )

    def _add_whole(self, answer: Knowledge, poll: Poll) -> Knowledge:
        """Add the whole state for an instance of an earlier build."""
        entries = self._live
        return msgspec.structs.replace(
            answer,
            peers=self._peers(),
            listing=self.listing,
            listing_age_s=answer.listing_age_s if self.listing else 0.0,
            entries=entries,
            limits=self.limits.build_reports(),
            neighbours=self._entry_reach.neighbours(poll.zone, entries),
            cut_off=self._entry_reach.cut_off(entries),
        )

    def _update_members(self, now: float) -> None:
        self._live = self.entries()
        self._live_at = now
        self._entry_reach.keep(self._live)
        zones = self._control_zones()
        controls = {name: zones.get(name, '') for name in self._peers()}
        self._publications.update_members(
            FleetMembers(self._entry_reach.zones_of(self._live), controls)
        )

    def _control_zones(self) -> dict[str, str]:
        return {instance_name(identity): zone for identity, zone in self._zones().items()}

    def _may_offer(self, now: float) -> bool:
        """Return whether the local document is offered to instances that have an older one or none."""
        since = self._state.outdated_since
        return since is None or now - since >= OUTDATED_OFFER_S


def _is_plausible(demand: ServiceDemand) -> bool:
    """Return whether the numbers of a demand can be calculated with."""
    numbers = (
        demand.tokens_per_s,
        demand.prefill_tokens_per_s,
        demand.requests_per_s,
        demand.in_flight,
    )
    return all(0 <= each <= MAX_DEMAND for each in numbers)


def _describe_endpoint(endpoint: ListedEndpoint) -> str:
    """Return the key under which a log line counts an endpoint."""
    kind = 'cheap' if endpoint.is_cheap else 'regular'
    state = 'leaving' if endpoint.is_leaving else 'ready'
    return f'{endpoint.service} {endpoint.zone} {endpoint.role.value} {kind} {state}'
