"""Run the benchmark with ``python -m shallotmux.bench``."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

import click
import trio

from shallotmux.bench import BenchSize, run_bench

#: Seconds over which the CPU time of the idle instance is measured.
IDLE_S = 3.0


@click.command()
@click.option('--repetitions', type=click.IntRange(1), default=5, help='Repetitions of each run.')
@click.option('--streams', type=click.IntRange(1), default=48, help='Concurrent streams.')
@click.option('--tokens', type=click.IntRange(1), default=150, help='Tokens of each stream.')
@click.option('--token-s', type=click.FloatRange(0), default=0.02, help='Seconds between tokens.')
@click.option(
    '--calls',
    type=click.IntRange(2),
    default=200,
    help='Pairs of direct and relayed calls in each repetition.',
)
def main(repetitions: int, streams: int, tokens: int, token_s: float, calls: int) -> None:
    """Measure the overhead of an instance; exit code 1 when a target is missed."""
    size = BenchSize(repetitions, streams, tokens, token_s, calls, idle_s=IDLE_S)
    with tempfile.TemporaryDirectory() as folder:
        results = trio.run(run_bench, size, Path(folder))
    click.echo(results.render())
    sys.exit(0 if results.meets_targets() else 1)


main()
