"""Answer the polls of entry instances and aggregate the usage that they report."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Mapping

import msgspec
import trio
from eliot import log_message

from shallotmux.authority import GroupState
from shallotmux.control._entry_reach import EntryReach
from shallotmux.control._sizing import FleetDemand, sum_demands
from shallotmux.crashes import CrashRecords
from shallotmux.fleet import (
    CustomerCount,
    Knowledge,
    ListedEndpoint,
    Listing,
    ServiceDemand,
    TrueClock,
    decode_poll,
    encode_fleet_message,
)
from shallotmux.origins import (
    OriginAnswer,
    OriginStore,
    VersionHistory,
    decode_origin_call,
    encode_origin_message,
)
from shallotmux.plannedchanges import HeldPlans
from shallotmux.ratelimits import KnownLimits
from shallotmux.transport import ForwardAnswer, Refusal, instance_name

#: Time after its last poll for which an entry instance counts as live.
INSTANCE_TTL_S = 5.0

#: Largest number in a reported demand, far beyond the whole fleet's.
MAX_DEMAND = 1e12

#: Time after a start for which a document that was read from the disk is not offered, as newer ones
#: may have been committed. It exceeds an election; a group that elects no leader offers what it has.
OUTDATED_OFFER_S = 5.0

#: Number of the latest windows for which counts are kept.
MAX_WINDOWS = 16

#: Largest number of requests that is believed of one instance, customer and window. Sums of larger ones
#: do not fit into a command.
MAX_REQUESTS = 1_000_000_000


class UsageTotals:
    """Usage counts of all entry instances by window.

    Senders report running totals, so a newer report replaces the sender's earlier one.
    """

    def __init__(self) -> None:
        self._counts: dict[int, dict[str, dict[str, int]]] = defaultdict(dict)

    def merge(
        self, sender: str, counts: tuple[CustomerCount, ...], present: int | None = None
    ) -> None:
        """Merge the running totals of one sender.

        :param present: number of the present window; windows far from it are ignored, as they would take
            the place of the real ones. None if it is not known.
        """
        for each in counts:
            if present is not None and abs(each.window - present) > MAX_WINDOWS:
                continue
            if not 0 <= each.requests <= MAX_REQUESTS:
                continue
            sender_counts = self._counts[each.window].setdefault(sender, {})
            # Polls can arrive out of order; totals never decrease, so the maximum is the latest.
            sender_counts[each.customer] = max(each.requests, sender_counts.get(each.customer, 0))
        for window in sorted(self._counts)[:-MAX_WINDOWS]:
            self._counts.pop(window)

    def first_window(self) -> int | None:
        """Return the oldest window with counts, or None."""
        return min(self._counts, default=None)

    def totals(self, window: int) -> Mapping[str, int]:
        """Return the number of requests in a window, by customer."""
        totals: Counter[str] = Counter()
        for counts in self._counts.get(window, {}).values():
            totals.update(counts)
        return totals


class KnowledgeService:
    """Answers the polls of entry instances from the local state of this control instance.

    :param peers: returns the names of the control instances.
    :param window_s: length of a usage window in seconds; 0 if no usage is reported.
    """

    def __init__(
        self,
        state: GroupState,
        clock: TrueClock,
        peers: Callable[[], tuple[str, ...]],
        window_s: float = 0,
    ) -> None:
        self._window_s = window_s
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
        self._listed_at = float('-inf')
        self._polled_at: dict[str, float] = {}
        self._demands: dict[str, tuple[ServiceDemand, ...]] = {}
        self._entry_reach = EntryReach()
        #: Planned changes, as the leader sent them.
        self.plans = HeldPlans()

    def update_listing(self, listing: Listing, listed_at: float) -> None:
        """Store the platform's list of endpoints.

        :param listed_at: local time at which the list was read.
        """
        summary = Counter(_describe_endpoint(each) for each in listing.endpoints)
        if summary != self._summary:
            self._summary = summary
            log_message(message_type='shallotmux:listing', endpoints=dict(sorted(summary.items())))
        self.listing = listing
        self._listed_at = listed_at
        self.history.observe(listing.versions(), listed_at)

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
        self._polled_at[poll.sender] = now
        present = int(self._clock.now() / self._window_s) if self._window_s else None
        self.usage.merge(poll.sender, poll.counts, present)
        self._demands[poll.sender] = tuple(each for each in poll.demands if _is_plausible(each))
        self._entry_reach.record(poll)
        entries = self.entries()
        self._crashes.merge(poll.crash_news)
        self.limits.merge(poll.limits)
        document = self._state.zone.document
        is_newer = (
            document.version > poll.version and bool(document.content) and self._may_offer(now)
        )
        knowledge = Knowledge(
            document.version,
            document.content if is_newer else b'',
            self._peers(),
            self.listing,
            max(0.0, now - self._listed_at) if self.listing else 0.0,
            entries,
            self._clock.local_estimate(),
            self._crashes.build_news(poll.crashes_known),
            self.limits.build_reports(),
            self.history.build_report(now),
            self._entry_reach.neighbours(poll.zone, entries),
            self._entry_reach.cut_off(entries),
            self.plans.report(now),
        )
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
