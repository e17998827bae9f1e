"""What an entry instance knows of the fleet, learned from the control instances."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec
import trio
from eliot import log_message

from shallotmux.errors import DocumentInvalid, ShallotmuxError
from shallotmux.fleet._clock import TrueClock
from shallotmux.fleet._crashes import CrashLedger
from shallotmux.fleet._listing import Listing
from shallotmux.fleet._messages import (
    KNOWLEDGE_GROUP,
    CustomerCount,
    Knowledge,
    Poll,
    ServiceDemand,
    decode_answer,
    encode_knowledge,
)
from shallotmux.routes import RouteDocument, RouteTable
from shallotmux.transport import PeerNetwork, Refusal

#: Interval between two polls of one poller.
POLL_S = 0.4

#: Time after which a poll counts as lost and another control instance is asked.
POLL_TIMEOUT_S = 0.5

#: Time for which a control instance that did not answer is not asked again while others do.
AVOID_S = 2.0

#: Pollers of an instance, so that a silent control instance does not hold up the other answers.
POLLERS = 2

#: Reads a document as the operator sent it.
DecodeDocument = Callable[[bytes], RouteDocument]


@dataclass(slots=True)
class FleetView:
    """What this instance has learned; it only moves forward.

    :param table: look-ups in the document in force, None before the first one.
    :param listing: the newest list of endpoints.
    :param listed_at: local time at which that list was read from the platform.
    """

    table: RouteTable | None = None
    listing: Listing = Listing()
    listed_at: float = float('-inf')
    #: Names of the entry instances that control instances hear.
    entries: tuple[str, ...] = ()
    #: Called after a new list was taken.
    on_listing: list[Callable[[Listing], None]] = field(default_factory=list)

    @property
    def version(self) -> int:
        """Return the version of the document in force, 0 for none."""
        return self.table.document.version if self.table else 0

    @property
    def instances(self) -> int:
        """Return the number of entry instances, this one included."""
        return max(1, len(self.entries))

    def apply_document(self, document: RouteDocument) -> bool:
        """Put a document in force unless one as high is; returns whether it is new."""
        if self.table is not None and document.version <= self.version:
            return False
        self.table = RouteTable(document)
        return True

    def update_listing(self, listing: Listing, listed_at: float) -> None:
        """Take a list that is newer than the one held."""
        if listed_at <= self.listed_at:
            return
        self.listed_at = listed_at
        is_changed = listing != self.listing
        self.listing = listing
        if is_changed:
            for notify in self.on_listing:
                notify(listing)


class FleetPoller:
    """Polls the control instances and keeps the view.

    :param seeds: names of the control instances that the settings name.
    :param counts: returns the usage counts to send along.
    :param demands: returns the demand at this instance.
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
    ) -> None:
        self.view = FleetView()
        self.crashes = CrashLedger()
        self._name = name
        self._network = network
        self._decode = decode
        self._clock = clock
        self._counts = counts
        self._demands = demands
        self._seeds = tuple(seeds)
        self._peers = list(self._seeds)
        self._next = 0
        self._avoided_until: dict[str, float] = {}

    def update_seeds(self, seeds: Iterable[str]) -> None:
        """Take the seeds of changed settings; they are asked beside the known instances."""
        self._seeds = tuple(seeds)
        self._add_peers(self._seeds)

    async def run(self) -> None:
        """Poll until cancelled."""
        async with trio.open_nursery() as nursery:
            for number in range(POLLERS):
                nursery.start_soon(self._poll_repeatedly, number * POLL_S / POLLERS)

    async def _poll_repeatedly(self, delay_s: float) -> None:
        await trio.sleep(delay_s)
        while True:
            peer = self._choose_peer()
            if peer is not None:
                await self._poll(peer)
            await trio.sleep(POLL_S)

    def _choose_peer(self) -> str | None:
        """Return the next control instance in turn; silent ones only if all are."""
        now = trio.current_time()
        for _ in self._peers:
            self._next = (self._next + 1) % len(self._peers)
            peer = self._peers[self._next]
            if self._avoided_until.get(peer, 0) <= now:
                return peer
        if not self._peers:
            return None
        return min(self._peers, key=lambda each: self._avoided_until.get(each, 0))

    async def _poll(self, peer: str) -> None:
        poll = Poll(
            self._name,
            self.view.version,
            self._counts(),
            self._demands(),
            self.crashes.news(),
        )
        try:
            answer = await self._network.forward(
                peer, KNOWLEDGE_GROUP, encode_knowledge(poll), POLL_TIMEOUT_S
            )
            if answer.refusal is Refusal.NONE:
                self._take(peer, decode_answer(answer.result))
                return
            reason = answer.detail
        except (ShallotmuxError, msgspec.DecodeError) as error:
            reason = str(error)
        if peer not in self._avoided_until:
            log_message(message_type='shallotmux:control-lost', peer=peer, reason=reason)
        self._avoided_until[peer] = trio.current_time() + AVOID_S

    def _take(self, peer: str, knowledge: Knowledge) -> None:
        now = trio.current_time()
        if self._avoided_until.pop(peer, None) is not None:
            log_message(message_type='shallotmux:control-regained', peer=peer)
        self._clock.note_peer(peer, knowledge.true_time_s)
        self.view.entries = knowledge.entries
        self.crashes.merge(knowledge.crashes)
        if knowledge.peers:
            self._replace_peers(knowledge.peers)
        if knowledge.document:
            self._take_document(peer, knowledge.document)
        if knowledge.listing is not None:
            self.view.update_listing(knowledge.listing, now - knowledge.listing_age_s)

    def _take_document(self, peer: str, content: bytes) -> None:
        try:
            document = self._decode(content)
        except DocumentInvalid as error:
            log_message(
                message_type='shallotmux:document-unreadable',
                level='error',
                peer=peer,
                reason=str(error),
            )
            return
        if self.view.apply_document(document):
            log_message(
                message_type='shallotmux:document-in-force', version=document.version, peer=peer
            )

    def _replace_peers(self, named: tuple[str, ...]) -> None:
        """Keep the named instances and the seeds; others have left the group."""
        wanted = set(named) | set(self._seeds)
        self._peers = [each for each in self._peers if each in wanted]
        self._add_peers(sorted(wanted))

    def _add_peers(self, names: Iterable[str]) -> None:
        self._peers.extend(each for each in names if each not in self._peers)
