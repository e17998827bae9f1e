"""Tests of the choice of the control instance to follow."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from math import inf

from shallotmux.fleetnews import ControlInstance, choose_main

CONTROLS = tuple(
    ControlInstance(f'10.0.{number}.{each}:7', zone)
    for number, zone in enumerate('abc')
    for each in (1, 2)
)


def change(name: str, **fields: object) -> tuple[ControlInstance, ...]:
    """Return the control instances with one of them changed."""
    return tuple(
        replace(each, **fields) if each.name == name else each  # type: ignore[arg-type]
        for each in CONTROLS
    )


def test_instances_of_a_zone_follow_the_same_control_instance_there() -> None:
    """Guards against polls across zones while a control instance of the zone is there."""
    chosen = {choose_main(CONTROLS, 'b', f'entry-{number}') for number in range(30)}
    assert chosen == {'10.0.1.1:7'}


def test_lost_unsettled_and_outdated_ones_are_passed_over() -> None:
    """Guards against a fleet state that stops with the control instance that is followed."""
    for fields in ({'retry_at': 3.0}, {'is_settled': False}, {'list_age_s': 1.5}):
        assert choose_main(change('10.0.1.1:7', **fields), 'b', 'e') == '10.0.1.2:7'
    assert choose_main(change('10.0.1.1:7', list_age_s=inf), 'b', 'e') == '10.0.1.2:7'
    assert choose_main(change('10.0.1.1:7', list_age_s=1.0), 'b', 'e') == '10.0.1.1:7'


def test_zone_without_control_instances_spreads_over_the_others() -> None:
    """Guards against all polls of a zone at one control instance of another one."""
    chosen = Counter(choose_main(CONTROLS, 'd', f'entry-{number}') for number in range(60))
    assert len(chosen) == len(CONTROLS)
    assert max(chosen.values()) < 25
    assert choose_main((), 'd', 'e') is None


def test_when_all_are_lost_the_one_to_be_called_first_is_chosen() -> None:
    """Guards against an instance that polls nobody, or always the same lost one."""
    lost = tuple(replace(each, retry_at=float(9 - index)) for index, each in enumerate(CONTROLS))
    assert choose_main(lost, 'a', 'e') == CONTROLS[-1].name


def test_old_lists_everywhere_change_nothing() -> None:
    """Guards against moves across zones while the platform answers nobody."""
    old = tuple(replace(each, list_age_s=9.0) for each in CONTROLS)
    assert choose_main(old, 'b', 'e') == '10.0.1.1:7'
