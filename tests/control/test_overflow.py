"""Tests of the shares in the answers to polls."""

from __future__ import annotations

import trio

from shallotmux.authority import GroupState
from shallotmux.control import KnowledgeService, OverflowTask, count_capacities
from shallotmux.fleet import (
    EngineRole,
    Knowledge,
    ListedEndpoint,
    Listing,
    Poll,
    TrueClock,
    decode_knowledge,
    encode_fleet_message,
)
from shallotmux.overflow import OverflowDecider, ServiceUse
from shallotmux.plannedchanges import ChangeKind, PlannedChange, PlanPhase

ADDRESS = '10.1.0.1:1'
WORKERS = tuple(ListedEndpoint(f'w-{zone}', 'desk', ADDRESS, zone, 10) for zone in 'ab')


class Control:
    """A control instance of zone ``a`` that decides."""

    def __init__(self) -> None:
        self.knowledge = KnowledgeService(GroupState(), TrueClock(), lambda: ('10.0.0.1:7',))
        self.task = OverflowTask(self.knowledge, OverflowDecider('a', 1.0))
        self.list_endpoints(*WORKERS)

    def list_endpoints(self, *endpoints: ListedEndpoint) -> None:
        """Read a list."""
        self.knowledge.update_listing(Listing(endpoints), trio.current_time())

    def poll(
        self, zone: str, demand: float | None, *, sender: str = '', is_report: bool = False
    ) -> Knowledge:
        """Return the answer to an entry instance of a zone.

        :param demand: slots that its callers occupy; None for an earlier build.
        """
        uses = None if demand is None else (ServiceUse('desk', demand / 0.09, 90.0, 2.0),)
        name = sender or f'10.0.1.{ord(zone)}:7~1'
        content = encode_fleet_message(Poll(name, 0, zone=zone, is_report=is_report, uses=uses))
        return decode_knowledge(self.knowledge.answer(content).result)


async def test_answers_bring_shares_of_the_own_zone(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against shares for instances of other zones, or for those that follow another decider."""
    control = Control()
    for _ in range(5):
        control.poll('a', 18.0)
        control.poll('b', 1.0)
        control.task.decide()
    own = control.poll('a', 18.0).shares
    assert {each.to_zone for each in own} == {'a', 'b'}
    assert {each.from_zone for each in own} == {'a'}
    assert not control.poll('b', 1.0).shares
    assert not control.poll('a', 18.0, is_report=True).shares


async def test_restarted_instance_counts_once(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against the demand of both incarnations of an instance."""
    control = Control()
    for incarnation in range(5):
        control.poll('a', 4.0, sender=f'10.0.1.1:7~{incarnation}')
        control.poll('b', 1.0)
        control.task.decide()
    assert {each.to_zone for each in control.poll('a', 4.0).shares} == {'a'}


async def test_zone_of_an_earlier_build_is_not_idle(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against requests to a zone whose instances do not report their demand."""
    control = Control()
    for _ in range(5):
        control.poll('a', 18.0)
        control.poll('b', None)
        control.task.decide()
    assert {each.to_zone for each in control.poll('a', 18.0).shares} == {'a'}


async def test_capacity_is_what_can_answer(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against room that leaving, changing or prefill engines do not have."""
    control = Control()
    roles = {'p': EngineRole.PREFILL, 'd': EngineRole.DECODE, 'l': EngineRole.DECODE}
    engines = tuple(
        ListedEndpoint(f'{kind}-{zone}', 'chat', ADDRESS, zone, 64, kind == 'l', role)
        for zone in 'ab'
        for kind, role in roles.items()
    )
    planned = ListedEndpoint('x-b', 'chat', ADDRESS, 'b', 64, role=EngineRole.DECODE)
    control.list_endpoints(*engines, planned, ListedEndpoint('o', 'one', ADDRESS, 'a', 6))
    change = PlannedChange(
        'x-b',
        planned.start_number,
        ChangeKind.ROLE.value,
        'prefill',
        1,
        PlanPhase.ANNOUNCED.value,
        2.0,
        1,
    )
    control.knowledge.plans.merge((change,), trio.current_time())
    capacities = count_capacities(control.knowledge, trio.current_time())
    assert capacities == {('chat', 'a'): 64.0, ('chat', 'b'): 64.0}
