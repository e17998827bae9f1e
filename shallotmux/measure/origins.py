"""Streams joined from two software versions, and those refused, under several rules.

Entry instances are killed all at once and one by one, a control instance loses its memory, messages
are delayed and lost, and lists of endpoints are old, while versions come and go.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import click
import trio
import trio.testing

from shallotmux.errors import ShallotmuxError
from shallotmux.measure._origin_rules import (
    ANY_VERSION,
    POLL_INTERVAL_S,
    SERVICE,
    Call,
    ForgetfulRule,
    OwnMemoryRule,
    PolledRule,
    Rule,
    RuleInUse,
    ToldAlwaysRule,
    TrustingMemoryRule,
)
from shallotmux.origins import (
    OriginAnswer,
    OriginStore,
    VersionHistory,
    decode_origin_call,
    encode_origin_message,
)

END_S = 60.0

#: Versions in service, with the times at which they start and leave, in seconds.
SPANS = (('v1', 0.0, 20.0), ('v2', 10.0, END_S), ('v3', 35.0, END_S))

#: Times at which all entry instances lose power, and for how long; the second one is right after the
#: endpoints of a version have left.
KILLS_S = (12.0, 21.0, 40.0)
DARK_S = 1.0

#: Interval at which one more entry instance is killed, and time at which a control instance loses its
#: memory.
SINGLE_KILL_INTERVAL_S = 3.0
CONTROL_WIPE_S = 30.0

LIST_LAG_S = (0.2, 1.2)
STREAM_S = (0.1, 1.5)
RETRY_AFTER_S = (0.02, 0.3)

#: Share of the streams whose endpoint breaks them off.
BROKEN_SHARE = 0.05


@dataclass(frozen=True, slots=True)
class Fleet:
    """Size and load of a deployment, and its network.

    :param rate: streams per second.
    :param delay_s: least and longest time of a message.
    :param loss: share of the messages that are lost.
    """

    entries: int = 12
    controls: int = 4
    rate: float = 30.0
    delay_s: tuple[float, float] = (0.001, 0.004)
    loss: float = 0.001


SMALL = Fleet()
LARGE = Fleet(entries=200, controls=8, rate=200.0, delay_s=(0.002, 0.02), loss=0.01)
SLOW = Fleet(delay_s=(0.05, 0.25), loss=0.2)


@dataclass(slots=True)
class Result:
    """What happened in one run.

    :param joined: streams that went on at another version than the one that began them.
    :param continued: streams that went on at their version.
    :param refused: streams that were refused although their version served.
    :param delays: times for which first events waited.
    :param calls: calls to control instances, and their bytes without those of the transport.
    """

    streams: int = 0
    joined: int = 0
    continued: int = 0
    refused: int = 0
    delays: list[float] = field(default_factory=list)
    calls: int = 0
    call_bytes: int = 0

    @property
    def continued_share(self) -> float:
        """Return the share of the retries whose version served that went on."""
        return self.continued / max(1, self.continued + self.joined + self.refused)


RuleType = Callable[[Call, tuple[str, ...]], Rule]


@dataclass(slots=True)
class Entry:
    """An entry instance; the rule is None while it has no power."""

    rule: Rule | None = None
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    versions: frozenset[str] = frozenset()
    killed: trio.Event = field(default_factory=trio.Event)


def serving_versions(at: float) -> frozenset[str]:
    """Return the versions in service at a time."""
    return frozenset(version for version, start, end in SPANS if start <= at < end)


class Workload:
    """Runs one workload on the clock of the runtime."""

    def __init__(self, fleet: Fleet, seed: int, rule_type: RuleType) -> None:
        self._fleet = fleet
        self._random = Random(seed)  # noqa: S311
        self._rule_type = rule_type
        self._keys = itertools.count(1)
        self._entries = [Entry() for _ in range(fleet.entries)]
        self._stores = {f'c-{number}': OriginStore() for number in range(fleet.controls)}
        self._history = VersionHistory()
        self._history.assume_complete()
        self.result = Result()

    async def run(self) -> Result:
        """Run to the end and return what happened."""
        self._began_at = trio.current_time()
        with trio.move_on_after(END_S):
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._observe_repeatedly)
                for entry in self._entries:
                    self._start(entry)
                for task in (self._kill_all, self._kill_singly, self._wipe_control, self._arrive):
                    nursery.start_soon(task)
        return self.result

    @property
    def _elapsed_s(self) -> float:
        return trio.current_time() - self._began_at

    def _start(self, entry: Entry) -> None:
        entry.rule = self._rule_type(self._call, tuple(self._stores))
        entry.scope = trio.CancelScope()
        entry.killed = trio.Event()
        entry.versions = frozenset()
        self._nursery.start_soon(self._run_entry, entry, entry.rule, entry.scope)

    async def _run_entry(self, entry: Entry, rule: Rule, scope: trio.CancelScope) -> None:
        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(rule.run)
                while True:
                    lag_s = min(self._random.uniform(*LIST_LAG_S), self._elapsed_s)
                    entry.versions = serving_versions(self._elapsed_s - lag_s)
                    rule.observe(entry.versions, trio.current_time() - lag_s)
                    rule.merge(self._history)
                    await trio.sleep(POLL_INTERVAL_S)

    async def _observe_repeatedly(self) -> None:
        """Let the control instances see each list."""
        while True:
            versions = {(SERVICE, each) for each in serving_versions(self._elapsed_s)}
            self._history.observe(versions, trio.current_time())
            await trio.sleep(POLL_INTERVAL_S)

    async def _call(self, peer: str, content: bytes, timeout_s: float) -> bytes:
        """Call a control instance over a network that delays and loses messages."""
        self.result.calls += 1
        self.result.call_bytes += len(content)
        delays = [self._random.uniform(*self._fleet.delay_s) for _ in range(2)]
        is_lost = [self._random.random() < self._fleet.loss for _ in range(2)]
        if is_lost[0] or sum(delays) > timeout_s:
            await trio.sleep(timeout_s)
            raise ShallotmuxError('lost', step='call', peer=peer)
        await trio.sleep(delays[0])
        call = decode_origin_call(content)
        self._stores[peer].merge(call.reports)
        answer = encode_origin_message(OriginAnswer(self._stores[peer].build_reports(call.wanted)))
        self.result.call_bytes += len(answer)
        if is_lost[1]:
            await trio.sleep(timeout_s - delays[0])
            raise ShallotmuxError('lost', step='call', peer=peer)
        await trio.sleep(delays[1])
        return answer

    async def _arrive(self) -> None:
        while True:
            await trio.sleep(self._random.expovariate(self._fleet.rate))
            entry = self._random.choice(self._entries)
            if entry.rule is not None:
                self._nursery.start_soon(self._stream, entry, entry.rule)

    async def _stream(self, entry: Entry, rule: Rule) -> None:
        """Begin a stream, which ends, breaks off, or is cut as its instance is killed."""
        usable = entry.versions & serving_versions(self._elapsed_s)
        if not usable:
            return
        version = self._random.choice(sorted(usable))
        key = next(self._keys)
        began_at = trio.current_time()
        await rule.begin(key, version)
        if entry.rule is not rule:
            # The instance was killed before the first event went out.
            return
        self.result.streams += 1
        self.result.delays.append(trio.current_time() - began_at)
        await self._sleep_unless_killed(entry, rule, self._random.uniform(*STREAM_S))
        if entry.rule is not rule or self._random.random() < BROKEN_SHARE:
            await self._resume(key, version)

    async def _sleep_unless_killed(self, entry: Entry, rule: Rule, seconds: float) -> None:
        if entry.rule is rule:
            with trio.move_on_after(seconds):
                await entry.killed.wait()

    async def _resume(self, key: int, version: str) -> None:
        """Take a stream up again at any instance, as its caller does."""
        rule: Rule | None = None
        while rule is None:
            await trio.sleep(self._random.uniform(*RETRY_AFTER_S))
            rule = self._random.choice(self._entries).rule
        found = await rule.find(key)
        serving = serving_versions(self._elapsed_s)
        if found == ANY_VERSION:
            found = self._random.choice(sorted(serving))
        if version not in serving and found in {None, version}:
            return
        if found is None:
            self.result.refused += 1
        elif found == version:
            self.result.continued += 1
        elif found in serving:
            self.result.joined += 1

    def _kill(self, entry: Entry) -> None:
        entry.rule = None
        entry.killed.set()
        entry.scope.cancel()

    async def _kill_all(self) -> None:
        for at in KILLS_S:
            await trio.sleep_until(self._began_at + at)
            for entry in self._entries:
                self._kill(entry)
            await trio.sleep(DARK_S)
            for entry in self._entries:
                self._start(entry)

    async def _kill_singly(self) -> None:
        while True:
            await trio.sleep(SINGLE_KILL_INTERVAL_S)
            entry = self._random.choice(self._entries)
            if entry.rule is not None:
                self._kill(entry)
                await trio.sleep(0.1)
                if entry.rule is None:
                    self._start(entry)

    async def _wipe_control(self) -> None:
        await trio.sleep_until(self._began_at + CONTROL_WIPE_S)
        self._stores[next(iter(self._stores))] = OriginStore()


def run_workload(fleet: Fleet, seed: int, rule_type: RuleType = RuleInUse) -> Result:
    """Run one workload on a virtual clock."""
    clock = trio.testing.MockClock(autojump_threshold=0)

    async def run() -> Result:
        return await Workload(fleet, seed, rule_type).run()

    return trio.run(run, clock=clock)


#: Variants that are compared, by their names in the table.
VARIANTS: tuple[tuple[str, RuleType], ...] = (
    ('in use', RuleInUse),
    ('nothing kept, goes on anywhere', ForgetfulRule),
    ('own memory, the rest goes on anywhere', TrustingMemoryRule),
    ('own memory, the rest refused', OwnMemoryRule),
    ('told with the next poll', PolledRule),
    ('told always, history ignored', ToldAlwaysRule),
)

FLEETS = (('12', SMALL), ('200', LARGE), ('12, slow network', SLOW))


@click.command()
@click.option('--seeds', default=3, show_default=True, help='Number of seeds, from 1.')
def main(seeds: int) -> None:
    """Compare rules for streams that are resumed while several versions serve."""
    click.echo('| instances | rule | joined | went on | wait, mean / p99, ms | calls/s | B/s |')
    click.echo('| --- | --- | --- | --- | --- | --- | --- |')
    for size, fleet in FLEETS:
        for name, rule_type in VARIANTS:
            results = [run_workload(fleet, seed, rule_type) for seed in range(1, seeds + 1)]
            click.echo(f'| {size} | {name} | {_summarize(results, fleet)} |')


def _summarize(results: list[Result], fleet: Fleet) -> str:
    delays = sorted(delay for each in results for delay in each.delays)
    share = sum(each.continued_share for each in results) / len(results)
    per_instance = len(results) * END_S * fleet.entries
    return ' | '.join(
        (
            f'{sum(each.joined for each in results)}',
            f'{share:.2f}',
            f'{1000 * sum(delays) / len(delays):.1f} / {1000 * delays[len(delays) * 99 // 100]:.0f}',
            f'{sum(each.calls for each in results) / per_instance:.2f}',
            f'{sum(each.call_bytes for each in results) / per_instance:.0f}',
        )
    )


if __name__ == '__main__':
    main()
