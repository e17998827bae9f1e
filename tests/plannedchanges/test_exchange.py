"""Tests of plans on their way from the leader through control instances to entry instances."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import trio
import trio.testing

from shallotmux.authority import GroupState
from shallotmux.control import KnowledgeService
from shallotmux.errors import ShallotmuxError
from shallotmux.fleet import (
    KNOWLEDGE_GROUP,
    EngineRole,
    FleetPoller,
    Knowledge,
    ListedEndpoint,
    Listing,
    TrueClock,
    decode_knowledge,
)
from shallotmux.forwarding import EndpointDirectory
from shallotmux.plannedchanges import (
    ANNOUNCED_TTL_S,
    LISTED_WITHIN_S,
    ORDER_DELAY_S,
    PlanBook,
    PlanPublisher,
    answer_plan_report,
)
from shallotmux.routes import CallerLimits, RouteDocument
from shallotmux.transport import ForwardAnswer
from tests.plannedchanges._plans import CHANGE_S, LISTED_S, make_change, make_engine

CONTROLS = ('10.0.1.1:7', '10.0.1.2:7', '10.0.1.3:7')
LEADER = CONTROLS[0]
ENGINES = (make_engine(1), make_engine(2), make_engine(3))


def list_controls() -> tuple[str, ...]:
    """Return the names of the control instances."""
    return CONTROLS


class Fleet:
    """Control instances and one entry instance on an in-memory network."""

    def __init__(self) -> None:
        self.lost: set[str] = set()
        self.delay_s = 0.0
        self.controls = {
            name: KnowledgeService(GroupState(), TrueClock(), list_controls) for name in CONTROLS
        }
        self.book = PlanBook()
        self.book.begin_term(4, 0)
        self.poller = FleetPoller(
            '10.0.0.1:7~1',
            self,
            CONTROLS,
            lambda _: RouteDocument(1, (), (), CallerLimits(), ()),
            TrueClock(),
            tuple,
        )
        self.view = self.poller.view
        self.directory = EndpointDirectory(lambda _: None, plans=self.view.plans)
        self.view.on_listing.append(self.directory.update_listing)
        self.list_engines(*ENGINES)

    async def forward(
        self, peer: str, group: str, command: bytes, timeout_s: float
    ) -> ForwardAnswer:
        """Deliver a poll or plans to a control instance that is not lost."""
        if peer in self.lost:
            await trio.sleep(timeout_s)
            raise ShallotmuxError('no answer', step='forward', peer=peer)
        if group == KNOWLEDGE_GROUP:
            answer = self.controls[peer].answer(command)
            await trio.sleep(self.delay_s)
            return answer
        return answer_plan_report(self.controls[peer].plans, command)

    def list_engines(self, *engines: ListedEndpoint) -> None:
        """Let all control instances read a list."""
        for each in self.controls.values():
            each.update_listing(Listing(engines), trio.current_time())

    def usable(self) -> set[str]:
        """Return the engines that the entry instance sends new work to."""
        return {each.identity for each in self.directory.usable('llm')}

    def announce(self) -> None:
        """Announce that ``e-1`` becomes a prefill engine."""
        why = '3 decode engines, 2 wanted'
        self.book.announce(ENGINES[0], EngineRole.PREFILL, why, trio.current_time())


@asynccontextmanager
async def run_fleet() -> AsyncIterator[Fleet]:
    """Run a leader that publishes its plans, and an entry instance that polls."""
    fleet = Fleet()
    held = fleet.controls[LEADER].plans
    publisher = PlanPublisher(LEADER, fleet, list_controls, fleet.book, lambda _: True, held)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(publisher.run)
        nursery.start_soon(fleet.poller.run)
        await trio.sleep(1)
        assert fleet.usable() == {'e-1', 'e-2', 'e-3'}
        yield fleet
        nursery.cancel_scope.cancel()


async def test_new_work_stops_before_the_order(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against orders that entry instances learn of from refusals, also beside a lost instance."""
    async with run_fleet() as fleet:
        fleet.lost.add(CONTROLS[2])
        fleet.announce()
        await trio.sleep(ORDER_DELAY_S)
        assert fleet.usable() == {'e-2', 'e-3'}


async def test_engine_works_in_its_new_role_once_the_list_shows_it(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an engine that stays unused until its plan would expire."""
    async with run_fleet() as fleet:
        fleet.announce()
        await trio.sleep(ORDER_DELAY_S)
        plan = fleet.book.live()[0]
        now = trio.current_time()
        fleet.book.mark_sent(plan, now, CHANGE_S, now + LISTED_S)
        await trio.sleep(1)
        assert fleet.usable() == {'e-2', 'e-3'}
        fleet.list_engines(make_engine(1, EngineRole.PREFILL), *ENGINES[1:])
        await trio.sleep(0.5)
        assert fleet.usable() == {'e-1', 'e-2', 'e-3'}


async def test_withdrawn_change_brings_work_back(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against an engine that waits for the end of a plan that was cancelled."""
    async with run_fleet() as fleet:
        fleet.announce()
        await trio.sleep(0.7)
        assert fleet.usable() == {'e-2', 'e-3'}
        fleet.book.withdraw(fleet.book.live()[0], 'test', trio.current_time())
        await trio.sleep(0.45)
        assert fleet.usable() == {'e-1', 'e-2', 'e-3'}


async def test_lost_leader_does_not_keep_an_engine_unused(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against engines without work after a leader was lost between plan and order."""
    async with run_fleet() as fleet:
        fleet.announce()
        await trio.sleep(0.01)
        fleet.lost.add(LEADER)
        fleet.book.begin_term(5, trio.current_time())
        await trio.sleep(0.7)
        assert fleet.usable() == {'e-2', 'e-3'}
        await trio.sleep(ANNOUNCED_TTL_S - 0.7)
        assert fleet.usable() == {'e-1', 'e-2', 'e-3'}


async def test_order_of_a_lost_leader_ends_after_the_bound(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against work during a change whose leader was lost, and none for ever after."""
    async with run_fleet() as fleet:
        fleet.announce()
        await trio.sleep(ORDER_DELAY_S)
        now = trio.current_time()
        fleet.book.mark_sent(fleet.book.live()[0], now, CHANGE_S, now + LISTED_S)
        await trio.sleep(0.01)
        fleet.book.begin_term(5, now)
        await trio.sleep(CHANGE_S + LISTED_WITHIN_S - 0.1)
        assert fleet.usable() == {'e-2', 'e-3'}
        await trio.sleep(0.1)
        assert fleet.usable() == {'e-1', 'e-2', 'e-3'}


async def test_cut_off_entry_instance_uses_engines_after_the_bound(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an instance that hears of no end and leaves an engine unused."""
    async with run_fleet() as fleet:
        fleet.announce()
        await trio.sleep(0.7)
        fleet.lost.update(CONTROLS)
        await trio.sleep(ANNOUNCED_TTL_S - 0.7)
        assert fleet.usable() == {'e-1', 'e-2', 'e-3'}


async def test_delayed_answers_do_not_prolong_a_plan(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an engine that is unused beyond the bound, as answers arrive late."""
    async with run_fleet() as fleet:
        fleet.delay_s = 0.4
        fleet.announce()
        await trio.sleep(ANNOUNCED_TTL_S - 0.1)
        assert fleet.usable() == {'e-2', 'e-3'}
        await trio.sleep(0.1)
        assert fleet.usable() == {'e-1', 'e-2', 'e-3'}


async def test_restarted_engine_is_used_at_once(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a new start without work for the plan of the former one."""
    async with run_fleet() as fleet:
        fleet.announce()
        await trio.sleep(0.7)
        fleet.list_engines(make_engine(1, started_ms=2), *ENGINES[1:])
        await trio.sleep(0.45)
        assert fleet.usable() == {'e-1', 'e-2', 'e-3'}


async def test_higher_term_wins_between_two_leaders(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against plans of a former leader beside those of the present one."""
    async with run_fleet() as fleet:
        fleet.announce()
        await trio.sleep(0.7)
        newer = make_change(identity='e-2', start=ENGINES[1].start_number, term=5)
        for each in fleet.controls.values():
            each.plans.merge((newer,), trio.current_time())
        await trio.sleep(0.45)
        assert fleet.usable() == {'e-1', 'e-3'}
        await trio.sleep(0.45)
        assert fleet.usable() == {'e-1', 'e-3'}


def test_earlier_builds_answer_without_plans() -> None:
    """Guards against polls that fail while instances of two builds run side by side."""
    content = msgspec.msgpack.encode(Knowledge(0, b'', (), None, 0, (), 0))
    fields = msgspec.msgpack.decode(content)
    assert fields.pop('plans') == []
    assert not decode_knowledge(msgspec.msgpack.encode(fields)).plans
