"""Tests of the shares that an instance follows."""

from __future__ import annotations

from collections import Counter
from random import Random

from shallotmux.overflow import SHARES_TTL_S, HeldShares, OverflowShare, choose_zone

SHARES = (
    OverflowShare('desk', 'a', 'a', 0.7),
    OverflowShare('desk', 'a', 'b', 0.2),
    OverflowShare('desk', 'a', 'c', 0.1),
)


def test_zone_is_drawn_by_share() -> None:
    """Guards against requests that do not follow the decision."""
    random = Random(3)
    drawn = Counter(choose_zone(SHARES, 'a', random.random()) for _ in range(10_000))
    assert abs(drawn['a'] - 7000) < 150
    assert abs(drawn['b'] - 2000) < 150
    assert choose_zone((), 'a', 0.5) == 'a'


def test_draw_beyond_rounded_shares_stays() -> None:
    """Guards against a draw that no share covers, as shares sum up to 1 but for rounding."""
    shares = (OverflowShare('desk', 'a', 'b', 0.3), OverflowShare('desk', 'a', 'a', 0.699))
    assert choose_zone(shares, 'a', 0.9999) == 'a'


def test_shares_lapse_without_their_decider() -> None:
    """Guards against requests that follow a decider that was lost."""
    held = HeldShares()
    held.replace(SHARES, 'a', 10.0)
    assert held.of_service('desk', 10.0 + SHARES_TTL_S) == SHARES
    assert not held.of_service('desk', 10.1 + SHARES_TTL_S)
    assert not held.of_service('other', 10.0)


def test_answer_without_own_shares_does_not_prolong() -> None:
    """Guards against a control instance of another zone, or of an earlier build, that counts as decider."""
    held = HeldShares()
    held.replace(SHARES, 'a', 10.0)
    held.replace((), 'a', 12.0)
    held.replace((OverflowShare('desk', 'b', 'c', 1.0),), 'a', 12.0)
    assert held.of_service('desk', 12.0) == SHARES
    assert not held.of_service('desk', 13.5)


def test_deciders_replace_each_other() -> None:
    """Guards against shares of two deciders that add up, and against a late answer of the earlier one."""
    held = HeldShares()
    held.replace(SHARES, 'a', 10.0)
    stay = (OverflowShare('desk', 'a', 'a', 1.0),)
    held.replace(stay, 'a', 11.0)
    assert held.of_service('desk', 11.0) == stay
    held.replace(SHARES, 'a', 10.5)
    assert held.of_service('desk', 11.0) == stay


def test_impossible_shares_are_ignored() -> None:
    """Guards against numbers that cannot be drawn from."""
    held = HeldShares()
    for share in (float('nan'), -0.5, 2.0, 0.5):
        held.replace((OverflowShare('desk', 'a', 'b', share),), 'a', 10.0)
        assert not held.of_service('desk', 10.0)
