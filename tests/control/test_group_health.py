"""Tests of the health of the control group as the leader sees it."""

from __future__ import annotations

import pytest

from shallotmux.control import assess_group
from tests.control._placements import PlacedGroup
from tests.control.test_group_changes import make_view


@pytest.mark.parametrize(
    ('voters', 'silent', 'borne'),
    (
        ('abc', '', 1),
        ('abc', 'c', 0),
        ('abcde', '', 2),
        ('abcde', 'de', 0),
        ('abcdef', 'f', 1),
        ('abcde', 'cde', -1),
    ),
)
def test_borne_losses_are_counted_from_live_voters(voters: str, silent: str, borne: int) -> None:
    """Guards against a group that is one loss from its end and looks sound."""
    names = [f'{letter}:1' for letter in voters]
    health = assess_group(make_view(names, silent=[f'{each}:1' for each in silent], tolerated=2))
    assert (health.borne_losses, health.target) == (borne, 5)
    assert health.silent == tuple(f'{each}:1' for each in silent)


@pytest.mark.parametrize(
    ('voters', 'silent', 'borne'),
    (
        (('a1', 'b1', 'c1'), (), 0),
        (('a1', 'a2', 'b1'), (), -1),
        (('a1', 'a2', 'b1', 'c1', 'd1'), (), 0),
        (('a1', 'b1', 'c1', 'd1', 'e1'), (), 1),
        (('a1', 'a2', 'b1', 'c1', 'd1'), ('a1',), 0),
        (('a1', 'a2', 'b1', 'c1', 'd1'), ('d1',), -1),
    ),
)
def test_loss_of_the_most_crowded_zone_is_counted(
    voters: tuple[str, ...], silent: tuple[str, ...], borne: int
) -> None:
    """Guards against voters in one zone of which nobody is told until that zone is lost."""
    group = PlacedGroup(set(voters), silent=set(silent), tolerated=2)
    health = assess_group(group.view())
    assert health.borne_after_zone_loss == borne
    assert sum(health.zone_voters.values()) == len(voters) - len(silent)
