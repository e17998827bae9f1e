"""What a customer gets while machines, links or messages fail."""

from __future__ import annotations

from dataclasses import replace
from functools import partial

import pytest

from shallotmux.quotas import QuotaTerms
from shallotmux.routes import CustomerQuota, QuotaUnit
from tests.quotas._simulation import Faults, Simulation

RATE = 500_000.0
QUOTA = CustomerQuota(RATE, RATE, QuotaUnit.TOKENS, 200)
TERMS = QuotaTerms(8, 0.1, 190_000)
ZONES = tuple(tuple(f'10.{zone}.0.{number}:1' for number in range(4)) for zone in range(4))
NAMES = tuple(name for zone in ZONES for name in zone)
SIZE = 5000.0

#: Time of the failure, after which the customer has used its quota for a while, and end of the run.
FAILS_S, END_S = 8.0, 26.0

#: Length of a partition that outlasts all that instances remember of each other for the majority.
LONG_S = 150.0

#: Time after which another granter must have replaced a lost one.
REPLACED_S = 3.0

#: Time after which another one must grant when one stops as planned: a hold, a round, and messages.
HANDED_OVER_S = 0.7


def start(share: float = 0.9, faults: Faults | None = None, end_s: float = END_S) -> Simulation:
    """Return a run up to the failure, with requests evenly over all instances."""
    run = Simulation(NAMES, QUOTA, TERMS, faults)
    run.send_evenly(NAMES, share * RATE, SIZE, end_s, 1.0)
    run.run(FAILS_S)
    assert len(run.granters()) == 1
    return run


def refused_between(run: Simulation, begin: float, end: float) -> int:
    """Return the number of refusals in an interval."""
    return sum(begin <= at < end for at, _ in run.refused)


def test_killed_granter_is_replaced() -> None:
    """Guards against a customer that waits for a dead granter, or gets its burst anew."""
    run = start(6)
    former = run.granters()[0]
    run.kill(former)
    run.run(FAILS_S + REPLACED_S)
    new = run.granters()
    assert len(new) == 1
    assert former not in new
    run.run(END_S)
    assert run.used_between(FAILS_S + REPLACED_S, END_S) >= 0.95 * RATE * (
        END_S - FAILS_S - REPLACED_S
    ) * (len(NAMES) - 1) / len(NAMES)
    assert run.most_in_window() <= run.bound()


def test_stopped_granter_is_replaced_at_once() -> None:
    """Guards against planned stops that cost as much as the loss of a granter, at each upgrade."""
    run = start(0.9)
    former = run.granters()[0]
    run.stop(former)
    run.run(FAILS_S + 0.4)
    assert not run.granters()
    run.run(FAILS_S + HANDED_OVER_S)
    new = run.granters()
    assert len(new) == 1
    assert former not in new
    run.run(END_S)
    assert run.most_in_window() <= run.bound()


def test_restarted_granter_waits_for_its_former_grants() -> None:
    """Guards against an instance that has forgotten what it granted, and grants it again at once."""
    run = start(6)
    run.restart(run.granters()[0])
    run.run(FAILS_S + 0.9)
    assert not run.granters()
    run.run(END_S)
    assert run.most_in_window() <= run.bound()


def test_halves_of_a_partition_grant_nothing_beyond_the_isolated_shares() -> None:
    """Guards against two granters, one on each side, also after minutes of partition."""
    # What the others have seen counts for a minute after they have forgotten it themselves.
    run = start(1.5, end_s=FAILS_S + LONG_S)
    run.separate({*ZONES[0], *ZONES[1]})
    run.run(FAILS_S + REPLACED_S)
    assert not run.granters()
    run.run(FAILS_S + LONG_S)
    assert not run.granters()
    isolated = run.used_between(FAILS_S + 20, FAILS_S + 80)
    assert 0 < isolated <= 0.1 * RATE * 60
    assert run.most_in_window() <= run.bound()


@pytest.mark.parametrize('has_granter', [True, False])
def test_zone_that_is_cut_off_uses_isolated_shares(*, has_granter: bool) -> None:
    """Guards against a cut off zone that goes on granting, and other zones without a granter."""
    run = start(6)
    granter = run.granters()[0]
    zone = next(each for each in ZONES if (granter in each) is has_granter)
    run.separate(set(zone))
    run.run(FAILS_S + REPLACED_S)
    new = run.granters()
    assert len(new) == 1
    assert new[0] not in zone
    run.run(END_S)
    assert run.most_in_window() <= run.bound()
    used = run.used_between(FAILS_S + REPLACED_S, END_S)
    assert used >= 0.95 * RATE * (END_S - FAILS_S - REPLACED_S)


def test_two_zones_without_a_link_between_them_have_one_granter() -> None:
    """Guards against two granters where the lists of both zones hold a majority."""
    run = start(6)
    zone = next(each for each in ZONES if run.granters()[0] in each)
    other = next(each for each in ZONES if each != zone)
    run.separate(set(zone), set(other))
    for step in range(1, 40):
        run.run(FAILS_S + step * (END_S - FAILS_S) / 40)
        assert len(run.granters()) <= 1
    assert run.most_in_window() <= run.bound()


def test_lost_doubled_and_late_messages_cost_little() -> None:
    """Guards against grants that count twice, and quota that is lost with a datagram."""
    faults = Faults((0.001, 0.004), lost=0.02, doubled=0.1, late=0.02)
    run = start(0.9, faults)
    run.run(END_S)
    used = run.used_between(FAILS_S, END_S)
    assert used >= 0.97 * 0.9 * RATE * (END_S - FAILS_S)
    limited = Simulation(NAMES, QUOTA, TERMS, faults)
    limited.send_evenly(NAMES, 6 * RATE, SIZE, END_S)
    limited.run(END_S)
    assert limited.most_in_window() <= limited.bound()


def test_restarted_instance_neither_uses_nor_promises_what_it_has_forgotten() -> None:
    """Guards against a stock or an isolated share that is used anew after each restart."""
    run = start(6)
    for step in range(1, 30):
        run.at(FAILS_S + step / 2, partial(run.restart, NAMES[0]))
        run.at(FAILS_S + step / 2, partial(run.separate, {NAMES[0]}))
    run.run(END_S)
    assert run.most_in_window() <= run.bound()


def test_granter_stays_while_the_list_shrinks_and_grows() -> None:
    """Guards against a handover, with a pause in granting, each time that an instance comes or goes."""
    run = start(0.9)
    granter = run.granters()[0]
    others = [each for each in NAMES if each != granter][:5]
    for number, name in enumerate(others):
        run.at(FAILS_S + number, partial(run.kill, name))
        run.at(FAILS_S + 7 + number, partial(run.restart, name))
    refused = len(run.refused)
    for step in range(1, 60):
        run.run(FAILS_S + step * (END_S - FAILS_S) / 60)
        assert run.granters() == (granter,)
    # A process that has just started is not in the lists of the others, and has no isolated share.
    assert len(run.refused) - refused <= 30


@pytest.mark.parametrize('factor', [0.1, 0.5])
def test_lowered_quota_applies_at_once(factor: float) -> None:
    """Guards against a stock or a bucket that holds what a former document allowed."""
    run = start(6)
    run.quota = replace(QUOTA, rate_per_s=factor * RATE, burst=factor * RATE)
    run.apply_quota(run.quota)
    run.run(FAILS_S + 1)
    run.arrivals.clear()
    run.run(END_S)
    assert run.most_in_window() <= run.bound()
    assert run.used_between(FAILS_S + 1, END_S) >= 0.95 * factor * RATE * (END_S - FAILS_S - 1)


def test_raised_and_removed_quotas_apply_at_once() -> None:
    """Guards against customers that are still limited after a document allows them more."""
    run = start(6)
    run.quota = replace(QUOTA, rate_per_s=3 * RATE, burst=3 * RATE)
    run.apply_quota(run.quota)
    run.run(FAILS_S + 8)
    assert run.used_between(FAILS_S + 1, FAILS_S + 8) >= 0.95 * 3 * RATE * 7
    run.apply_quota(None)
    before = len(run.refused)
    run.run(END_S)
    assert len(run.refused) <= before + 5


@pytest.mark.parametrize('pause_s', [0.3, 3.0])
def test_paused_instances_use_nothing_that_has_expired(pause_s: float) -> None:
    """Guards against a granter or a stock that goes on after a pause as if no time had passed."""
    run = start(6)
    for name in (*run.granters(), *NAMES[:3]):
        run.pause(name, FAILS_S + pause_s)
    run.run(FAILS_S + REPLACED_S)
    assert len(run.granters()) == 1
    run.run(END_S)
    assert run.most_in_window() <= run.bound()


def test_isolated_instances_serve_large_requests_too() -> None:
    """Guards against requests that are larger than an even share and are never served without a granter."""
    run = Simulation(NAMES, QUOTA, TERMS)
    run.run(FAILS_S)
    for zone in ZONES:
        run.separate(set(zone))
    run.run(FAILS_S + REPLACED_S)
    run.send_evenly(NAMES, RATE, 17_000.0, END_S, FAILS_S + REPLACED_S)
    run.run(END_S)
    assert len(run.arrivals) >= 8
    assert run.most_in_window() <= run.bound()


def test_granter_stays_while_some_lists_name_few_instances() -> None:
    """Guards against a pause in granting after a restart of control instances, which have heard few polls."""
    run = start(0.9)
    granter = run.granters()

    def shorten_lists() -> None:
        for each in run.instances.values():
            each.entries = NAMES[-2:]
        run.at(run.now + 0.2, shorten_lists)

    refused = len(run.refused)
    run.at(FAILS_S + 0.01, shorten_lists)
    for step in range(1, 30):
        run.run(FAILS_S + step / 6)
        assert run.granters() == granter
    assert len(run.refused) == refused
