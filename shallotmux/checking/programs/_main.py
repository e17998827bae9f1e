"""Command line of the soak."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import trio

from shallotmux.checking.programs._deployment import ROOT
from shallotmux.checking.programs._soak import run_soak


@click.command()
@click.option('--seed', type=int, default=1, show_default=True, help='Seed of the first run.')
@click.option('--runs', type=click.IntRange(1), default=1, show_default=True)
@click.option('--seconds', type=float, default=20.0, show_default=True, help='Length of a run.')
@click.option(
    '--other-build',
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help='Repository with another build, which runs beside this one.',
)
def main(seed: int, runs: int, seconds: float, other_build: Path | None) -> None:
    """Disrupt real processes of the deploy file at random; exit code 1 after a violation."""
    violations = 0
    click.echo('| check | runs | violations | figures |')
    click.echo('| --- | --- | --- | --- |')
    for number in range(seed, seed + runs):
        builds = (ROOT,) if other_build is None else (ROOT, other_build.resolve())
        result = trio.run(run_soak, number, seconds, builds)
        violations += len(result.violations)
        click.echo(result.render())
    sys.exit(1 if violations else 0)
