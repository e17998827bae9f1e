"""Tests of the checks on the configuration that instances read back and obey."""

from __future__ import annotations

import pytest

from shallotmux.checking.programs import (
    Call,
    Change,
    Disruption,
    Reading,
    Records,
    Trouble,
    find_violations,
)
from shallotmux.forwarding import RetryBudgetLimits

CONTROLS = ('control-1', 'control-2', 'control-3')

#: Versions 1 to 3 were acknowledged at 11, 21 and 31; each holds its own route and the one before.
CHANGES = tuple(
    Change(
        number,
        frozenset((f'/added-{number}/', f'/added-{number - 1}/', f'key-{number}')),
        10.0 * number,
        acknowledged_at=10.0 * number + 1,
        statuses=[200],
    )
    for number in (1, 2, 3)
)


def make_probe(
    item: str, status: int | None, at: float, *, kept_s: float = 0.1, run: int = 1
) -> Call:
    body = b'p-1' if status == 200 else b''
    return Call('p-1', 'safe', 'entry-1', at, at + kept_s, status, body, item=item, run=run)


def find(*calls: Call, changes: tuple[Change, ...] = CHANGES, **fields: object) -> list[str]:
    records = Records(list(calls), changes=list(changes), controls=CONTROLS, ended_at=60, **fields)
    return find_violations(records, RetryBudgetLimits())


@pytest.mark.parametrize(
    ('probe', 'expected'),
    (
        (make_probe('/added-2/', 404, 23.5), 'hold it'),
        (make_probe('key-3', 401, 33.5), 'hold it'),
        (make_probe('/added-1/', 200, 33.5), 'none of [3] holds it'),
        (make_probe('key-2', 200, 33.5), 'none of [3] holds it'),
        (make_probe('', 404, 5), 'was answered 404'),
    ),
)
def test_instance_that_obeys_an_older_change_is_found(probe: Call, expected: str) -> None:
    """Guards against an added route that is not served, and a dropped one that still is."""
    violations = find(probe)
    assert len(violations) == 1
    assert expected in violations[0]


def test_change_has_time_to_be_in_force() -> None:
    """Guards against violations in the time that a change may take."""
    assert not find(make_probe('/added-2/', 404, 22.9))
    assert not find(make_probe('/added-2/', 200, 20.1))
    assert not find(make_probe('/added-1/', 200, 32.9))
    assert not find(make_probe('/added-2/', 503, 40))
    assert not find(make_probe('/added-2/', None, 40))


def test_disrupted_instance_has_more_time() -> None:
    """Guards against time limits for instances that were just killed, and against wider excuses."""
    probe = make_probe('/added-2/', 404, 25)
    assert not find(probe, disruptions=[Disruption('entry-1', 22.5, 22.5)])
    assert find(probe, disruptions=[Disruption('entry-1', 21.5, 21.5)])
    assert find(probe, disruptions=[Disruption('entry-2', 24.5, 24.5)])


def test_disrupted_control_group_adds_time() -> None:
    """Guards against a control instance whose end excuses everything."""
    killed = Disruption('control-1', 24, 24)
    assert not find(make_probe('/added-2/', 404, 25), disruptions=[killed])
    assert find(make_probe('/added-2/', 404, 29), disruptions=[killed])
    most = [killed, Disruption('control-2', 25, 25)]
    assert not find(make_probe('/added-2/', 404, 29), disruptions=most)


def test_instance_that_falls_back_is_found_at_any_time() -> None:
    """Guards against an older change after a newer one, also at an instance that was disrupted."""
    newer = make_probe('/added-3/', 200, 30.2, run=1)
    disruptions = [Disruption('entry-1', 30, 30, Trouble.PAUSE)]
    assert find(newer, make_probe('/added-3/', 404, 32.9), disruptions=disruptions)
    assert not find(newer, make_probe('/added-3/', 404, 32.1), disruptions=disruptions)
    assert not find(newer, make_probe('/added-3/', 404, 32.9, run=2), disruptions=disruptions)


def test_older_or_other_configuration_that_is_read_is_found() -> None:
    """Guards against reads that are only looked at when the run is over."""
    second, third = CHANGES[1:]
    sound = Reading('control-1', 33.1, 33.2, 3, third.items)
    older = Reading('control-1', 33.1, 33.2, 2, second.items)
    other = Reading('control-1', 33.1, 33.2, 3, second.items)
    assert not find(readings=[sound, Reading('control-1', 32.9, 33.5, 2, second.items)])
    assert 'though 3 had been acknowledged' in find(readings=[older])[0]
    assert 'not what was sent' in find(readings=[other])[0]


def test_other_content_under_a_version_is_found() -> None:
    """Guards against a second content under a version that is read back or obeyed."""
    conflicting = Change(3, frozenset(('/other-3/',)), 35, is_conflicting=True, statuses=[200])
    changes = (*CHANGES, conflicting)
    assert not find(make_probe('/other-3/', 404, 40), changes=changes)
    assert find(make_probe('/other-3/', 200, 40), changes=changes)
    assert find(changes=changes, readings=[Reading('control-1', 36, 36, 3, conflicting.items)])


def test_invalid_change_must_be_refused() -> None:
    """Guards against an invalid configuration that is acknowledged, read back or obeyed."""
    items = frozenset(('/added-9/',))
    refused = Change(9, items, 35, is_valid=False, statuses=[400])
    changes = (*CHANGES, refused)
    assert not find(make_probe('/added-9/', 404, 40), changes=changes)
    assert find(make_probe('/added-9/', 200, 40), changes=changes)
    assert find(changes=changes, readings=[Reading('control-1', 36, 36, 9, items)])
    acknowledged = Change(9, items, 35, is_valid=False, statuses=[200])
    assert 'invalid and was acknowledged' in find(changes=(*CHANGES, acknowledged))[0]


def test_valid_change_must_not_be_refused() -> None:
    """Guards against a change that is refused, or refused when it is sent again."""
    again = Change(4, frozenset(), 40, acknowledged_at=41, statuses=[200, 409])
    assert 'valid and was refused' in find(changes=(*CHANGES, again))[0]
    busy = Change(4, frozenset(), 40, acknowledged_at=41, statuses=[503, 200])
    assert not find(changes=(*CHANGES, busy))


def test_late_acknowledgement_is_found_while_the_group_is_stable() -> None:
    """Guards against changes that wait for ever, and against a limit during disruptions."""
    late = Change(4, frozenset(), 40, acknowledged_at=44.5, statuses=[200])
    assert 'not acknowledged in time' in find(changes=(*CHANGES, late))[0]
    assert not find(changes=(*CHANGES, late), disruptions=[Disruption('control-1', 38, 38)])
    never = Change(4, frozenset(), 40)
    assert find(changes=(*CHANGES, never), disruptions=[Disruption('control-1', 45, 45)])
