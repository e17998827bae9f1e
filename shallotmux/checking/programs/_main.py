"""Command line of the soak."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import trio

from shallotmux.checking.programs._deployment import ROOT
from shallotmux.checking.programs._replacements import ReplacementPlan, run_replacements
from shallotmux.checking.programs._soak import SoakPlan, run_soak

#: Time from a replacement to the next one, in seconds, by the number of tolerated losses.
REPLACEMENT_S = {1: 4.0, 2: 6.0, 3: 9.0}


@click.command()
@click.option('--seed', type=int, default=1, show_default=True, help='Seed of the first run.')
@click.option('--runs', type=click.IntRange(1), default=1, show_default=True)
@click.option('--seconds', type=float, default=20.0, show_default=True, help='Length of a run.')
@click.option(
    '--build',
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    default=ROOT,
    help='Repository whose programs are run; this one by default.',
)
@click.option(
    '--other-build',
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help='Repository with another build, which runs beside the first one.',
)
@click.option('--controls', type=click.IntRange(3), default=3, show_default=True)
@click.option('--entries', type=click.IntRange(2), default=3, show_default=True)
@click.option('--load', type=click.IntRange(0), default=0, help='Busy processes beside the run.')
@click.option(
    '--logs',
    type=click.Path(file_okay=False, path_type=Path),
    help='Folder for the output of the processes.',
)
@click.option(
    '--replacements',
    type=click.IntRange(0, 3),
    default=0,
    help='Replace all of eight control instances; the number of tolerated losses.',
)
def main(
    seed: int,
    runs: int,
    seconds: float,
    build: Path,
    other_build: Path | None,
    controls: int,
    entries: int,
    load: int,
    logs: Path | None,
    replacements: int,
) -> None:
    """Disrupt real processes of the deploy file at random; exit code 1 after a violation."""
    violations = 0
    click.echo('| check | runs | violations | figures |')
    click.echo('| --- | --- | --- | --- |')
    builds = tuple(each.resolve() for each in (build, other_build) if each is not None)
    for number in range(seed, seed + runs):
        if replacements:
            series = ReplacementPlan(
                number, replacements, REPLACEMENT_S[replacements], build=builds[0], logs=logs
            )
            result = trio.run(run_replacements, series)
        else:
            plan = SoakPlan(number, seconds, builds, controls, entries, load, logs)
            result = trio.run(run_soak, plan)
        violations += len(result.violations)
        click.echo(result.render())
    sys.exit(1 if violations else 0)
