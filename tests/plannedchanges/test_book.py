"""Tests of the plans at the leader."""

from __future__ import annotations

import msgspec
import pytest

from shallotmux.fleet import EngineRole
from shallotmux.plannedchanges import (
    ANNOUNCED_TTL_S,
    LISTED_WITHIN_S,
    ORDER_DELAY_S,
    Plan,
    PlanBook,
    PlanState,
    keeps_role_in_use,
)
from tests.plannedchanges._plans import CHANGE_S, ENGINE, LISTED_S, make_engine


def make_book() -> tuple[PlanBook, Plan, list[PlanState]]:
    """Return a book with a plan announced at 0, and the states that plans enter."""
    book = PlanBook()
    states: list[PlanState] = []
    book.on_step.append(lambda plan, _: states.append(plan.state))
    book.begin_term(4, 0)
    plan = book.announce(ENGINE, EngineRole.PREFILL, '3 decode engines, 2 wanted', 0)
    return book, plan, states


def send(book: PlanBook, plan: Plan) -> None:
    """Send the order of a plan when it is due."""
    book.mark_sent(plan, ORDER_DELAY_S, CHANGE_S, ORDER_DELAY_S + LISTED_S)


def phases(book: PlanBook, now: float) -> list[str]:
    """Return the published phases."""
    return [each.phase for each in book.report(now)]


def test_order_is_due_a_fixed_time_after_the_announcement() -> None:
    """Guards against an order that overtakes its announcement."""
    book, plan, _ = make_book()
    assert not book.due(ORDER_DELAY_S - 0.01)
    assert book.due(ORDER_DELAY_S) == [plan]
    assert book.next_due() == pytest.approx(ORDER_DELAY_S)


def test_accepted_order_ends_when_the_list_shows_the_role() -> None:
    """Guards against plans that outlive their change."""
    book, plan, states = make_book()
    send(book, plan)
    assert phases(book, 2) == ['ordered']
    book.record_answer(plan, PlanState.ACCEPTED, 'accepted', 2)
    book.observe('llm', (make_engine(1, EngineRole.PREFILL),), 5)
    assert not book.report(5)
    assert states == [
        PlanState.ANNOUNCED,
        PlanState.SENT,
        PlanState.ACCEPTED,
        PlanState.DONE,
    ]


def test_engine_is_unused_for_no_longer_than_the_bound() -> None:
    """Guards against an engine without work for longer than 3 s announced and 3.8 s ordered."""
    book, plan, _ = make_book()
    assert [each.remaining_s for each in book.report(0)] == [pytest.approx(3)]
    send(book, plan)
    book.record_answer(plan, PlanState.UNKNOWN, 'unknown', 2)
    last = ORDER_DELAY_S + CHANGE_S + LISTED_WITHIN_S
    assert last - ORDER_DELAY_S == pytest.approx(3.8)
    assert phases(book, last - 0.01) == ['ordered']
    assert not book.report(last)


def test_order_without_an_answer_counts_as_ordered() -> None:
    """Guards against work for an engine that may be changing, and a second order to it."""
    book, plan, _ = make_book()
    send(book, plan)
    book.record_answer(plan, PlanState.UNKNOWN, 'unknown', 2.5)
    assert phases(book, 2.6) == ['ordered']
    book.expire(ORDER_DELAY_S + LISTED_S - 0.1)
    assert plan.state is PlanState.UNKNOWN
    book.expire(ORDER_DELAY_S + LISTED_S)
    assert plan.state is PlanState.LAPSED


def test_refused_order_is_withdrawn_everywhere() -> None:
    """Guards against an engine that stays unused although it does not change."""
    book, plan, _ = make_book()
    send(book, plan)
    book.record_answer(plan, PlanState.REFUSED, 'unavailable', 1.7)
    assert phases(book, 1.8) == ['withdrawn']
    book.expire(10)
    assert not book.report(10)


def test_late_answer_does_not_bring_a_plan_back() -> None:
    """Guards against an answer that arrives after the list has shown the role."""
    book, plan, _ = make_book()
    send(book, plan)
    book.observe('llm', (make_engine(1, EngineRole.PREFILL),), 1.7)
    book.record_answer(plan, PlanState.ACCEPTED, 'accepted', 1.8)
    assert plan.state is PlanState.DONE


def test_order_is_not_sent_when_the_announcement_has_expired() -> None:
    """Guards against a leader that stood still and then orders what nobody knows of any more."""
    book, plan, _ = make_book()
    book.expire(ANNOUNCED_TTL_S)
    assert plan.state is PlanState.LAPSED
    assert not book.due(ANNOUNCED_TTL_S)


def test_plans_of_a_former_term_end() -> None:
    """Guards against an order under another term than its announcement."""
    book, plan, _ = make_book()
    book.begin_term(5, 1)
    assert plan.state is PlanState.LAPSED
    assert not book.due(2)
    assert not book.report(1)


@pytest.mark.parametrize('is_ordered', (False, True))
def test_restarted_engine_voids_its_plan(is_ordered: bool) -> None:
    """Guards against an order to, or no work for, a start that was not planned for."""
    book, plan, _ = make_book()
    if is_ordered:
        send(book, plan)
    book.observe('llm', (make_engine(1, started_ms=2),), 2)
    assert plan.state is PlanState.WITHDRAWN


@pytest.mark.parametrize('is_listed', (False, True))
def test_engine_that_leaves_ends_its_announcement(is_listed: bool) -> None:
    """Guards against orders to engines that leave."""
    book, plan, _ = make_book()
    leaving = msgspec.structs.replace(ENGINE, is_leaving=True)
    book.observe('llm', (leaving,) if is_listed else (), 1)
    assert plan.state is PlanState.WITHDRAWN
    assert phases(book, 1.1) == ['withdrawn']


def test_ordered_engine_may_be_missing_in_a_list() -> None:
    """Guards against work for a changing engine that one list leaves out."""
    book, plan, _ = make_book()
    send(book, plan)
    book.observe('llm', (), 2)
    assert plan.is_ordered


def test_at_most_two_plans_of_a_service_are_live() -> None:
    """Guards against many engines of a service that change at once."""
    book, first, _ = make_book()
    assert book.has_room('llm')
    book.announce(make_engine(2), EngineRole.PREFILL, '', 0)
    assert not book.has_room('llm')
    assert book.has_room('other')
    book.withdraw(first, 'test', 1)
    assert book.has_room('llm')


def test_last_engine_of_a_role_is_not_changed() -> None:
    """Guards against a role in which no engine works, as those that change do not count."""
    book, _, _ = make_book()
    plans = book.live('llm')
    other, third = make_engine(2), make_engine(3)
    assert not keeps_role_in_use((ENGINE, other), plans, other)
    assert keeps_role_in_use((ENGINE, other, third), plans, other)
    leaving = msgspec.structs.replace(third, is_leaving=True)
    assert not keeps_role_in_use((ENGINE, other, leaving), plans, other)
    prefill = make_engine(3, EngineRole.PREFILL)
    assert not keeps_role_in_use((ENGINE, other, prefill), plans, other)


def test_newest_plan_of_an_engine_is_reported() -> None:
    """Guards against a withdrawn plan that hides the next one of the same engine."""
    book, plan, _ = make_book()
    book.withdraw(plan, 'test', 0.5)
    book.announce(ENGINE, EngineRole.PREFILL, '', 1)
    reported = book.report(1)
    assert [(each.phase, each.number) for each in reported] == [('announced', 2)]
