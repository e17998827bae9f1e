"""Evaluation of the targets for the decisions."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from statistics import median

from shallotmux.measure._compare import run_all, variant_for
from shallotmux.measure._figures import Figures, RunResult, RunSpec, median_figures
from shallotmux.measure._latency import routing_times
from shallotmux.measure._shapes import (
    BUTTON_DIVISION,
    KOCKICA,
    SWING_PHASES,
    Deployment,
    find_shape,
    with_load,
)
from shallotmux.measure._variants import CURRENT, FIXED_FLEET, LOAD_ONLY, NAIVE, Variant

#: Load at which the goodput of naive decisions in the swing drops to about 60%
#: (docs/MEASUREMENTS.md).
HIGH_LOAD = 1.3

#: Targets from the project's requirements.
MIN_PHASE_SHARE = 0.9
MAX_SWING_ROLE_CHANGES = 4
MIN_NAIVE_RATIO = 1.3
MIN_WORST_SHARE = 0.9
MAX_OTHERS_LOSS = 0.05
MIN_SPEND_SAVED = 0.2
MIN_CHEAP_SHARE = 0.5
MIN_HIT_RATIO = 2
MAX_DECISION_S = 0.0003

#: Fixed assignments for the hindsight baseline: prefill and decode engines; the others are mixed.
ASSIGNMENTS = ((0, 0), (1, 0), (1, 1), (2, 0), (2, 1), (2, 2), (3, 1), (3, 2), (4, 2))


@dataclass(frozen=True, slots=True)
class TargetRow:
    """A row of the table: a target and the measured figure."""

    name: str
    target: str
    measured: str
    met: bool

    def __str__(self) -> str:
        """Return the row in Markdown."""
        verdict = 'met' if self.met else 'missed'
        return f'| {self.name} | {self.target} | {self.measured} | {verdict} |'


@dataclass(slots=True)
class _VariantRunner:
    """Runs variants on all seeds."""

    seeds: Sequence[int]
    processes: int

    def run(self, deployment: Deployment, shape: str, variant: Variant) -> list[RunResult]:
        """Run a variant and return one result for each seed."""
        deployed = variant_for(deployment, variant)
        specs = [RunSpec(deployment, find_shape(shape), deployed, seed) for seed in self.seeds]
        return run_all(specs, self.processes)

    def figures(self, deployment: Deployment, shape: str, variant: Variant) -> Figures:
        """Run a variant and return the median figures over the seeds."""
        return median_figures(each.figures for each in self.run(deployment, shape, variant))


def measure_targets(seeds: Sequence[int], processes: int) -> str:
    """Run all evaluations and return the table of targets in Markdown."""
    runner = _VariantRunner(seeds, processes)
    rows = [
        *_swing(runner),
        *_burst(runner),
        *_spend(runner),
        *_affinity(runner),
        *_latency(),
        *_noise(runner),
    ]
    header = [
        '### Targets',
        '',
        '| what | target | measured | result |',
        '| --- | --- | --- | --- |',
    ]
    return '\n'.join([*header, *(str(line) for line in rows), ''])


def _phase_goodputs(result: RunResult) -> list[float]:
    ends = (*SWING_PHASES[1:], float('inf'))
    goodputs = []
    for start, end in zip(SWING_PHASES, ends, strict=True):
        bins = [each for each in result.bins if start <= each[0] < end]
        goodputs.append(sum(each[2] for each in bins) / max(1, sum(each[1] for each in bins)))
    return goodputs


def _hindsight_share(
    runner: _VariantRunner, deployment: Deployment, current: list[RunResult]
) -> float:
    """Return the median over seeds of the lowest goodput of a phase relative to the best fixed roles."""
    variants = [
        replace(CURRENT, runs_role_controller=False, fixed_roles=assignment)
        for assignment in ASSIGNMENTS
    ]
    fixed = [runner.run(deployment, 'swing', variant) for variant in variants]
    shares = []
    for number, result in enumerate(current):
        phases = [_phase_goodputs(each[number]) for each in fixed]
        best = [max(phase) for phase in zip(*phases, strict=True)]
        pairs = zip(_phase_goodputs(result), best, strict=True)
        shares.append(min(goodput / best_goodput for goodput, best_goodput in pairs))
    return median(shares)


def _swing(runner: _VariantRunner) -> list[TargetRow]:
    deployment = with_load(BUTTON_DIVISION, HIGH_LOAD)
    naive = runner.figures(deployment, 'swing', NAIVE)
    current = runner.run(deployment, 'swing', CURRENT)
    figures = median_figures(each.figures for each in current)
    ratio = figures.goodput / naive.goodput
    changes = max(each.figures.role_changes for each in current)
    share = _hindsight_share(runner, deployment, current)
    return [
        TargetRow(
            'swing, worst phase against best fixed roles',
            '0.90',
            f'{share:.3f}',
            share >= MIN_PHASE_SHARE,
        ),
        TargetRow(
            'role changes in a swing, largest',
            '4',
            f'{changes:.0f}',
            changes <= MAX_SWING_ROLE_CHANGES,
        ),
        TargetRow(
            f'swing against naive ({naive.goodput:.3f}) at load {HIGH_LOAD}',
            '1.3 times',
            f'{ratio:.2f} times ({figures.goodput:.3f})',
            ratio >= MIN_NAIVE_RATIO,
        ),
    ]


def _burst(runner: _VariantRunner) -> list[TargetRow]:
    results = runner.run(BUTTON_DIVISION, 'burst', CURRENT)
    burst = median_figures(each.figures for each in results)
    worst_within = median(_worst_within(each) for each in results)
    steady_figures = runner.figures(BUTTON_DIVISION, 'steady', CURRENT)
    worst = burst.worst / burst.goodput
    loss = 1 - burst.others / steady_figures.others
    return [
        TargetRow(
            'burst, worst customer against the mean',
            '0.90',
            f'{worst:.3f}',
            worst >= MIN_WORST_SHARE,
        ),
        TargetRow(
            'the same among customers within their share',
            '0.90',
            f'{worst_within:.3f}',
            worst_within >= MIN_WORST_SHARE,
        ),
        TargetRow(
            'burst, loss of the others', 'at most 5%', f'{loss:.1%}', loss <= MAX_OTHERS_LOSS
        ),
    ]


def _worst_within(result: RunResult) -> float:
    """Return the worst goodput of a customer except the bursting one, relative to the mean."""
    burst = f'customer-{result.spec.shape.burst_customer}'
    worst = min(goodput for name, goodput in result.customers if name != burst)
    return worst / result.figures.goodput


def _spend(runner: _VariantRunner) -> list[TargetRow]:
    naive = runner.figures(KOCKICA, 'wave', NAIVE)
    fixed = runner.figures(KOCKICA, 'wave', FIXED_FLEET)
    current = runner.figures(KOCKICA, 'wave', CURRENT)
    reclaimed = runner.figures(KOCKICA, 'cheap-gone', CURRENT)
    return [
        _saving('Kockica, spend below the naive fixed fleet', current, naive),
        _saving('Kockica, spend below a fixed fleet with the same routing', current, fixed),
        TargetRow(
            'Kockica, cheap share and requests lost when a zone goes',
            '50%, 0 lost',
            f'{reclaimed.cheap_share:.1%}, {reclaimed.lost:.0f} lost',
            reclaimed.cheap_share >= MIN_CHEAP_SHARE and not reclaimed.lost,
        ),
    ]


def _saving(name: str, current: Figures, fixed: Figures) -> TargetRow:
    saved = 1 - current.cost / fixed.cost
    return TargetRow(
        name,
        '20% at no lower goodput',
        f'{saved:.1%}, goodput {current.goodput:.3f} against {fixed.goodput:.3f}',
        saved >= MIN_SPEND_SAVED and current.goodput >= fixed.goodput,
    )


def _affinity(runner: _VariantRunner) -> list[TargetRow]:
    load_only = runner.figures(BUTTON_DIVISION, 'steady', LOAD_ONLY)
    current = runner.figures(BUTTON_DIVISION, 'steady', CURRENT)
    ratio = current.hit_share / load_only.hit_share
    return [
        TargetRow(
            'prefix-hit share of sheets against load-only routing',
            '2 times at no worse p95',
            f'{ratio:.2f} times, p95 {current.p95_s:.2f} s against {load_only.p95_s:.2f} s',
            ratio >= MIN_HIT_RATIO and current.p95_s <= load_only.p95_s,
        ),
    ]


def _latency() -> list[TargetRow]:
    times = routing_times()
    at_zone_size = times[1200] * 1_000_000
    growth = times[12_000] / times[10]
    listed = ', '.join(f'{size}: {cpu_s * 1_000_000:.0f}' for size, cpu_s in times.items())
    return [
        TargetRow(
            'routing decision at 1,200 endpoints',
            '300 µs',
            f'{at_zone_size:.0f} µs',
            times[1200] <= MAX_DECISION_S,
        ),
        TargetRow('routing, growth over 1,200 times', 'sublinear', f'µs {listed}', growth < 1200),
    ]


def _noise(runner: _VariantRunner) -> list[TargetRow]:
    results = runner.run(BUTTON_DIVISION, 'noise-hour', CURRENT)
    changes = max(each.figures.role_changes for each in results)
    return [TargetRow('role changes in a noisy hour', '1', f'{changes:.0f}', changes <= 1)]
