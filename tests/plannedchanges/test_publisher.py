"""Tests of the exchange of plans between control instances."""

from __future__ import annotations

import trio
import trio.testing

from shallotmux.errors import ShallotmuxError
from shallotmux.fleet import EngineRole
from shallotmux.plannedchanges import (
    HeldPlans,
    PlanBook,
    PlanPublisher,
    answer_plan_report,
)
from shallotmux.plannedchanges._publisher import REFRESH_INTERVAL_S
from shallotmux.transport import ForwardAnswer, Refusal
from tests.plannedchanges._plans import ENGINE

OWN, NEXT, LAST = '10.0.0.1:7', '10.0.0.2:7', '10.0.0.3:7'


class PlanNetwork:
    """Delivers plans to other control instances."""

    def __init__(self) -> None:
        self.held = {NEXT: HeldPlans(), LAST: HeldPlans()}
        self.sent_at: list[float] = []
        self.lost: set[str] = set()

    async def forward(
        self, peer: str, group: str, command: bytes, timeout_s: float
    ) -> ForwardAnswer:
        """Merge the plans at a peer, or wait until the timeout."""
        self.sent_at.append(trio.current_time())
        if peer in self.lost:
            await trio.sleep(timeout_s)
            raise ShallotmuxError('no answer', step='forward', peer=peer)
        return answer_plan_report(self.held[peer], command)


class Leader:
    """A leader that publishes its plans."""

    def __init__(self) -> None:
        self.leads = True
        self.network = PlanNetwork()
        self.book = PlanBook()
        self.book.begin_term(4, 0)
        self.held = HeldPlans()
        self.publisher = PlanPublisher(
            OWN,
            self.network,
            lambda: (OWN, NEXT, LAST),
            self.book,
            lambda term: self.leads and term == 4,
            self.held,
        )


async def test_announcement_reaches_all_control_instances_at_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an order that overtakes its announcement, also beside one that does not answer."""
    leader = Leader()
    leader.network.lost.add(LAST)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(leader.publisher.run)
        await trio.sleep(0.2)
        assert not leader.network.sent_at
        leader.book.announce(ENGINE, EngineRole.PREFILL, '', trio.current_time())
        await trio.sleep(0.01)
        now = trio.current_time()
        assert len(leader.network.held[NEXT].report(now)) == 1
        assert len(leader.held.report(now)) == 1
        leader.network.lost.clear()
        await trio.sleep(REFRESH_INTERVAL_S)
        assert len(leader.network.held[LAST].report(trio.current_time())) == 1
        nursery.cancel_scope.cancel()


async def test_instance_without_the_lease_publishes_nothing(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against plans of a former leader."""
    leader = Leader()
    leader.leads = False
    async with trio.open_nursery() as nursery:
        nursery.start_soon(leader.publisher.run)
        leader.book.announce(ENGINE, EngineRole.PREFILL, '', trio.current_time())
        await trio.sleep(2)
        nursery.cancel_scope.cancel()
    assert not leader.network.sent_at
    assert leader.held.is_empty


async def test_copies_end_after_the_leader(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against engines without work after the leader was lost between plan and order."""
    leader = Leader()
    with trio.move_on_after(0.3):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(leader.publisher.run)
            leader.book.announce(ENGINE, EngineRole.PREFILL, '', trio.current_time())
    held = leader.network.held[NEXT]
    assert held.report(trio.current_time())
    await trio.sleep(3)
    assert not held.report(trio.current_time())


def test_odd_bytes_are_refused() -> None:
    """Guards against a process that ends because of one message."""
    assert answer_plan_report(HeldPlans(), b'\xc1odd').refusal is Refusal.INVALID
