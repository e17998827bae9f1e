"""Control instances that answer polls without a network, and messages of the earlier build."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec
import trio

from shallotmux.authority import GroupState
from shallotmux.control import KnowledgeService
from shallotmux.crashes import CrashNews, Position
from shallotmux.errors import OutcomeUnknown
from shallotmux.fleet import (
    CustomerCount,
    CutOff,
    FleetPoller,
    ListedEndpoint,
    Listing,
    Poll,
    ServiceDemand,
    TrueClock,
    decode_poll,
)
from shallotmux.origins import NO_HISTORY, HistoryReport
from shallotmux.ratelimits import LimitReport
from shallotmux.routes import CallerLimits, RouteDocument
from shallotmux.transport import ForwardAnswer

WINDOW_S = 5.0

#: Control instances by name, with their zones.
ZONES = {f'10.0.{number}.{each}:7': zone for number, zone in enumerate('ab') for each in (1, 2)}
FIRST, SECOND, THIRD, FOURTH = ZONES


class EarlierPoll(msgspec.Struct, frozen=True):
    """A poll as the earlier build encodes it."""

    sender: str
    version: int
    counts: tuple[CustomerCount, ...] = ()
    demands: tuple[ServiceDemand, ...] = ()
    crash_news: CrashNews = CrashNews()
    crashes_known: Position = Position()
    limits: tuple[LimitReport, ...] = ()
    zone: str = ''
    cut_off: tuple[str, ...] = ()


class EarlierKnowledge(msgspec.Struct, frozen=True):
    """An answer as the earlier build encodes it."""

    version: int
    document: bytes
    peers: tuple[str, ...]
    listing: Listing | None
    listing_age_s: float
    entries: tuple[str, ...]
    true_time_s: float
    crash_news: CrashNews = CrashNews()
    limits: tuple[LimitReport, ...] = ()
    versions: HistoryReport = NO_HISTORY
    neighbours: tuple[str, ...] = ()
    cut_off: tuple[CutOff, ...] = ()


def answer_as_earlier_build(service: KnowledgeService, payload: bytes) -> bytes:
    """Answer a poll as a control instance of the earlier build, which ignores all later fields."""
    poll = msgspec.msgpack.decode(payload, type=EarlierPoll)
    answer = service.answer(msgspec.msgpack.encode(poll))
    knowledge = msgspec.msgpack.decode(answer.result, type=EarlierKnowledge)
    return msgspec.msgpack.encode(knowledge)


def listing(*names: str) -> Listing:
    """Return a list of endpoints."""
    return Listing(tuple(ListedEndpoint(name, 'desk', '10.1.0.1:1', 'a') for name in names))


ENDPOINTS = listing(*(f'e-{number:02}' for number in range(30)))


@dataclass(frozen=True, slots=True)
class Arrival:
    """A poll that arrived.

    :param size: size of the answer.
    """

    at: float
    control: str
    poll: Poll
    size: int


def peer_names() -> tuple[str, ...]:
    """Return the names of the control instances."""
    return tuple(ZONES)


@dataclass(slots=True)
class Controls:
    """Control instances by name; those in ``lost`` do not answer.

    :param earlier: names of those of the earlier build.
    :param delay_s: returns the delay of an answer of a control instance.
    """

    services: dict[str, KnowledgeService] = field(default_factory=dict)
    lost: set[str] = field(default_factory=set)
    earlier: set[str] = field(default_factory=set)
    without_list: set[str] = field(default_factory=set)
    delay_s: Callable[[str], float] = lambda _: 0.0
    polls: list[Arrival] = field(default_factory=list)
    listing: Listing = ENDPOINTS

    def start(self, *names: str) -> None:
        """Start control instances, or restart them without their memory."""
        for name in names:
            self.services[name] = KnowledgeService(
                GroupState(), TrueClock(), peer_names, WINDOW_S, ZONES.copy
            )

    async def read_lists(self) -> None:
        """Let the control instances read the list at intervals, until cancelled."""
        while True:
            for name, service in self.services.items():
                if name not in self.without_list:
                    service.update_listing(self.listing, trio.current_time())
            await trio.sleep(0.8)

    async def forward(
        self, peer: str, group: str, command: bytes, timeout_s: float
    ) -> ForwardAnswer:
        """Answer a poll."""
        if peer in self.lost:
            await trio.sleep(timeout_s)
            raise OutcomeUnknown('no answer', step='forward', peer=peer)
        service = self.services[peer]
        if peer in self.earlier:
            answer = ForwardAnswer(answer_as_earlier_build(service, command))
        else:
            answer = service.answer(command)
        self.polls.append(
            Arrival(trio.current_time(), peer, decode_poll(command), len(answer.result))
        )
        delay_s = self.delay_s(peer)
        await trio.sleep(min(delay_s, timeout_s))
        if delay_s >= timeout_s:
            raise OutcomeUnknown('late', step='forward', peer=peer)
        return answer

    def polled(self, *, as_main: bool) -> Counter[str]:
        """Return how often each control instance was polled as the followed one, or for a report."""
        return Counter(each.control for each in self.polls if each.poll.is_report is not as_main)

    def largest_answer(self) -> int:
        """Return the size of the largest answer."""
        return max(each.size for each in self.polls)


def make_poller(
    controls: Controls,
    number: int = 1,
    zone: str = 'a',
    counts: Callable[[], Iterable[CustomerCount]] = tuple,
) -> FleetPoller:
    """Return the poller of an entry instance."""
    return FleetPoller(
        f'10.9.0.{number}:7~{number}',
        controls,  # type: ignore[arg-type]
        ZONES,
        lambda _: RouteDocument(1, (), (), CallerLimits(), ()),
        TrueClock(),
        lambda: tuple(counts()),
        zone=zone,
    )


async def start_deployment(
    nursery: trio.Nursery, controls: Controls, entries: int = 4
) -> list[FleetPoller]:
    """Start all control instances and some entry instances, and wait until they are settled."""
    if not controls.services:
        controls.start(*ZONES)
    nursery.start_soon(controls.read_lists)
    pollers = [make_poller(controls, number + 1, 'ab'[number % 2]) for number in range(entries)]
    for each in pollers:
        nursery.start_soon(each.run)
    await trio.sleep(6)
    controls.polls.clear()
    return pollers
