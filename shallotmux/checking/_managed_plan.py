"""Plan that explores the replacement of lost instances, and the times it gives the group."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from shallotmux.checking._explorer import Plan
from shallotmux.checking._managed_generation import ManagedStepGenerator
from shallotmux.checking._managed_group import ManagedGroup
from shallotmux.checking._managed_options import ManagedOptions
from shallotmux.checking._simulated_group import SimulatedGroupOptions
from shallotmux.control import (
    CHECK_INTERVAL_S,
    MEMBERSHIP_INTERVAL_S,
    REJOIN_AFTER_S,
    choose_timeouts,
    replica_options,
)

#: Steps of one schedule, which take about two minutes of simulated time.
SCHEDULE_STEPS = 200

#: Numbers of tolerated losses that are explored.
TOLERATED = (1, 2, 3)

#: Times after which a lost disk stops counting, by the tolerated losses: what docs/replication.md,
#: section 7, states that the group bears.
REPLACEMENT_S = {1: 4.0, 2: 6.0, 3: 9.0}

#: Largest relative difference of two clock rates, the margin of the leases.
CLOCK_RATE_SPREAD = 0.02

#: Election timeouts within which a leader is found. Votes seldom split twice in a row, since a
#: candidate asks for pre-votes first.
ELECTION_ROUNDS = 4

#: Changes after which an instance that was lost or is new has its place: its old identity removed,
#: the new one added and promoted.
CHANGES_PER_INSTANCE = 3

#: Small batches and few retained entries, so that learners lag and need snapshots in short logs. What
#: is in flight fits on a link, which loses its oldest message otherwise.
_OPTIONS = replace(
    replica_options(), max_batch_entries=4, max_in_flight_entries=24, retained_entries=5
)

#: Time in which a leader is elected, on the slowest clock.
ELECTION_S = ELECTION_ROUNDS * _OPTIONS.election_max_s * (1 + CLOCK_RATE_SPREAD)
#: Time in which one membership change is decided and committed.
CHANGE_S = CHECK_INTERVAL_S + _OPTIONS.heartbeat_s


def settle_s(instances: int, tolerated: int, replacement_s: float) -> float:
    """Return the time in which a group without disturbances has its voters, in seconds.

    A leader is elected; instances that lost contact ask to join; the leader waits until silent
    voters count as lost; and each instance may need all its changes, one after the other.
    """
    timeouts = choose_timeouts(tolerated, replacement_s)
    silence_s = max(timeouts.replace_after_s, timeouts.observe_s)
    join_s = REJOIN_AFTER_S + MEMBERSHIP_INTERVAL_S
    return ELECTION_S + join_s + silence_s + CHANGES_PER_INSTANCE * instances * CHANGE_S


def managed_options(
    tolerated: int, random: Random, replacement_s: float | None = None
) -> SimulatedGroupOptions:
    """Return options of a group that tolerates a number of losses.

    :param replacement_s: time after which a lost disk stops counting; :data:`REPLACEMENT_S` by
        default.
    """
    replacement_s = REPLACEMENT_S[tolerated] if replacement_s is None else replacement_s
    target = 2 * tolerated + 1
    instances = target + random.choice((1, 2, 3))
    managed = ManagedOptions(
        instances,
        random.choice((3, target)),
        tolerated,
        random.choice((True, False)),
        replacement_s,
        ELECTION_S,
        settle_s(instances, tolerated, replacement_s),
    )
    return SimulatedGroupOptions(_OPTIONS, clock_rate_spread=CLOCK_RATE_SPREAD, managed=managed)


def managed_plan(tolerated: int | None = None, replacement_s: float | None = None) -> Plan:
    """Return the plan for a number of tolerated losses, or for a random one in each schedule."""
    return Plan(
        factory=ManagedGroup,
        draw_options=lambda random: managed_options(
            random.choice(TOLERATED) if tolerated is None else tolerated, random, replacement_s
        ),
        source=ManagedStepGenerator,
        schedule_steps=SCHEDULE_STEPS,
    )
