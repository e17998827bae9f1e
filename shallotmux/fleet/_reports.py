"""What an entry instance reports to each control instance: what has changed since it was confirmed."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass

import trio

from shallotmux.crashes import CrashExchange, CrashNews, CrashRecords
from shallotmux.fleet._messages import CustomerCount, Knowledge, Poll, ServiceDemand
from shallotmux.fleetnews import Confirmations, StateMark
from shallotmux.overflow import ServiceUse
from shallotmux.ratelimits import KnownLimits

#: Interval at which a limit is reported again while endpoints repeat it. It is far below the time after
#: which a limit is forgotten, 600 s.
LIMIT_REFRESH_S = 5.0

#: Interval at which control instances other than the followed one are asked for their history of
#: software versions. A restarted one knows less than the others.
HISTORY_INTERVAL_S = 10.0

#: Customer and window.
CountKey = tuple[str, int]

#: Limit in requests per second, and number of the refresh interval in which it was observed.
LimitValue = tuple[float, int]


@dataclass(frozen=True, slots=True)
class Followed:
    """States that the sender of a poll has of the instance that it follows."""

    endpoints: StateMark
    members: StateMark


@dataclass(frozen=True, slots=True)
class ReportSources:
    """What is reported, by functions that return the present values.

    :param sender: name and incarnation of this instance.
    :param counts: totals of requests for all kept windows.
    :param demands: demand, by service.
    :param cut_off: services of which this instance reaches no endpoint.
    :param uses: use of the services that have endpoints in several zones.
    """

    sender: str
    zone: str
    counts: Callable[[], tuple[CustomerCount, ...]]
    demands: Callable[[], tuple[ServiceDemand, ...]]
    limits: KnownLimits
    crashes: CrashRecords
    cut_off: Callable[[], tuple[str, ...]]
    uses: Callable[[], tuple[ServiceUse, ...]] = tuple


@dataclass(frozen=True, slots=True)
class SentPoll:
    """A poll, and the values in it that its receiver may confirm."""

    poll: Poll
    counts: dict[CountKey, int]
    limits: dict[int, LimitValue]

    @property
    def crash_news(self) -> CrashNews:
        """Return the news of crashes in the poll."""
        return self.poll.crash_news


class Reports:
    """Builds the polls, and records what each control instance has confirmed."""

    def __init__(self, sources: ReportSources) -> None:
        self._sources = sources
        self._counts: Confirmations[CountKey, int] = Confirmations()
        self._limits: Confirmations[int, LimitValue] = Confirmations()
        self._crash_exchange = CrashExchange(sources.crashes)
        self._history_at: dict[str, float] = {}

    def build(self, peer: str, version: int, followed: Followed | None) -> SentPoll:
        """Return the next poll of a control instance.

        :param version: version of the document that this instance has.
        :param followed: states that this instance has, if it follows the peer.
        """
        sources = self._sources
        crash_news, crashes_known = self._crash_exchange.build(peer)
        totals = {(each.customer, each.window): each.requests for each in sources.counts()}
        counts = self._counts.select(peer, totals)
        now = trio.current_time()
        limit_reports = sources.limits.build_reports()
        observed = {
            each.endpoint: (each.limit, int((now - each.age_s) // LIMIT_REFRESH_S))
            for each in limit_reports
        }
        limits = self._limits.select(peer, observed)
        poll = Poll(
            sources.sender,
            version,
            tuple(
                CustomerCount(customer, window, requests)
                for (customer, window), requests in counts.items()
            ),
            sources.demands(),
            crash_news,
            crashes_known,
            tuple(each for each in limit_reports if each.endpoint in limits),
            sources.zone,
            sources.cut_off(),
            followed.endpoints if followed else None,
            followed.members if followed else None,
            followed is None,
            followed is not None or self._is_history_due(peer, now),
            sources.uses(),
        )
        return SentPoll(poll, counts, limits)

    def record(self, peer: str, sent: SentPoll, answer: Knowledge) -> None:
        """Record an answer, which confirms what was sent, and merge its news of crashes."""
        self._crash_exchange.apply(peer, sent.crash_news, answer.crash_news)
        self._limits.record(peer, answer.incarnation, sent.limits)
        if answer.took_counts or not answer.incarnation:
            self._counts.record(peer, answer.incarnation, sent.counts)
        if sent.poll.wants_history:
            self._history_at[peer] = trio.current_time()

    def keep(self, peers: Collection[str]) -> None:
        """Forget all other control instances."""
        self._crash_exchange.keep(peers)
        self._counts.keep(peers)
        self._limits.keep(peers)
        self._history_at = {name: at for name, at in self._history_at.items() if name in peers}

    def _is_history_due(self, peer: str, now: float) -> bool:
        at = self._history_at.get(peer)
        return at is None or now - at >= HISTORY_INTERVAL_S
