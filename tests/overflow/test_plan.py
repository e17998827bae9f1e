"""Tests of the shares that zones send to other zones."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from random import Random

import pytest

from shallotmux.overflow import (
    MAX_STEP,
    ROOM_UTILISATION,
    OverflowShare,
    ZoneLoad,
    plan_overflow,
)

CAPACITY = 10.0


def load(zone: str, demand: float, capacity: float = CAPACITY, age_s: float = 0.5) -> ZoneLoad:
    """Return the load of a service whose requests take 90 ms."""
    return ZoneLoad(zone, 'desk', demand, capacity, 90.0, 2.0, age_s)


def settle(
    zones: Iterable[ZoneLoad], price: float = 1.0, before: tuple[OverflowShare, ...] = ()
) -> tuple[OverflowShare, ...]:
    """Return the shares after enough decisions on the same figures."""
    loads = tuple(zones)
    for _ in range(20):
        before = plan_overflow(loads, price, before)
    return before


def sent(shares: Iterable[OverflowShare], zone: str = 'a') -> dict[str, float]:
    """Return the shares of a zone that go to other zones."""
    return {
        each.to_zone: each.share
        for each in shares
        if each.from_zone == zone and each.to_zone != zone
    }


def test_even_load_stays() -> None:
    """Guards against traffic between zones that saves nothing."""
    shares = settle(load(zone, 6.0) for zone in 'abc')
    assert shares == tuple(OverflowShare('desk', zone, zone, 1.0) for zone in 'abc')


def test_zone_at_twice_its_capacity_sends_the_excess() -> None:
    """Guards against a queue in one zone beside idle endpoints in others."""
    zones = (load('a', 20.0), load('b', 2.0), load('c', 2.0))
    shares = sent(settle(zones))
    assert shares.keys() == {'b', 'c'}
    assert shares['b'] == pytest.approx(shares['c'], abs=0.05)
    kept = 20.0 * (1 - sum(shares.values()))
    assert kept < CAPACITY
    for zone in 'bc':
        assert 2.0 + 20.0 * shares[zone] <= (ROOM_UTILISATION + 0.05) * CAPACITY


def test_all_zones_overloaded_keep_their_own() -> None:
    """Guards against overloaded zones that exchange requests."""
    shares = settle((load('a', 25.0), load('b', 12.0), load('c', 10.0)))
    assert not sent(shares) and not sent(shares, 'b') and not sent(shares, 'c')


def test_cheaper_traffic_sends_more() -> None:
    """Guards against a price that is ignored."""
    zones = (load('a', 9.3), load('b', 1.0))
    free, usual, dear = (sum(sent(settle(zones, price)).values()) for price in (0.0, 5.0, 500.0))
    assert usual
    assert free > usual
    assert not dear


def test_room_is_divided_in_proportion() -> None:
    """Guards against two senders that each take the whole room."""
    zones = (load('a', 20.0), load('b', 15.0), load('c', 3.0))
    shares = settle(zones)
    received = 20.0 * sent(shares)['c'] + 15.0 * sent(shares, 'b')['c']
    assert 3.0 + received <= (ROOM_UTILISATION + 0.05) * CAPACITY
    assert sent(shares, 'b')['c'] > 0
    assert 20.0 * sent(shares)['c'] > 15.0 * sent(shares, 'b')['c']


@pytest.mark.parametrize('lost', [{'age_s': 3.1}, {'is_cut_off': True}])
def test_zone_that_is_lost_and_back(lost: dict[str, float]) -> None:
    """Guards against requests to a zone that is cut off, or whose figures are old."""
    zones = (load('a', 20.0), load('b', 2.0), load('c', 2.0))
    shares = settle(zones)
    without = (zones[0], replace(zones[1], **lost), zones[2])  # type: ignore[arg-type]
    shares = plan_overflow(without, 1.0, shares)
    assert sent(shares).keys() == {'c'}
    assert not any(each.from_zone == 'b' for each in shares)
    shares = plan_overflow(zones, 1.0, settle(without, before=shares))
    assert 'b' in sent(shares)
    assert sent(shares)['b'] <= MAX_STEP + 1e-9


def test_zone_with_old_figures_sends_nothing() -> None:
    """Guards against shares that follow from figures which do not hold any more."""
    zones = (load('a', 20.0, age_s=3.1), load('b', 2.0), load('c', 2.0))
    assert not sent(settle(zones))


def test_share_moves_by_steps() -> None:
    """Guards against the whole excess of a zone that moves at once."""
    zones = (load('a', 20.0), load('b', 2.0))
    shares: tuple[OverflowShare, ...] = ()
    seen = [0.0]
    for _ in range(4):
        shares = plan_overflow(zones, 1.0, shares)
        seen.append(sent(shares)['b'])
    steps = [after - before for before, after in zip(seen[:-1], seen[1:], strict=True)]
    assert max(steps) <= MAX_STEP + 1e-9


def test_share_ends_with_its_cause() -> None:
    """Guards against requests that are sent elsewhere for good."""
    shares = settle((load('a', 20.0), load('b', 2.0)))
    assert sent(shares)
    assert not sent(settle((load('a', 3.0), load('b', 2.0)), before=shares))


def test_share_begins_with_a_margin_and_ends_below_half_of_it() -> None:
    """Guards against a share that begins and ends at the same load."""

    def zones(demand: float) -> tuple[ZoneLoad, ...]:
        return load('a', demand), load('b', 1.0)

    demands = [each / 100 for each in range(300, 1000)]
    before = settle(zones(9.9))
    begins = min(each for each in demands if sent(settle(zones(each))))
    ends = max(each for each in demands if not sent(settle(zones(each), before=before)))
    assert ends < begins - 0.1


def test_small_share_ends_where_little_is_saved() -> None:
    """Guards against a small share that stays for good, as it differs little from the one calculated."""
    before = (OverflowShare('desk', 'a', 'a', 0.94), OverflowShare('desk', 'a', 'b', 0.06))
    gains = {
        each / 100: load('a', each / 100).time_ms() - load('b', 1.0).time_ms()
        for each in range(300, 1000)
    }
    # The price of 2 KB and the round trip are 3.8 ms.
    pays_little = max(demand for demand, saved_ms in gains.items() if saved_ms < 1.3 * 3.8)
    pays = min(demand for demand, saved_ms in gains.items() if saved_ms > 1.7 * 3.8)
    assert not sent(plan_overflow((load('a', pays_little), load('b', 1.0)), 1.0, before))
    assert sent(plan_overflow((load('a', pays), load('b', 1.0)), 1.0, before))


def test_noisy_loads_do_not_flap() -> None:
    """Guards against shares that follow the noise of the measured demand."""
    random = Random(7)
    shares: tuple[OverflowShare, ...] = ()
    changes = 0
    for _ in range(300):
        zones = tuple(
            load(zone, mean * random.uniform(0.97, 1.03))
            for zone, mean in (('a', 9.4), ('b', 6.0), ('c', 5.0))
        )
        before = sent(shares)
        shares = plan_overflow(zones, 1.0, shares)
        changes += before != sent(shares)
    assert changes <= 60
