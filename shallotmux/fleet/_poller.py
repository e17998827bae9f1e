"""State of the fleet on an entry instance, polled from the control instances."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

import msgspec
import trio
from eliot import log_message

from shallotmux.addresses import is_address
from shallotmux.crashes import CrashRecords
from shallotmux.errors import DocumentInvalid, ShallotmuxError
from shallotmux.fleet._clock import TrueClock
from shallotmux.fleet._controls import ControlInstances
from shallotmux.fleet._listing import Listing
from shallotmux.fleet._listing_copy import ListingCopy
from shallotmux.fleet._members import (
    FleetMembers,
    build_members,
    decode_zone,
)
from shallotmux.fleet._messages import (
    KNOWLEDGE_GROUP,
    CustomerCount,
    Knowledge,
    ServiceDemand,
    decode_knowledge,
    encode_fleet_message,
)
from shallotmux.fleet._reports import Followed, Reports, ReportSources, SentPoll
from shallotmux.fleetnews import Applied, Follower, decode_change
from shallotmux.origins import VersionHistory
from shallotmux.overflow import HeldShares, ServiceUse
from shallotmux.plannedchanges import HeldPlans
from shallotmux.ratelimits import KnownLimits
from shallotmux.repeats import RepeatLog
from shallotmux.routes import RouteDocument, RouteTable
from shallotmux.transport import PeerNetwork, Refusal, instance_name

#: Interval between the polls of the followed control instance.
POLL_INTERVAL_S = 0.4

#: Interval at which each other control instance gets a report. Usage counts wait 3 s for the reports of
#: all instances.
REPORT_INTERVAL_S = 1.2

#: Timeout of a poll, after which another control instance is polled.
POLL_TIMEOUT_S = 0.5

#: Parses a document in the operators' format.
DecodeDocument = Callable[[bytes], RouteDocument]


@dataclass(slots=True)
class FleetView:
    """Newest known state of the fleet; older documents and lists are ignored.

    :param table: route table of the current document, None before the first one.
    :param listing: the newest list of endpoints.
    :param listed_at: local time at which that list was read from the platform.
    """

    table: RouteTable | None = None
    listing: Listing = Listing()
    listed_at: float = float('-inf')
    #: Names of the live entry instances.
    entries: tuple[str, ...] = ()
    #: Names of the live entry instances by zone. Some zones are unknown, under the empty name, if control
    #: instances are of an earlier build.
    entries_by_zone: Mapping[str, tuple[str, ...]] = field(default_factory=dict)
    #: Names of all live entry instances in the zone of this one.
    neighbours: tuple[str, ...] = ()
    #: Zones of entry and control instances by name, as far as known.
    zones: Mapping[str, str] = field(default_factory=dict)
    #: Names of the entry instances that reach no endpoint of a service, by service.
    cut_off: dict[str, frozenset[str]] = field(default_factory=dict)
    #: Callbacks for each changed list.
    on_listing: list[Callable[[Listing], None]] = field(default_factory=list)
    #: Callbacks for each newer list, changed or not, with the services and software versions in it.
    on_versions: list[Callable[[frozenset[tuple[str, str]], float], None]] = field(
        default_factory=list
    )
    _versions: frozenset[tuple[str, str]] = frozenset()
    #: Planned changes of endpoints.
    plans: HeldPlans = field(default_factory=HeldPlans)
    #: Shares of the requests that are sent to other zones.
    shares: HeldShares = field(default_factory=HeldShares)

    @property
    def version(self) -> int:
        """Return the version of the current document, 0 if there is none."""
        return self.table.document.version if self.table else 0

    @property
    def instances(self) -> int:
        """Return the number of entry instances, including this one."""
        return max(1, len(self.entries))

    def apply_document(self, document: RouteDocument) -> bool:
        """Apply a document if its version is newer, and return whether it was applied."""
        if self.table is not None and document.version <= self.version:
            return False
        self.table = RouteTable(document)
        return True

    def update_members(self, members: FleetMembers, zone: str) -> None:
        """Store the live entry instances and the control instances.

        :param zone: availability zone of this instance.
        """
        by_zone: dict[str, list[str]] = {}
        for name, entry_zone in members.entries.items():
            by_zone.setdefault(entry_zone, []).append(name)
        self.entries = tuple(members.entries)
        self.entries_by_zone = {each: tuple(names) for each, names in by_zone.items()}
        self.neighbours = self.entries_by_zone.get(zone, ())
        self.zones = {**members.controls, **members.entries}

    def update_listing(self, listing: Listing, listed_at: float) -> None:
        """Store a list if it is newer than the present one."""
        if listed_at <= self.listed_at:
            return
        self.listed_at = listed_at
        is_changed = listing is not self.listing and listing != self.listing
        self.listing = listing
        if is_changed:
            self._versions = listing.versions()
            for notify in self.on_listing:
                notify(listing)
        for notify_versions in self.on_versions:
            notify_versions(self._versions, listed_at)


class FleetPoller:
    """Follows one control instance, reports to all, and updates the view of the fleet.

    :param seeds: names of the control instances in the settings.
    :param counts: returns the usage counts to report.
    :param demands: returns the demand at this instance, by service.
    :param limits: limits of endpoints, exchanged with the control instances.
    :param history: software versions in service, extended by what the control instances saw.
    :param zone: availability zone of this instance.
    :param cut_off: returns the services of which this instance reaches no endpoint.
    :param uses: returns the use of the services that have endpoints in several zones.
    """

    def __init__(
        self,
        name: str,
        network: PeerNetwork,
        seeds: Iterable[str],
        decode: DecodeDocument,
        clock: TrueClock,
        counts: Callable[[], tuple[CustomerCount, ...]],
        demands: Callable[[], tuple[ServiceDemand, ...]] = tuple,
        limits: KnownLimits | None = None,
        history: VersionHistory | None = None,
        zone: str = '',
        cut_off: Callable[[], tuple[str, ...]] = tuple,
        uses: Callable[[], tuple[ServiceUse, ...]] = tuple,
    ) -> None:
        self._zone = zone
        self._limits = limits or KnownLimits()
        self._history = history or VersionHistory()
        self.view = FleetView()
        self.crashes = CrashRecords(instance_name(name), lambda: self.view.entries)
        self._network = network
        self._decode = decode
        self._clock = clock
        self._controls = ControlInstances(seeds, zone, instance_name(name))
        self._reports = Reports(
            ReportSources(name, zone, counts, demands, self._limits, self.crashes, cut_off, uses)
        )
        self._endpoints = ListingCopy()
        self._members: Follower[str] = Follower(decode_zone)
        self._built_members = FleetMembers()
        self._shown_members: FleetMembers | None = None
        self._unreadable_documents = RepeatLog('shallotmux:document-unreadable')

    @property
    def peers(self) -> tuple[str, ...]:
        """Return the names of the control instances."""
        return self._controls.names

    def update_seeds(self, seeds: Iterable[str]) -> None:
        """Set the seeds of changed settings and add them to the polled peers."""
        self._controls.update_seeds(seeds)

    async def run(self) -> None:
        """Poll until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow)
            while True:
                interval_s = REPORT_INTERVAL_S / max(1, self._controls.report_count())
                await trio.sleep(interval_s)
                peer = self._controls.next_for_report(trio.current_time())
                if peer is not None:
                    # A task of its own, so that an unresponsive peer does not delay the reports to others.
                    nursery.start_soon(self._poll, peer, False)  # noqa: FBT003

    async def _follow(self) -> None:
        """Poll the followed control instance; the next one at once if there is no answer."""
        unanswered = 0
        while True:
            peer = self._controls.choose_main()
            is_answered = peer is not None and await self._poll(peer, is_main=True)
            unanswered = 0 if is_answered else unanswered + 1
            if is_answered or unanswered >= len(self._controls.names):
                unanswered = 0
                await trio.sleep(POLL_INTERVAL_S)

    async def _poll(self, peer: str, is_main: bool) -> bool:  # noqa: FBT001
        """Poll a control instance, and return whether it answered.

        :param is_main: whether it is the one that is followed; others only get a report.
        """
        followed = Followed(self._endpoints.mark, self._members.mark) if is_main else None
        sent = self._reports.build(peer, self.view.version, followed)
        sent_at = trio.current_time()
        try:
            answer = await self._network.forward(
                peer, KNOWLEDGE_GROUP, encode_fleet_message(sent.poll), POLL_TIMEOUT_S
            )
            if answer.refusal is Refusal.NONE:
                self._apply_knowledge(peer, decode_knowledge(answer.result), sent, sent_at)
                return True
            reason = answer.detail
        except (ShallotmuxError, msgspec.DecodeError) as error:
            reason = str(error)
        self._controls.record_lost(peer, reason, trio.current_time())
        return False

    def _apply_knowledge(
        self, peer: str, knowledge: Knowledge, sent: SentPoll, sent_at: float
    ) -> None:
        is_main = not sent.poll.is_report
        # Raises an error if the content is not valid.
        has_endpoints = is_main and self._follow_endpoints(peer, knowledge)
        if is_main:
            self._controls.record_followed(peer)
            self._follow_members(peer, knowledge)
            # Those of the followed instance alone count, so that two deciders of a zone do not mix.
            self.view.shares.replace(knowledge.shares, self._zone, sent_at)
            self.view.cut_off = {
                each.service: frozenset(each.entries) for each in knowledge.cut_off
            }
        is_earlier_build = not knowledge.incarnation
        has_no_list = is_earlier_build and knowledge.listing is None
        self._controls.record_answer(
            peer,
            float('inf') if has_no_list else knowledge.listing_age_s,
            is_settled=knowledge.is_settled or is_earlier_build,
        )
        self._clock.record_peer_estimate(peer, knowledge.true_time_s)
        self._reports.record(peer, sent, knowledge)
        self._limits.merge(knowledge.limits)
        self._history.merge(knowledge.versions, sent_at)
        if knowledge.document:
            self._apply_document(peer, knowledge.document)
        listing = self._endpoints.listing if has_endpoints else knowledge.listing
        is_dated = 0 <= knowledge.listing_age_s < float('inf')
        if listing is not None and is_dated:
            # The answer may have been delayed, also by a suspension of this machine. The list is at least
            # as new as its age at the time of the poll.
            self.view.update_listing(listing, sent_at - knowledge.listing_age_s)
        # A delayed answer must not prolong a plan.
        self.view.plans.merge(knowledge.plans, sent_at)

    def _follow_endpoints(self, peer: str, knowledge: Knowledge) -> bool:
        """Apply the change of the list, and return whether the copy is now the list of the answer."""
        if not knowledge.endpoints:
            return False
        change = decode_change(knowledge.endpoints)
        applied = self._endpoints.apply(change)
        _log_applied(peer, 'endpoints', applied, len(change.changed))
        return self._endpoints.has(change.mark)

    def _follow_members(self, peer: str, knowledge: Knowledge) -> None:
        if not knowledge.incarnation:
            self._take_earlier_members(knowledge)
            return
        if not knowledge.members:
            return
        change = decode_change(knowledge.members)
        applied = self._members.apply(change)
        _log_applied(peer, 'members', applied, len(change.changed))
        if applied in {Applied.CHANGED, Applied.REPLACED}:
            self._built_members = build_members(self._members.items)
            self._replace_controls(self._built_members.controls)
        if self._built_members is self._shown_members or not self._members.has(change.mark):
            return
        # An instance that has just started knows only those that have polled it since.
        if knowledge.is_settled or self._built_members.entries.keys() >= set(self.view.entries):
            self._shown_members = self._built_members
            self.view.update_members(self._built_members, self._zone)

    def _take_earlier_members(self, knowledge: Knowledge) -> None:
        """Take the members from an answer of an earlier build, which names few zones."""
        neighbours = frozenset(knowledge.neighbours)
        entries = {
            name: self._zone if name in neighbours else ''
            for name in filter(is_address, knowledge.entries)
        }
        self._shown_members = None
        self.view.update_members(FleetMembers(entries, {}), self._zone)
        if knowledge.peers:
            self._replace_controls(dict.fromkeys(knowledge.peers, ''))

    def _replace_controls(self, controls: Mapping[str, str]) -> None:
        """Set the control instances to the named ones and the seeds; others have left the group."""
        if not controls:
            return
        self._controls.replace(controls)
        self._controls.update_zones(controls)
        self._reports.keep(self._controls.names)

    def _apply_document(self, peer: str, content: bytes) -> None:
        try:
            document = self._decode(content)
        except DocumentInvalid as error:
            # The control instances send it again with each poll.
            self._unreadable_documents.record(str(error), peer=peer)
            return
        if self.view.apply_document(document):
            log_message(
                message_type='shallotmux:document-in-force', version=document.version, peer=peer
            )


def _log_applied(peer: str, state: str, applied: Applied, changed: int) -> None:
    """Log a state that was replaced, which is rare, or that did not fit."""
    if applied is Applied.REPLACED:
        log_message(
            message_type='shallotmux:fleet-state-whole', peer=peer, state=state, count=changed
        )
    elif applied is Applied.GAP:
        log_message(message_type='shallotmux:fleet-state-gap', peer=peer, state=state)
