"""Requests that reach an endpoint with a limit, from instances of unequal demand."""

from __future__ import annotations

import heapq
import itertools
from bisect import bisect_left
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

import click
import trio
import trio.testing

from shallotmux.ratelimits import EndpointLimits

#: Number of the endpoint, and times of a run in seconds. The limit is named at the start.
ENDPOINT = 7
KNOWN_AFTER_S = 3.0
WINDOW_S = 4.0
END_S = 60.0

#: What may reach the endpoint in a window: a multiple of what its limit allows, and a few more.
WINDOW_FACTOR = 1.5
WINDOW_SLACK = 5.0

#: Delay and loss of messages between instances.
DELAY_S = 0.003
LOSS = 0.01
ROUND_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class Scenario:
    """Instances, their demand and the limits of one endpoint.

    :param demands: requests per second at each instance that could go to the endpoint.
    :param limits: limits in requests per second, each with the time at which it is named.
    :param restarts: times at which the first instance is replaced by a new one.
    """

    name: str
    demands: tuple[float, ...]
    limits: tuple[tuple[float, float], ...]
    restarts: tuple[float, ...] = ()

    def limit_at(self, now: float) -> float:
        """Return the limit that the endpoint names at a time."""
        return [limit for at, limit in self.limits if at <= now][-1]


SCENARIOS = (
    Scenario('12 instances, 1 a second', (4.0,) * 12, ((0.0, 1.0),)),
    Scenario('12 instances, 3.5 a second, one busy', (8.0, *(0.1,) * 11), ((0.0, 3.5),)),
    Scenario('12 instances, 20 then 2 a second', (4.0,) * 12, ((0.0, 20.0), (30.0, 2.0))),
    Scenario(
        '12 instances, 3.5 a second, restarts', (4.0,) * 12, ((0.0, 3.5),), (15.0, 30.0, 45.0)
    ),
    Scenario('200 instances, 1 a second', (0.5,) * 200, ((0.0, 1.0),)),
    Scenario('200 instances, 30 a second', (0.5,) * 200, ((0.0, 30.0),)),
)


class Rule:
    """Naive rule: each instance keeps a share of the limit by itself.

    :param sharing: number of instances among which the limit is divided; 1 for the whole limit.
    """

    def __init__(self, sharing: int) -> None:
        self._sharing = sharing
        self._permits = 1.0
        self._at = 0.0

    def take(self, limit: float, now: float) -> bool:
        """Use up a permit; returns whether there was one."""
        refilled = self._permits + (now - self._at) * limit / self._sharing
        self._permits = min(1.0, refilled)
        self._at = now
        if self._permits < 1:
            return False
        self._permits -= 1
        return True


@dataclass(slots=True)
class Result:
    """Times at which requests reached the endpoint."""

    scenario: Scenario
    sent: list[float] = field(default_factory=list)

    def most_over_allowed(self) -> float:
        """Return the largest share that a window had of what is allowed in it.

        A limit that was lowered counts from the time at which all instances must know it.
        """
        shares = [0.0]
        for start in self.sent:
            names = [at for at, _ in self.scenario.limits if at <= start + WINDOW_S]
            if any(start - KNOWN_AFTER_S < at < start + WINDOW_S for at in names):
                continue
            count = bisect_left(self.sent, start + WINDOW_S) - bisect_left(self.sent, start)
            limit = self.scenario.limit_at(start)
            shares.append(count / (WINDOW_FACTOR * limit * WINDOW_S + WINDOW_SLACK))
        return max(shares)

    def share_used(self) -> float:
        """Return the share of the limit that was used after all instances knew it."""
        since = KNOWN_AFTER_S
        step_s = 1.0
        allowed = sum(
            self.scenario.limit_at(second) * step_s for second in range(int(since), int(END_S))
        )
        return sum(at >= since for at in self.sent) / allowed


class Exchange:
    """Instances that exchange messages with delay and loss."""

    def __init__(self, scenario: Scenario, random: Random) -> None:
        self._random = random
        self._names = tuple(f'10.0.0.{number}:1' for number in range(len(scenario.demands)))
        self._starts = itertools.count()
        self.instances = [self._start(name) for name in self._names]
        self._messages: list[tuple[float, int, int, bytes]] = []
        self._numbers = itertools.count()

    def restart(self, number: int) -> None:
        """Replace an instance by one that knows nothing."""
        self.instances[number] = self._start(self._names[number])

    def run_round(self, number: int) -> None:
        """Run a round of one instance and put its messages on their way."""
        for name, content in self.instances[number].run_round():
            if self._random.random() >= LOSS:
                message = (trio.current_time() + DELAY_S, next(self._numbers), name, content)
                heapq.heappush(self._messages, (*message[:2], self._names.index(name), content))

    def deliver(self) -> None:
        """Deliver the messages that have arrived."""
        while self._messages and self._messages[0][0] <= trio.current_time():
            _, _, number, content = heapq.heappop(self._messages)
            self.instances[number].receive(content)

    def _start(self, name: str) -> EndpointLimits:
        return EndpointLimits(name, f'{name}~{next(self._starts)}', lambda: self._names)


async def _run_shared(scenario: Scenario, random: Random) -> Result:
    """Run the rule in use."""
    result = Result(scenario)
    exchange = Exchange(scenario, random)
    restarts = list(scenario.restarts)
    next_rounds = [random.uniform(0, ROUND_INTERVAL_S) for _ in scenario.demands]
    for at, sender in _arrivals(scenario, random):
        while trio.current_time() < at:
            step = min(at, min(next_rounds))
            await trio.sleep(max(0.0, step - trio.current_time()))
            exchange.deliver()
            # The virtual clock stands still between two steps.
            now = trio.current_time()
            for number, due in enumerate(next_rounds):
                if due <= now:
                    exchange.run_round(number)
                    next_rounds[number] = due + ROUND_INTERVAL_S
        if restarts and at >= restarts[0]:
            restarts.pop(0)
            exchange.restart(0)
        limits = exchange.instances[sender]
        limits.known.observe(ENDPOINT, scenario.limit_at(at), at)
        if limits.has_room(ENDPOINT) and limits.take(ENDPOINT):
            result.sent.append(at)
    return result


async def _run_naive(scenario: Scenario, random: Random, sharing: int) -> Result:
    """Run instances that keep the limit by themselves."""
    result = Result(scenario)
    rules = [Rule(sharing) for _ in scenario.demands]
    for at, sender in _arrivals(scenario, random):
        if rules[sender].take(scenario.limit_at(at), at):
            result.sent.append(at)
    return result


def _arrivals(scenario: Scenario, random: Random) -> Sequence[tuple[float, int]]:
    """Return times and instances of all requests."""
    arrivals: list[tuple[float, int]] = []
    for number, rate in enumerate(scenario.demands):
        at = random.expovariate(rate)
        while at < END_S:
            arrivals.append((at, number))
            at += random.expovariate(rate)
    return sorted(arrivals)


def run_scenario(scenario: Scenario, seed: int, sharing: int = 0) -> Result:
    """Run a scenario on a virtual clock.

    :param sharing: 0 for the rule in use; otherwise as in :class:`Rule`.
    """
    random = Random(seed)  # noqa: S311

    async def run() -> Result:
        if sharing:
            return await _run_naive(scenario, random, sharing)
        return await _run_shared(scenario, random)

    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


#: Variants that are compared, by name, with the number of instances that share a limit.
VARIANTS: tuple[tuple[str, Callable[[Scenario], int]], ...] = (
    ('in use', lambda _: 0),
    ('each the whole limit', lambda _: 1),
    ('each an equal share', lambda scenario: len(scenario.demands)),
)


@click.command()
@click.option('--seeds', default=3, show_default=True, help='Number of seeds, from 1.')
def main(seeds: int) -> None:
    """Compare rules for endpoints that name a limit."""
    click.echo('| scenario | rule | most in 4 s, of the allowed | limit used |')
    click.echo('| --- | --- | --- | --- |')
    for scenario in SCENARIOS:
        for name, sharing in VARIANTS:
            results = [
                run_scenario(scenario, seed, sharing(scenario)) for seed in range(1, seeds + 1)
            ]
            most = max(each.most_over_allowed() for each in results)
            used = sum(each.share_used() for each in results) / seeds
            click.echo(f'| {scenario.name} | {name} | {most:.2f} | {used:.2f} |')


if __name__ == '__main__':
    main()
