"""Command that explores random schedules of a simulated replication group."""

from __future__ import annotations

import sys
import time

import click

from shallotmux.checking._explorer import DEFAULT_PLAN, UNFENCED_PLAN, explore
from shallotmux.checking._shrinking import format_trace, shrink


@click.command()
@click.option('--seed', default=1, show_default=True, help='Seed of the random schedules.')
@click.option(
    '--steps', default=200_000, show_default=True, help='Total number of steps of all schedules.'
)
@click.option(
    '--unfenced', is_flag=True, help='Explore calls of leaders to a target that checks no tokens.'
)
def main(seed: int, steps: int, unfenced: bool) -> None:
    """Explore a simulated replication group under faults and check its invariants."""
    started = time.perf_counter()
    report = explore(seed, steps, UNFENCED_PLAN if unfenced else DEFAULT_PLAN)
    elapsed_s = time.perf_counter() - started
    click.echo(
        f'seed {seed}: {report.steps} steps, {len(report.states)} distinct states, '
        f'{report.schedules} schedules, {report.commits} commits, {report.calls} calls, '
        f'{elapsed_s:.1f} s'
    )
    if report.failure is None:
        click.echo('no violation')
        return
    click.echo(f'violation in the schedule of seed {report.failure.seed}; shrinking')
    for line in format_trace(shrink(report.failure)):
        click.echo(line)
    sys.exit(1)
