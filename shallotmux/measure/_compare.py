"""Run comparisons of variants in several processes."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from itertools import product

from shallotmux.decisions import weighted_policy
from shallotmux.measure._figures import RunResult, RunSpec, run_spec
from shallotmux.measure._shapes import KOCKICA, SHAPES, Deployment, Shape
from shallotmux.measure._tables import Comparison
from shallotmux.measure._variants import CURRENT, NAIVE, Variant


def variant_for(deployment: Deployment, variant: Variant) -> Variant:
    """Return the variant as configured for a deployment.

    Only the deployment ``Kockica`` scales its fleet. The button division has a fixed fleet, since
    idle production machines cost it more than idle instances.
    """
    if variant.naive:
        return variant
    return replace(
        variant,
        runs_fleet_planner=deployment.name == KOCKICA.name and not variant.keeps_fleet,
        routing=weighted_policy(variant.routing, deployment.defaults),
    )


def run_all(specs: Sequence[RunSpec], processes: int) -> list[RunResult]:
    """Run traces in at most ``processes`` processes and return the results in order."""
    if processes <= 1:
        return [run_spec(spec) for spec in specs]
    with ProcessPoolExecutor(processes) as pool:
        return list(pool.map(run_spec, specs))


def compare_shapes(
    deployments: Sequence[Deployment],
    seeds: Sequence[int],
    processes: int,
    shapes: Iterable[Shape] = SHAPES,
) -> list[Comparison]:
    """Run naive and current decisions on the same traces."""
    cells = list(product(deployments, shapes))
    specs = [
        RunSpec(deployment, shape, variant_for(deployment, variant), seed)
        for (deployment, shape), variant, seed in product(cells, (NAIVE, CURRENT), seeds)
    ]
    results = iter(run_all(specs, processes))
    comparisons = []
    for deployment, shape in cells:
        naive = tuple(next(results) for _ in seeds)
        current = tuple(next(results) for _ in seeds)
        title = f'{deployment.name}, {shape.name}, load {deployment.load}'
        comparisons.append(Comparison(title, naive, current))
    return comparisons
