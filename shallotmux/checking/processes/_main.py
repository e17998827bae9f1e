"""Command line of the end-to-end checks."""

from __future__ import annotations

import functools
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import click
import trio

from shallotmux.checking.processes._changes import check_configuration, check_keys, check_leader
from shallotmux.checking.processes._cluster import Cluster, start_cluster
from shallotmux.checking.processes._ends import check_kill, check_shutdown
from shallotmux.checking.processes._report import CheckResult
from shallotmux.checking.processes._restart import check_restart

CHANGES_PER_ROUND = 500

Check = Callable[[Cluster, int], Awaitable[CheckResult]]

#: Checks by name, with the default number of rounds.
CHECKS: dict[str, tuple[Check, int]] = {
    'shutdown': (check_shutdown, 20),
    'kill': (check_kill, 20),
    'keys': (check_keys, 10),
    'configuration': (check_configuration, 10),
    'leader': (check_leader, 10),
    'restart': (functools.partial(check_restart, change_count=CHANGES_PER_ROUND), 3),
}


async def run_check(check: Check, rounds: int) -> CheckResult:
    """Run one check on a cluster of its own."""
    with tempfile.TemporaryDirectory() as folder:
        async with start_cluster(Path(folder)) as cluster:
            return await check(cluster, rounds)


@click.command()
@click.argument('names', nargs=-1, type=click.Choice(tuple(CHECKS)))
@click.option('--rounds', type=click.IntRange(1), help='Rounds of each check.')
def main(names: tuple[str, ...], rounds: int | None) -> None:
    """Check a zone of real processes on loopback; exit code 1 after a violation."""
    violations = 0
    click.echo('| check | runs | violations | figures: median (least to greatest) |')
    click.echo('| --- | --- | --- | --- |')
    for name in names or CHECKS:
        check, default_rounds = CHECKS[name]
        result = trio.run(run_check, check, rounds or default_rounds)
        violations += len(result.violations)
        click.echo(result.render())
    sys.exit(1 if violations else 0)
