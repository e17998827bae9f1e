"""Invariants of the membership of a group that has had the time to settle."""

from __future__ import annotations

from shallotmux.checking._node import Node
from shallotmux.checking._violations import InvariantViolation


def check_leader(leader: Node | None, live: frozenset[str], now: float) -> None:
    """Check that a group has a leader with a lease.

    :param live: identities that run and reach each other.
    :raises InvariantViolation: if it has none.
    """
    if leader is None or leader.replica is None or leader.name not in live:
        raise InvariantViolation('group-led', f'no leader at {now:.2f} s; live: {sorted(live)}')
    if leader.local_time(now) >= leader.replica.status().lease_end:
        raise InvariantViolation('group-led', f'{leader.name} has no lease at {now:.2f} s')


def check_voters(leader: Node, live: frozenset[str], tolerated: int, now: float) -> None:
    """Check that the voters are live, and as many as the tolerated losses need.

    :param live: identities that run and reach each other.
    :raises InvariantViolation: if they are not.
    """
    if leader.replica is None:
        return
    voters = leader.replica.status().configuration.voters
    # A majority of 2n+1 voters remains after the loss of n disks.
    target = 2 * tolerated + 1
    expected = min(target, len(live))
    is_complete = len(voters & live) == expected
    has_successors = len(live) >= target
    if is_complete and len(voters) <= target and not (has_successors and voters - live):
        return
    raise InvariantViolation(
        'voters-live',
        f'{sorted(voters)} are the voters at {now:.2f} s, of which {expected} must be live; '
        f'live: {sorted(live)}',
    )


def check_learner(leader: Node, learner: Node, batch_entries: int) -> None:
    """Check that a learner that is promoted lacks at most one batch of the committed entries.

    :raises InvariantViolation: if it lacks more.
    """
    if leader.replica is None:
        return
    lacking = leader.replica.status().commit_index - learner.log.last_index
    if lacking > batch_entries:
        raise InvariantViolation(
            'learner-caught-up', f'{learner.name} is promoted and lacks {lacking} entries'
        )
