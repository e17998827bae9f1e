"""Tests of the copies of plans on other instances."""

from __future__ import annotations

import math

import msgspec
import pytest

from shallotmux.plannedchanges import ANNOUNCED_TTL_S, HeldPlans, PlanPhase
from tests.plannedchanges._plans import START, make_change

ORDERED = make_change('ordered', remaining_s=3.8)
WITHDRAWN = make_change('withdrawn')


def phase_of(held: HeldPlans, now: float, role: str = 'decode') -> PlanPhase | None:
    """Return the phase of the plan for ``e-1``."""
    return held.find_phase('e-1', START, role, now)


def test_plan_goes_through_its_phases() -> None:
    """Guards against engines that get work during a change, or none after it was withdrawn."""
    held = HeldPlans()
    held.merge((make_change(),), 0)
    assert phase_of(held, 0.1) is PlanPhase.ANNOUNCED
    held.merge((ORDERED,), 1.5)
    assert phase_of(held, 1.6) is PlanPhase.ORDERED
    held.merge((WITHDRAWN,), 2)
    assert phase_of(held, 2.1) is None


@pytest.mark.parametrize('late', (make_change(), ORDERED))
def test_late_copy_does_not_bring_a_phase_back(late: object) -> None:
    """Guards against a delayed or repeated message that stops work after a withdrawal."""
    held = HeldPlans()
    held.merge((WITHDRAWN,), 1)
    held.merge((late,), 1.2)
    assert phase_of(held, 1.3) is None


def test_announcement_that_arrives_after_the_order_is_ignored() -> None:
    """Guards against reordered messages that let an ordered engine get work as an announced one."""
    held = HeldPlans()
    held.merge((ORDERED,), 1)
    held.merge((make_change(),), 1.1)
    assert phase_of(held, 1.2) is PlanPhase.ORDERED


@pytest.mark.parametrize(('change', 'bound_s'), ((make_change(), 3.0), (ORDERED, 3.8)))
def test_repeated_copies_do_not_prolong_a_phase(change: object, bound_s: float) -> None:
    """Guards against an engine that stays unused for longer than the bound, as copies go round."""
    held = HeldPlans()
    unused_s = 0.0
    for step in range(200):
        now = step * 0.1
        held.merge((change,), now)
        unused_s += 0.1 * (phase_of(held, now) is not None)
    assert 0 < unused_s <= bound_s + 0.15


def test_announcement_ends_whatever_it_says() -> None:
    """Guards against an engine that is unused for longer than the bound before its order."""
    held = HeldPlans()
    held.merge((make_change(remaining_s=25.0),), 0)
    assert phase_of(held, ANNOUNCED_TTL_S - 0.1) is not None
    assert phase_of(held, ANNOUNCED_TTL_S) is None


@pytest.mark.parametrize('remaining_s', (math.nan, math.inf, -1.0))
def test_odd_times_are_ignored(remaining_s: float) -> None:
    """Guards against an engine that is left unused for ever by one odd message."""
    held = HeldPlans()
    held.merge((make_change('ordered', remaining_s=remaining_s),), 0)
    assert held.is_empty


@pytest.mark.parametrize('field', ('phase', 'kind'))
def test_values_of_later_builds_are_ignored(field: str) -> None:
    """Guards against a plan whose meaning this build does not know."""
    held = HeldPlans()
    held.merge((msgspec.structs.replace(make_change(), **{field: 'later'}),), 0)
    assert phase_of(held, 0.1) is None


def test_older_terms_are_dropped() -> None:
    """Guards against two leaders whose plans hold together."""
    held = HeldPlans()
    held.merge((make_change(), make_change(identity='e-2')), 0)
    held.merge((make_change(identity='e-3', term=5),), 0.5)
    assert [each.identity for each in held.report(0.6)] == ['e-3']
    held.merge((make_change('ordered', number=9),), 0.7)
    assert phase_of(held, 0.8) is None


def test_plan_for_another_start_is_void() -> None:
    """Guards against a restarted engine that gets no work for the plan of its former start."""
    held = HeldPlans()
    held.merge((ORDERED,), 0)
    assert held.find_phase('e-1', START + 1, 'decode', 0.1) is None
    assert held.blamed_phase('e-1', START + 1, 0.1) is None


def test_list_ends_a_plan_for_good() -> None:
    """Guards against an engine that stays unused although the list shows its new role."""
    held = HeldPlans()
    held.merge((ORDERED,), 0)
    assert phase_of(held, 2, 'prefill') is None
    held.record_role('e-1', 'prefill', 2)
    held.merge((ORDERED,), 2.1)
    assert phase_of(held, 2.2, 'decode') is None


def test_next_plan_of_an_engine_replaces_the_former_one() -> None:
    """Guards against a second change of an engine that is taken for a copy of the first."""
    held = HeldPlans()
    held.merge((WITHDRAWN,), 0)
    held.merge((make_change(number=2),), 1)
    assert phase_of(held, 1.1) is PlanPhase.ANNOUNCED


def test_copies_end_when_nothing_arrives() -> None:
    """Guards against an instance that is cut off and never uses an engine again."""
    held = HeldPlans()
    held.merge((make_change(), make_change('ordered', identity='e-2', remaining_s=3.8)), 0)
    assert len(held.report(2.9)) == 2
    assert not held.report(3.8)
    held.merge((), 30)
    assert held.is_empty


def test_remaining_time_falls_from_copy_to_copy() -> None:
    """Guards against a chain of instances in which each one starts the time anew."""
    first, second = HeldPlans(), HeldPlans()
    first.merge((ORDERED,), 0)
    second.merge(first.report(2), 2)
    assert phase_of(second, 3.7) is PlanPhase.ORDERED
    assert phase_of(second, 3.8) is None


def test_refusals_are_put_down_to_an_order_for_six_seconds() -> None:
    """Guards against refusals of busy engines that are counted as caused by an order, and reverse."""
    held = HeldPlans()
    assert held.blamed_phase('e-1', START, 0) is None
    held.merge((make_change(),), 0)
    assert held.blamed_phase('e-1', START, 1) is PlanPhase.ANNOUNCED
    assert held.blamed_phase('e-1', START, 3.1) is None
    held.merge((make_change('ordered', remaining_s=3.0, age_s=0.8),), 3.8)
    assert held.blamed_phase('e-1', START, 8.9) is PlanPhase.ORDERED
    assert held.blamed_phase('e-1', START, 9.1) is None
