"""Requests that reach engines, and sound ones refused, while one prompt part crashes engines."""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

import click
import trio
import trio.testing

from shallotmux.crashes import CRASH_LIMIT, CrashExchange, CrashRecords

#: Number of the part that crashes engines; the shared parts before it, and those of whole requests.
BAD_PART = 1
SYSTEM_PARTS = (2, 3)
FIRST_SHEET = 100
FIRST_REQUEST = 10_000

#: Times of the workload in seconds.
BAD_FROM_S = 10.0
BAD_UNTIL_S = 70.0
END_S = 90.0
CONTACT_S = 3.0
POLL_INTERVAL_S = 0.2
RESTART_S = 4.0
CRASH_DELAY_S = 0.05
RUN_S = (0.3, 2.0)

#: Crashes after which at most :data:`ALLOWED_SENDS` more requests may reach engines.
COUNTED_CRASHES = 5
ALLOWED_SENDS = 3

#: Crashes for other reasons, and resets of an instance's streams at one engine, per second.
OTHER_CRASHES_PER_S = 0.05
RESETS_PER_S = 0.1

#: Times at which a share of the engines ends at once, as in a failed rack.
RACK_FAILURES_S = (5.0, 40.0, 60.0)
RACK_SHARE = 0.4


class Rule(Protocol):
    """Rule by which one instance refuses requests."""

    def may_run(self, subjects: frozenset[int]) -> bool:
        """Return whether a request may run."""

    def record_crash(self, subjects: frozenset[int], start: int, sent_at: float) -> None:
        """Record a broken stream."""

    def record_served(self, subjects: frozenset[int]) -> None:
        """Record a served request."""


@dataclass(frozen=True, slots=True)
class Fleet:
    """Size and load of a deployment.

    :param rate: sound requests per second.
    :param bad_rate: requests per second that contain the part that crashes engines.
    """

    instances: int = 12
    controls: int = 4
    engines: int = 8
    sheets: int = 30
    rate: float = 20.0
    bad_rate: float = 2.0


SMALL = Fleet()
LARGE = Fleet(instances=200, controls=8, engines=70, sheets=200, rate=150.0, bad_rate=6.0)


@dataclass(slots=True)
class Engine:
    """An engine with the streams that run on it: instance, subjects and time of sending."""

    start: int
    is_up: bool = True
    streams: dict[int, tuple[int, frozenset[int], float]] = field(default_factory=dict)


@dataclass(slots=True)
class Result:
    """What happened in one run.

    :param late_sends: requests with the bad part that reached engines later than the contact time
        after the fifth engine had crashed under it.
    :param refused: sound requests that were refused, and the times of their refusals.
    """

    crashes: list[float] = field(default_factory=list)
    bad_sends: list[float] = field(default_factory=list)
    sound: int = 0
    refused: list[float] = field(default_factory=list)

    @property
    def late_sends(self) -> int:
        """Return the number of sends that count against the target."""
        if len(self.crashes) < COUNTED_CRASHES:
            return 0
        latest = self.crashes[COUNTED_CRASHES - 1] + CONTACT_S
        return sum(at > latest for at in self.bad_sends)


class RecordsRule:
    """The rule in use: records of one instance, exchanged with control instances."""

    def __init__(self, name: str, names: tuple[str, ...]) -> None:
        self.records = CrashRecords(name, lambda: names)
        self.exchange = CrashExchange(self.records)
        self._holders = itertools.count()

    def may_run(self, subjects: frozenset[int]) -> bool:
        """Return whether a request may run."""
        return not self.records.quarantine_ends_in(subjects, next(self._holders))

    def record_crash(self, subjects: frozenset[int], start: int, sent_at: float) -> None:
        """Record a broken stream."""
        self.records.record_crash(subjects, start, sent_at)

    def record_served(self, subjects: frozenset[int]) -> None:
        """Record a served request."""
        self.records.record_served(subjects)

    def poll(self, name: str, control: CrashRecords) -> None:
        """Exchange records with a control instance."""
        news, known = self.exchange.build(name)
        control.merge(news)
        self.exchange.apply(name, news, control.build_news(known))


class WholeRequestRule:
    """Naive rule that counts crashes of whole requests, known to all instances at once."""

    def __init__(self) -> None:
        self.crashes: defaultdict[int, set[int]] = defaultdict(set)

    def may_run(self, subjects: frozenset[int]) -> bool:
        """Return whether a request may run."""
        return all(len(self.crashes[each]) < CRASH_LIMIT for each in self.select(subjects))

    def record_crash(self, subjects: frozenset[int], start: int, sent_at: float) -> None:
        """Record a broken stream."""
        for each in self.select(subjects):
            self.crashes[each].add(start)

    def record_served(self, subjects: frozenset[int]) -> None:
        """Ignore a served request."""

    def select(self, subjects: frozenset[int]) -> frozenset[int]:
        """Return the subjects that are counted."""
        return frozenset(each for each in subjects if each >= FIRST_REQUEST)


class AnyPartRule(WholeRequestRule):
    """Naive rule that counts the crashes beside each part, known to all instances at once."""

    def select(self, subjects: frozenset[int]) -> frozenset[int]:
        """Return the subjects that are counted."""
        return subjects


class Workload:
    """Runs one workload on the clock of the runtime."""

    def __init__(self, fleet: Fleet, seed: int, rules: tuple[Rule, ...]) -> None:
        self._fleet = fleet
        self._random = Random(seed)  # noqa: S311
        self._rules = rules
        self._numbers = itertools.count(FIRST_REQUEST)
        self._engines = [Engine(next(self._numbers)) for _ in range(fleet.engines)]
        self._controls = [CrashRecords() for _ in range(fleet.controls)]
        self.result = Result()

    async def run(self) -> Result:
        """Run to the end and return what happened."""
        with trio.move_on_after(END_S):
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._repeat, self._fleet.rate, self._send_sound)
                nursery.start_soon(self._repeat, self._fleet.bad_rate, self._send_bad)
                nursery.start_soon(self._repeat, OTHER_CRASHES_PER_S, self._crash_any)
                nursery.start_soon(self._repeat, RESETS_PER_S, self._reset_any)
                nursery.start_soon(self._fail_racks)
                polling = [each for each in self._rules if isinstance(each, RecordsRule)]
                for rule in polling:
                    nursery.start_soon(self._poll, rule)
        return self.result

    async def _repeat(self, rate: float, step: Callable[[], None]) -> None:
        while True:
            await trio.sleep(self._random.expovariate(rate))
            step()

    async def _poll(self, rule: RecordsRule) -> None:
        await trio.sleep(self._random.uniform(0, POLL_INTERVAL_S))
        while True:
            number = self._random.randrange(len(self._controls))
            rule.poll(f'c-{number}', self._controls[number])
            await trio.sleep(POLL_INTERVAL_S)

    def _send_sound(self) -> None:
        self.result.sound += 1
        sheet = FIRST_SHEET + int(self._fleet.sheets * self._random.random() ** 2)
        if not self._send(frozenset((self._random.choice(SYSTEM_PARTS), sheet))):
            self.result.refused.append(trio.current_time())

    def _send_bad(self) -> None:
        if BAD_FROM_S <= trio.current_time() <= BAD_UNTIL_S:
            sheet = FIRST_SHEET + self._random.randrange(self._fleet.sheets)
            self._send(frozenset((self._random.choice(SYSTEM_PARTS), sheet, BAD_PART)))

    def _send(self, parts: frozenset[int]) -> bool:
        """Send a request at one instance; returns whether that did not refuse it."""
        sender = self._random.randrange(len(self._rules))
        subjects = parts | {next(self._numbers)}
        running = [each for each in self._engines if each.is_up]
        if not self._rules[sender].may_run(subjects):
            return False
        if running:
            self._nursery.start_soon(self._serve, sender, subjects, self._random.choice(running))
        return True

    async def _serve(self, sender: int, subjects: frozenset[int], engine: Engine) -> None:
        start, number = engine.start, next(self._numbers)
        stream = (sender, subjects, trio.current_time())
        engine.streams[number] = stream
        is_bad = BAD_PART in subjects
        if is_bad:
            self.result.bad_sends.append(trio.current_time())
        await trio.sleep(CRASH_DELAY_S if is_bad else self._random.uniform(*RUN_S))
        if engine.start != start or engine.streams.pop(number, None) is None:
            return
        if is_bad:
            engine.streams[number] = stream
            self.result.crashes.append(trio.current_time())
            self._crash(engine)
        else:
            self._rules[sender].record_served(subjects)

    def _crash(self, engine: Engine) -> None:
        engine.is_up = False
        for sender, subjects, sent_at in engine.streams.values():
            self._rules[sender].record_crash(subjects, engine.start, sent_at)
        engine.streams.clear()
        self._nursery.start_soon(self._restart, engine)

    async def _restart(self, engine: Engine) -> None:
        await trio.sleep(RESTART_S)
        engine.start = next(self._numbers)
        engine.is_up = True

    def _crash_any(self) -> None:
        engine = self._random.choice(self._engines)
        if engine.is_up:
            self._crash(engine)

    async def _fail_racks(self) -> None:
        for at in RACK_FAILURES_S:
            await trio.sleep_until(at)
            running = [each for each in self._engines if each.is_up]
            for engine in self._random.sample(running, int(RACK_SHARE * len(running))):
                self._crash(engine)

    def _reset_any(self) -> None:
        """Reset the streams of one instance at one engine, which goes on serving others."""
        engine = self._random.choice(self._engines)
        sender = self._random.randrange(len(self._rules))
        for number, (owner, subjects, sent_at) in tuple(engine.streams.items()):
            if owner == sender:
                engine.streams.pop(number)
                self._rules[sender].record_crash(subjects, engine.start, sent_at)


def run_workload(fleet: Fleet, seed: int, naive: type[WholeRequestRule] | None = None) -> Result:
    """Run one workload on a virtual clock.

    :param naive: rule that replaces the one in use.
    """
    clock = trio.testing.MockClock(autojump_threshold=0)

    async def run() -> Result:
        names = tuple(f'e-{number}' for number in range(fleet.instances))
        if naive is None:
            rules: tuple[Rule, ...] = tuple(RecordsRule(name, names) for name in names)
        else:
            rules = (naive(),) * fleet.instances
        return await Workload(fleet, seed, rules).run()

    return trio.run(run, clock=clock)


#: Variants that are compared, by their names in the table.
VARIANTS: tuple[tuple[str, type[WholeRequestRule] | None], ...] = (
    ('in use', None),
    ('whole requests', WholeRequestRule),
    ('any part of three crashes', AnyPartRule),
)


@click.command()
@click.option('--seeds', default=5, show_default=True, help='Number of seeds, from 1.')
def main(seeds: int) -> None:
    """Compare rules for requests that crash engines at two sizes."""
    click.echo('| instances | rule | late sends, most | engines ended, mean | sound refused |')
    click.echo('| --- | --- | --- | --- | --- |')
    for fleet in (SMALL, LARGE):
        for name, naive in VARIANTS:
            results = [run_workload(fleet, seed, naive) for seed in range(1, seeds + 1)]
            late = max(each.late_sends for each in results)
            ended = sum(len(each.crashes) for each in results) / seeds
            refused = sum(len(each.refused) for each in results)
            share = refused / sum(each.sound for each in results)
            click.echo(f'| {fleet.instances} | {name} | {late} | {ended:.1f} | {share:.4f} |')


if __name__ == '__main__':
    main()
