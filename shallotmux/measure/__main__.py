"""Command-line interface of the benchmarks."""

from __future__ import annotations

from pathlib import Path

import click

from shallotmux.measure._compare import compare_shapes
from shallotmux.measure._plots import write_report
from shallotmux.measure._shapes import DEPLOYMENTS, SHAPES, with_load
from shallotmux.measure._targets import measure_targets

SEEDS = 5
PROCESSES = 3


@click.command()
@click.option('--seeds', default=SEEDS, show_default=True, help='Number of seeds, from 1.')
@click.option('--processes', default=PROCESSES, show_default=True)
@click.option(
    '--load', type=float, help='Uncached work per second and worker, instead of the default load.'
)
@click.option(
    '--shape', 'names', multiple=True, help='Trace shape to run; may be repeated. Default: all.'
)
@click.option('--targets/--no-targets', default=True, help='Also evaluate the targets.')
@click.option(
    '--report', type=click.Path(path_type=Path), help='Folder for an HTML page with plots.'
)
def main(  # noqa: WPS211, WPS216
    seeds: int,
    processes: int,
    load: float | None,
    names: tuple[str, ...],
    targets: bool,  # noqa: FBT001
    report: Path | None,
) -> None:
    """Compare naive with current decisions on seeded traces."""
    selected = [shape for shape in SHAPES if not names or shape.name in names]
    deployments = [with_load(each, load) if load else each for each in DEPLOYMENTS]
    seed_numbers = range(1, seeds + 1)
    comparisons = compare_shapes(deployments, seed_numbers, processes, selected)
    for comparison in comparisons:
        click.echo(comparison.table())
    if targets:
        click.echo(measure_targets(seed_numbers, processes))
    if report is not None:
        click.echo(f'Plots: {write_report(report, comparisons)}')


if __name__ == '__main__':
    main()
