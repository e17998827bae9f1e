"""State of the fleet on an entry instance, polled from the control instances."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec
import trio
from eliot import log_message

from shallotmux.addresses import is_address
from shallotmux.crashes import CrashExchange, CrashNews, CrashRecords
from shallotmux.errors import DocumentInvalid, ShallotmuxError
from shallotmux.fleet._clock import TrueClock
from shallotmux.fleet._listing import Listing
from shallotmux.fleet._messages import (
    KNOWLEDGE_GROUP,
    CustomerCount,
    Knowledge,
    Poll,
    ServiceDemand,
    decode_knowledge,
    encode_fleet_message,
)
from shallotmux.origins import VersionHistory
from shallotmux.plannedchanges import HeldPlans
from shallotmux.ratelimits import KnownLimits
from shallotmux.repeats import RepeatLog
from shallotmux.routes import RouteDocument, RouteTable
from shallotmux.transport import PeerNetwork, Refusal, instance_name

#: Interval between the polls of one polling task.
POLL_INTERVAL_S = 0.4

#: Timeout of a poll, after which another control instance is polled.
POLL_TIMEOUT_S = 0.5

#: Time for which a control instance that did not answer is skipped while others are available.
RETRY_PEER_AFTER_S = 2.0

#: Number of polling tasks, so that an unresponsive control instance does not delay other polls.
POLL_TASKS = 2

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
    #: Names of live entry instances in the zone of this one.
    neighbours: tuple[str, ...] = ()
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

    def update_listing(self, listing: Listing, listed_at: float) -> None:
        """Store a list if it is newer than the present one."""
        if listed_at <= self.listed_at:
            return
        self.listed_at = listed_at
        is_changed = listing != self.listing
        self.listing = listing
        if is_changed:
            self._versions = listing.versions()
            for notify in self.on_listing:
                notify(listing)
        for notify_versions in self.on_versions:
            notify_versions(self._versions, listed_at)


class FleetPoller:
    """Polls the control instances and updates the view of the fleet.

    :param seeds: names of the control instances in the settings.
    :param counts: returns the usage counts to report.
    :param demands: returns the demand at this instance, by service.
    :param limits: limits of endpoints, exchanged with the control instances.
    :param history: software versions in service, extended by what the control instances saw.
    :param zone: availability zone of this instance.
    :param cut_off: returns the services of which this instance reaches no endpoint.
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
    ) -> None:
        self._zone = zone
        self._cut_off = cut_off
        self._limits = limits or KnownLimits()
        self._history = history or VersionHistory()
        self.view = FleetView()
        self.crashes = CrashRecords(instance_name(name), lambda: self.view.entries)
        self._crash_exchange = CrashExchange(self.crashes)
        self._name = name
        self._network = network
        self._decode = decode
        self._clock = clock
        self._counts = counts
        self._demands = demands
        self._seeds = tuple(seeds)
        self._peers = list(self._seeds)
        self._next_index = 0
        self._retry_at: dict[str, float] = {}
        self._unreadable_documents = RepeatLog('shallotmux:document-unreadable')

    @property
    def peers(self) -> tuple[str, ...]:
        """Return the names of the control instances."""
        return tuple(self._peers)

    def update_seeds(self, seeds: Iterable[str]) -> None:
        """Set the seeds of changed settings and add them to the polled peers."""
        self._seeds = tuple(seeds)
        self._add_peers(self._seeds)

    async def run(self) -> None:
        """Poll until cancelled."""
        async with trio.open_nursery() as nursery:
            for number in range(POLL_TASKS):
                nursery.start_soon(self._poll_repeatedly, number * POLL_INTERVAL_S / POLL_TASKS)

    async def _poll_repeatedly(self, delay_s: float) -> None:
        await trio.sleep(delay_s)
        while True:
            peer = self._choose_peer()
            if peer is not None:
                await self._poll(peer)
            await trio.sleep(POLL_INTERVAL_S)

    def _choose_peer(self) -> str | None:
        """Return the next control instance in turn; an unresponsive one only if all are."""
        now = trio.current_time()
        for _ in self._peers:
            self._next_index = (self._next_index + 1) % len(self._peers)
            peer = self._peers[self._next_index]
            if self._retry_at.get(peer, 0) <= now:
                return peer
        if not self._peers:
            return None
        return min(self._peers, key=lambda each: self._retry_at.get(each, 0))

    async def _poll(self, peer: str) -> None:
        crash_news, crashes_known = self._crash_exchange.build(peer)
        poll = Poll(
            self._name,
            self.view.version,
            self._counts(),
            self._demands(),
            crash_news,
            crashes_known,
            self._limits.build_reports(),
            self._zone,
            self._cut_off(),
        )
        sent_at = trio.current_time()
        try:
            answer = await self._network.forward(
                peer, KNOWLEDGE_GROUP, encode_fleet_message(poll), POLL_TIMEOUT_S
            )
            if answer.refusal is Refusal.NONE:
                self._apply_knowledge(peer, decode_knowledge(answer.result), crash_news, sent_at)
                return
            reason = answer.detail
        except (ShallotmuxError, msgspec.DecodeError) as error:
            reason = str(error)
        if peer not in self._retry_at:
            log_message(message_type='shallotmux:control-lost', peer=peer, reason=reason)
        self._retry_at[peer] = trio.current_time() + RETRY_PEER_AFTER_S

    def _apply_knowledge(
        self, peer: str, knowledge: Knowledge, sent: CrashNews, sent_at: float
    ) -> None:
        if self._retry_at.pop(peer, None) is not None:
            log_message(message_type='shallotmux:control-regained', peer=peer)
        self._clock.record_peer_estimate(peer, knowledge.true_time_s)
        # Names come from whoever polls a control instance.
        self.view.entries = tuple(filter(is_address, knowledge.entries))
        self.view.neighbours = tuple(filter(is_address, knowledge.neighbours))
        self.view.cut_off = {each.service: frozenset(each.entries) for each in knowledge.cut_off}
        self._crash_exchange.apply(peer, sent, knowledge.crash_news)
        self._limits.merge(knowledge.limits)
        self._history.merge(knowledge.versions, sent_at)
        if knowledge.peers:
            self._replace_peers(knowledge.peers)
        if knowledge.document:
            self._apply_document(peer, knowledge.document)
        is_dated = 0 <= knowledge.listing_age_s < float('inf')
        if knowledge.listing is not None and is_dated:
            # The answer may have been delayed, also by a suspension of this machine. The list is at least
            # as new as its age at the time of the poll.
            self.view.update_listing(knowledge.listing, sent_at - knowledge.listing_age_s)
        # A delayed answer must not prolong a plan.
        self.view.plans.merge(knowledge.plans, sent_at)

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

    def _replace_peers(self, named: tuple[str, ...]) -> None:
        """Set the peers to the named instances and the seeds; others have left the group."""
        wanted = set(named) | set(self._seeds)
        self._peers = [each for each in self._peers if each in wanted]
        self._crash_exchange.keep(wanted)
        self._retry_at = {name: at for name, at in self._retry_at.items() if name in wanted}
        self._add_peers(sorted(wanted))

    def _add_peers(self, names: Iterable[str]) -> None:
        self._peers.extend(each for each in names if each not in self._peers)
