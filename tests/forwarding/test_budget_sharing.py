"""Tests of the retry budget while the number of instances that share it changes."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from random import Random

import pytest
import trio
import trio.testing

from shallotmux.forwarding import RetryBudgetLimits, SharedRetryBudget

LIMITS = RetryBudgetLimits(ratio=0.2, slack=56, window_s=10)
STEP_S = 0.1
POLL_S = 0.4
INSTANCES = 8


@dataclass(slots=True)
class Fleet:
    """Instances that retry as often as their budget allows, and what they were told of each other.

    :param polled: instances that have polled the control instance since it started.
    """

    random: Random
    running: dict[int, SharedRetryBudget] = field(default_factory=dict)
    told: dict[int, int] = field(default_factory=dict)
    polled: set[int] = field(default_factory=set)
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def start(self, number: int) -> None:
        """Start an instance, which knows of none before its first poll."""
        self.told[number] = 1
        self.running[number] = SharedRetryBudget(
            LIMITS, lambda: self.told[number], trio.current_time()
        )

    def kill(self, number: int) -> None:
        """End an instance."""
        self.running.pop(number)
        self.polled.discard(number)

    def restart_control(self) -> None:
        """Let the control instance forget who polled it."""
        self.polled.clear()

    def poll(self) -> None:
        """Let each instance poll, in a random order."""
        for number in self.random.sample(sorted(self.running), len(self.running)):
            self.polled.add(number)
            self.told[number] = len(self.polled)
            self.work(number)

    def work(self, number: int) -> None:
        """Let an instance take a request and retry it as often as allowed."""
        budget = self.running[number]
        now = trio.current_time()
        budget.record_request('desk')
        self.requests.append(now)
        while budget.try_spend('desk'):
            self.retries.append(now)

    def check(self) -> None:
        """Check the fleet's budget in the window that ends now."""
        oldest = trio.current_time() - LIMITS.window_s
        for times in (self.requests, self.retries):
            while times and times[0] < oldest:
                times.popleft()
        assert len(self.retries) <= LIMITS.ratio * len(self.requests) + LIMITS.slack


def disturb(fleet: Fleet, random: Random) -> None:
    """Restart control instances or entry instances, one or many at once."""
    match random.randint(0, 40):
        case 0:
            fleet.restart_control()
        case 1:
            for number in range(INSTANCES):
                fleet.running.pop(number, None)
                fleet.start(number)
            fleet.restart_control()
        case 2 if len(fleet.running) > 1:
            fleet.kill(random.choice(sorted(fleet.running)))
        case 3:
            missing = sorted(set(range(INSTANCES)) - fleet.running.keys())
            for number in missing:
                fleet.start(number)


@pytest.mark.parametrize('seed', range(20))
async def test_budget_holds_while_instances_and_control_instances_restart(
    autojump_clock: trio.testing.MockClock, seed: int
) -> None:
    """Guards against shares that add up to more than the budget of the fleet.

    An instance that has just started, or is told of few others by a control instance that has, must
    not take the slack of all.
    """
    random = Random(seed)
    fleet = Fleet(random)
    for number in range(INSTANCES):
        fleet.start(number)
    for step in range(600):
        await trio.sleep(STEP_S)
        if step % round(POLL_S / STEP_S) == 0:
            fleet.poll()
        else:
            for number in sorted(fleet.running):
                fleet.work(number)
        fleet.check()
        disturb(fleet, random)


async def test_share_of_a_steady_fleet_is_used(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a budget that holds since nobody may use it."""
    fleet = Fleet(Random(1))
    for number in range(INSTANCES):
        fleet.start(number)
    await trio.sleep(LIMITS.window_s + 1)
    fleet.poll()
    fleet.poll()
    await trio.sleep(LIMITS.window_s + 1)
    fleet.retries.clear()
    fleet.poll()
    assert len(fleet.retries) >= INSTANCES * (0.6 * LIMITS.slack // INSTANCES)
