"""Tests of the decider of a zone, which sees reports and lists."""

from __future__ import annotations

from random import Random

import pytest

from shallotmux.overflow import InstanceUse, OverflowDecider, OverflowShare, ServiceUse
from tests.support.log_lines import capture_lines

CAPACITIES = {('desk', zone): 10.0 for zone in 'abc'}


class Zones:
    """Entry instances of three zones, two in each, that report to deciders."""

    def __init__(self, *deciders: OverflowDecider) -> None:
        self.deciders = deciders
        self.demands = {'a': 18.0, 'b': 2.0, 'c': 2.0}
        self.cut_off: dict[str, tuple[str, ...]] = {}
        self.silent = ''
        self.now = 100.0

    def run(self, seconds: int = 1) -> None:
        """Report and decide once a second."""
        for _ in range(seconds):
            self.now += 1
            self.report()
            for each in self.deciders:
                each.decide(CAPACITIES, 0.4, self.now)

    def report(self) -> None:
        """Send the reports of all instances but those of the silent zone."""
        for zone in self.demands.keys() - {self.silent}:
            use = ServiceUse('desk', self.demands[zone] / 2 / 0.09, 90.0, 2.0)
            report = InstanceUse(zone, (use,), self.cut_off.get(zone, ()), self.now)
            for each in self.deciders:
                each.record(f'{zone}-0', report)
                each.record(f'{zone}-1', report)


def sent(decider: OverflowDecider) -> dict[str, float]:
    """Return the shares that go to other zones."""
    return {each.to_zone: each.share for each in decider.own_shares if each.to_zone != decider.zone}


def test_overloaded_zone_sends_and_says_why() -> None:
    """Guards against a decision that does not follow from the reports, or is not explained."""
    decider = OverflowDecider('a', 1.0)
    changes: list[OverflowShare] = []
    decider.on_change = changes.append
    zones = Zones(decider)
    with capture_lines('shallotmux:overflow-share') as lines:
        zones.run(20)
    assert sent(decider).keys() == {'b', 'c'}
    assert sent(decider)[changes[-1].to_zone] == pytest.approx(changes[-1].share)
    assert len(lines) == len(changes)
    assert lines[-1]['source'].keys() >= {'demand', 'capacity', 'expected_ms', 'age_s'}
    zones.run(20)
    assert len(changes) == len(lines)


def test_two_deciders_agree() -> None:
    """Guards against two deciders of a zone whose shares differ, so that a change of the followed one shows."""
    first, second = OverflowDecider('a', 1.0), OverflowDecider('a', 1.0)
    zones = Zones(first, second)
    zones.run(20)
    assert sent(first)
    assert sent(first) == sent(second)
    restarted = OverflowDecider('a', 1.0)
    zones.deciders = (first, restarted)
    zones.run(20)
    assert sent(first).keys() == sent(restarted).keys()
    first_sent, again_sent = sum(sent(first).values()), sum(sent(restarted).values())
    assert first_sent == pytest.approx(again_sent, abs=0.06)


def test_restarted_decider_does_not_begin_anew() -> None:
    """Guards against an overloaded zone whose requests all come back when its decider restarts."""
    first, restarted = OverflowDecider('a', 1.0), OverflowDecider('a', 1.0)
    zones = Zones(first)
    zones.run(20)
    zones.deciders = (first, restarted)
    zones.run(2)
    assert sum(sent(restarted).values()) == pytest.approx(sum(sent(first).values()), abs=0.06)
    zones.demands['a'] = 2.0
    zones.run()
    assert sent(restarted)


def test_zone_that_is_silent_gets_nothing() -> None:
    """Guards against requests to a zone that was cut off, and against none when it is back."""
    decider = OverflowDecider('a', 1.0)
    zones = Zones(decider)
    zones.run(20)
    zones.silent = 'b'
    zones.run(3)
    assert 'b' in sent(decider)
    zones.run()
    assert sent(decider).keys() == {'c'}
    zones.silent = ''
    zones.run(5)
    assert sent(decider).keys() == {'b', 'c'}


def test_zone_that_reaches_no_endpoint_gets_nothing() -> None:
    """Guards against requests to a zone whose own instances do not reach its endpoints."""
    decider = OverflowDecider('a', 1.0)
    zones = Zones(decider)
    zones.cut_off['b'] = ('desk',)
    zones.run(10)
    assert sent(decider).keys() == {'c'}


def test_old_list_ends_all_shares() -> None:
    """Guards against decisions on endpoints that may be gone."""
    decider = OverflowDecider('a', 1.0)
    zones = Zones(decider)
    zones.run(10)
    zones.report()
    decider.decide(CAPACITIES, 3.1, zones.now)
    assert not decider.own_shares


def test_noise_does_not_flap() -> None:
    """Guards against shares that follow the random arrivals of a few seconds."""
    random = Random(5)
    for means in ((9.4, 6.0, 5.0), (9.0, 8.0, 7.5), (12.0, 9.0, 4.0)):
        decider = OverflowDecider('a', 1.0)
        changes: list[OverflowShare] = []
        decider.on_change = changes.append
        zones = Zones(decider)
        for _ in range(300):
            zones.demands = {
                zone: mean * random.gauss(1, 0.06) for zone, mean in zip('abc', means, strict=True)
            }
            zones.run()
        assert len(changes) <= 60


def test_implausible_report_is_dropped() -> None:
    """Guards against one instance that spoils the figures of its zone."""
    decider = OverflowDecider('a', 1.0)
    zones = Zones(decider)
    wrong = InstanceUse('a', (ServiceUse('desk', float('nan'), 90.0, 2.0),), (), 101.0)
    decider.record('a-9', wrong)
    zones.run(5)
    assert sent(decider)


def test_unknown_service_time_is_taken_from_the_others() -> None:
    """Guards against a zone whose instances have just started and count as idle."""
    decider = OverflowDecider('a', 1.0)
    zones = Zones(decider)
    zones.run()
    new = InstanceUse('a', (ServiceUse('desk', 100.0),), (), zones.now)
    for number in range(2):
        decider.record(f'a-{number}', new)
    decider.decide(CAPACITIES, 0.4, zones.now)
    assert sent(decider)
