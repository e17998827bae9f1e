"""Answer the polls of entry instances, and add up what they count."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Mapping

import msgspec
import trio
from eliot import log_message

from shallotmux.authority import GroupState
from shallotmux.fleet import (
    CrashLedger,
    CustomerCount,
    Knowledge,
    ListedEndpoint,
    Listing,
    ServiceDemand,
    TrueClock,
    decode_poll,
    encode_knowledge,
)
from shallotmux.transport import ForwardAnswer, Refusal, instance_name

#: Time after its last poll for which an entry instance counts as one.
INSTANCE_MEMORY_S = 5.0

#: Windows whose counts are kept.
KEPT_WINDOWS = 16


class UsageLedger:
    """Counts of all entry instances by window; a repeat replaces what its sender sent before."""

    def __init__(self) -> None:
        self._counts: dict[int, dict[str, dict[str, int]]] = defaultdict(dict)

    def merge(self, sender: str, counts: tuple[CustomerCount, ...]) -> None:
        """Take all counts of one sender."""
        for each in counts:
            of_sender = self._counts[each.window].setdefault(sender, {})
            # Polls may overtake each other; counts only grow.
            of_sender[each.customer] = max(each.requests, of_sender.get(each.customer, 0))
        for window in sorted(self._counts)[:-KEPT_WINDOWS]:
            self._counts.pop(window)

    def first_window(self) -> int | None:
        """Return the oldest window with counts, or None."""
        return min(self._counts, default=None)

    def totals(self, window: int) -> Mapping[str, int]:
        """Return the requests of each customer in a window."""
        totals: Counter[str] = Counter()
        for counts in self._counts.get(window, {}).values():
            totals.update(counts)
        return totals


class KnowledgeService:
    """Answers polls from the local state of this control instance.

    :param peers: returns the names of the control instances.
    """

    def __init__(
        self, state: GroupState, clock: TrueClock, peers: Callable[[], tuple[str, ...]]
    ) -> None:
        self._state = state
        self._clock = clock
        self._peers = peers
        self.usage = UsageLedger()
        self._crashes = CrashLedger()
        self.listing: Listing | None = None
        self._summary: Counter[str] = Counter()
        self._listed_at = float('-inf')
        self._heard: dict[str, float] = {}
        self._demands: dict[str, tuple[ServiceDemand, ...]] = {}

    def update_listing(self, listing: Listing, listed_at: float) -> None:
        """Take the platform's list as read at a local time."""
        summary = Counter(_describe(each) for each in listing.endpoints)
        if summary != self._summary:
            self._summary = summary
            log_message(message_type='shallotmux:listing', endpoints=dict(sorted(summary.items())))
        self.listing = listing
        self._listed_at = listed_at

    def endpoints_of(self, service: str) -> tuple[ListedEndpoint, ...]:
        """Return the listed endpoints of a service, leaving ones included."""
        listed = self.listing.endpoints if self.listing else ()
        return tuple(each for each in listed if each.service == service)

    def entries(self) -> tuple[str, ...]:
        """Return the names of the entry instances that polled lately."""
        oldest = trio.current_time() - INSTANCE_MEMORY_S
        self._heard = {name: at for name, at in self._heard.items() if at >= oldest}
        return tuple(sorted({instance_name(name) for name in self._heard}))

    def demand_of(self, service: str) -> float:
        """Return the prompt tokens that all instances have to have read in a second."""
        oldest = trio.current_time() - INSTANCE_MEMORY_S
        self._demands = {
            name: demands
            for name, demands in self._demands.items()
            if self._heard.get(name, oldest) > oldest
        }
        return sum(
            each.tokens_per_s
            for demands in self._demands.values()
            for each in demands
            if each.service == service
        )

    def answer(self, payload: bytes) -> ForwardAnswer:
        """Answer a poll."""
        try:
            poll = decode_poll(payload)
        except msgspec.DecodeError as error:
            return ForwardAnswer(refusal=Refusal.INVALID, detail=str(error))
        now = trio.current_time()
        self._heard[poll.sender] = now
        self.usage.merge(poll.sender, poll.counts)
        self._demands[poll.sender] = poll.demands
        self._crashes.merge(poll.crashes)
        document = self._state.zone.document
        is_news = document.version > poll.version and bool(document.content)
        knowledge = Knowledge(
            document.version,
            document.content if is_news else b'',
            self._peers(),
            self.listing,
            max(0.0, now - self._listed_at) if self.listing else 0.0,
            self.entries(),
            self._clock.own(),
            self._crashes.news(),
        )
        return ForwardAnswer(encode_knowledge(knowledge))


def _describe(endpoint: ListedEndpoint) -> str:
    """Return what a log line tells of an endpoint, equal for those that are alike."""
    kind = 'cheap' if endpoint.is_cheap else 'regular'
    state = 'leaving' if endpoint.is_leaving else 'ready'
    return f'{endpoint.service} {endpoint.zone} {endpoint.role.value} {kind} {state}'
