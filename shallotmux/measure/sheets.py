"""Time to first token and prefix hits of pattern sheets in the request path, on a mock clock."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

import click
import trio
import trio.testing

from shallotmux.authority import LocalAuthority, PutObject
from shallotmux.decisions import RoutingPolicy
from shallotmux.engines import EngineClient
from shallotmux.observability import DecisionLog
from shallotmux.requests import CallerRequest, ExecutorDependencies, RequestExecutor, RequestRefused
from shallotmux.standins import EngineBehaviour, EngineStandin, MemoryNetwork
from shallotmux.world import Endpoint, EndpointPool, Route

#: Power-of-two-choices routing by load alone, the baseline without prefix affinity.
LOAD_ONLY = RoutingPolicy(sample_size=2, ring_owners=0, holders=0, affinity=False)

ENGINE_BEHAVIOUR = {'prefill_tokens_per_s': 20_000.0, 'cache_blocks': 24, 'token_s': 0.01}
SHEET_BYTES = 35_000
OUTPUT_TOKENS = 10
FIRST_TOKEN_TARGET_S = 0.74
PERCENTILE = 0.95


@dataclass(frozen=True, slots=True)
class SheetLoad:
    """Workload of questions about pattern sheets.

    :param entries: number of entry instances.
    :param sheets: number of distinct sheets, whose texts are shared prompt prefixes.
    :param rate: questions per second over all instances.
    """

    seed: int = 1
    engines: int = 6
    entries: int = 2
    sheets: int = 12
    rate: float = 10.0
    duration_s: float = 60.0


@dataclass(slots=True)
class SheetRun:
    """State and results of a workload."""

    random: Random
    engines: list[EngineStandin]
    executors: list[RequestExecutor] = field(default_factory=list)
    first_token_times_s: list[float] = field(default_factory=list)
    sent: int = 0

    async def send_question(self, sheet: int) -> None:
        """Send one question and record the time to its first token."""
        self.sent += 1
        text = f'sheet {sheet:04d} '.ljust(SHEET_BYTES, '.')
        prompt = f'{text} question {self.sent}'
        payload = {
            'model': 'sorter',
            'max_tokens': OUTPUT_TOKENS,
            'messages': [{'role': 'user', 'content': prompt}],
        }
        request = CallerRequest(
            f'r-{self.sent}', '', '', Route('sorter', 'p'), payload, str(self.sent),
            size_bytes=len(prompt),
        )  # fmt: skip
        started_s = trio.current_time()
        with suppress(RequestRefused):
            async with self.random.choice(self.executors).stream(request) as events:
                self.first_token_times_s.append(trio.current_time() - started_s)
                async for _ in events:
                    """Read the answer to its end."""

    def hit_share(self) -> float:
        """Return the share of prompt tokens that the engines found in their caches."""
        runs = [run for engine in self.engines for run in engine.runs if not run.refused]
        return sum(run.cached_tokens for run in runs) / (len(runs) * SHEET_BYTES / 4)

    def figures(self) -> tuple[float, float, float, float]:
        """Return the p95 time to first token in seconds, hit share, goodput and share refused."""
        sorted_times_s = sorted(self.first_token_times_s)
        p95_s = sorted_times_s[int(PERCENTILE * len(sorted_times_s))]
        goodput = sum(each <= FIRST_TOKEN_TARGET_S for each in sorted_times_s) / self.sent
        return p95_s, self.hit_share(), goodput, 1 - len(sorted_times_s) / self.sent


def run_sheets(load: SheetLoad, routing: RoutingPolicy) -> SheetRun:
    """Run a workload on a mock clock."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(_run, load, routing, clock=clock)


async def _run(load: SheetLoad, routing: RoutingPolicy) -> SheetRun:
    random = Random(load.seed)
    engines = [
        EngineStandin(f'engine-{number}', EngineBehaviour(**ENGINE_BEHAVIOUR))  # type: ignore[arg-type]
        for number in range(load.engines)
    ]
    run = SheetRun(random, engines)
    async with trio.open_nursery() as nursery:
        network = MemoryNetwork(nursery)
        authority = LocalAuthority()
        for engine in engines:
            network.serve(f'{engine.name}:80', engine)
        endpoints = tuple(Endpoint(each.name, 'z', f'{each.name}:80') for each in engines)
        await authority.submit(PutObject('pool', EndpointPool('p', 'z', endpoints), 0))
        await authority.submit(PutObject('route', Route('sorter', 'p'), 0))
        for number in range(load.entries):
            client = EngineClient(network.client(f'10.0.0.{number}:80'))
            dependencies = ExecutorDependencies(
                authority, client, DecisionLog('entry'), Random(load.seed), routing=routing
            )
            run.executors.append(RequestExecutor(dependencies))
            nursery.start_soon(run.executors[-1].run)
        async with trio.open_nursery() as callers:
            while trio.current_time() < load.duration_s:
                await trio.sleep(random.expovariate(load.rate))
                callers.start_soon(run.send_question, random.randrange(load.sheets))
        nursery.cancel_scope.cancel()
    return run


@click.command()
@click.option('--seeds', default=3, help='Number of seeds.')
@click.option('--rate', default=10.0, help='Questions per second.')
def main(seeds: int, rate: float) -> None:
    """Compare routing by prefixes with routing by load only."""
    click.echo('seed routing p95-first-token-s hit-share goodput refused')
    for seed in range(1, seeds + 1):
        for name, routing in (('load', LOAD_ONLY), ('prefixes', RoutingPolicy())):
            figures = run_sheets(SheetLoad(seed, rate=rate), routing).figures()
            click.echo(f'{seed} {name} {" ".join(f"{each:.3f}" for each in figures)}')


if __name__ == '__main__':
    main()
