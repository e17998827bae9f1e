"""Figures computed from a run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, fields
from statistics import median

from shallotmux.measure._control_loops import ControlLoops
from shallotmux.measure._pull import PullDispatch
from shallotmux.measure._runs import RequestRun
from shallotmux.measure._shapes import Deployment, Shape
from shallotmux.measure._simulation import Sample, Simulation, price_per_hour
from shallotmux.measure._variants import Binding, Variant
from shallotmux.measure._workload import RequestKind

SECONDS_PER_HOUR = 3600

#: Bin width of goodput over time, in seconds.
BIN_S = 10.0


@dataclass(frozen=True, slots=True)
class RunSpec:
    """Specification of a run."""

    deployment: Deployment
    shape: Shape
    variant: Variant
    seed: int


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of one run; shares are between 0 and 1.

    :param goodput: share of requests that met both latency targets.
    :param worst: goodput of the worst-served customer.
    :param others: goodput of all customers except the bursting one.
    :param role_changes: number of role changes carried out.
    :param cost: price of the language engines per thousand good requests.
    :param cheap_share: share of the output tokens of repeatable requests that cheap engines
        generated.
    :param lost: number of requests lost.
    :param hit_share: share of the prompt tokens of sheets that were found in a cache.
    :param p95_s: 95th percentile of the time to first token, in seconds.
    """

    goodput: float
    worst: float
    others: float
    role_changes: float
    cost: float
    cheap_share: float
    lost: float
    hit_share: float
    p95_s: float


@dataclass(frozen=True, slots=True)
class RunResult:
    """Figures of a run and the data for plots.

    :param bins: start of each bin in seconds, with the number of requests that arrived in it and
        the number of good ones among them.
    :param customers: goodput by customer.
    """

    spec: RunSpec
    figures: Figures
    samples: tuple[Sample, ...]
    bins: tuple[tuple[float, int, int], ...]
    customers: tuple[tuple[str, float], ...]


def run_spec(spec: RunSpec) -> RunResult:
    """Run a trace and return its figures."""
    simulation = Simulation(spec.deployment, spec.shape, spec.variant, spec.seed)
    control_loops = ControlLoops(simulation)
    control_loops.start()
    if spec.variant.binding is Binding.PULL:
        PullDispatch(simulation).start()
    simulation.run()
    return RunResult(
        spec,
        _figures(simulation, control_loops),
        tuple(simulation.samples),
        _goodput_bins(simulation),
        tuple(sorted(_goodput_by_customer(simulation).items())),
    )


def median_figures(results: Iterable[Figures]) -> Figures:
    """Return the median of each figure."""
    return _combine(results, median)


def figure_ranges(results: Iterable[Figures]) -> Figures:
    """Return the range (maximum minus minimum) of each figure."""
    return _combine(results, lambda values: max(values) - min(values))


def _combine(results: Iterable[Figures], combine: Callable[[list[float]], float]) -> Figures:
    collected = list(results)
    names = [each.name for each in fields(Figures)]
    return Figures(**{name: combine([getattr(each, name) for each in collected]) for name in names})


def _figures(simulation: Simulation, control_loops: ControlLoops) -> Figures:
    target = simulation.first_token_target_s
    good = sum(run.meets_targets(target) for run in simulation.runs)
    customers = _goodput_by_customer(simulation)
    burst = f'customer-{simulation.shape.burst_customer}'
    other_runs = [run for run in simulation.runs if run.request.customer != burst]
    repeatable_runs = [run for run in simulation.runs if run.request.repeatable]
    sheet_runs = [run for run in repeatable_runs if run.request.kind is RequestKind.SHEET]
    sorted_waits_s = sorted(_first_token_wait_s(run) for run in simulation.runs)
    return Figures(
        goodput=good / len(simulation.runs),
        worst=min(customers.values()),
        others=sum(run.meets_targets(target) for run in other_runs) / len(other_runs),
        role_changes=control_loops.role_changes,
        cost=_engine_cost(simulation) * 1000 / max(1, good),
        cheap_share=_weighted_share(
            repeatable_runs, lambda run: run.request.output_tokens, lambda run: run.cheap
        ),
        lost=sum(run.lost for run in simulation.runs),
        hit_share=sum(run.cached_tokens for run in sheet_runs)
        / max(1, sum(run.request.prompt_tokens for run in sheet_runs)),
        p95_s=sorted_waits_s[int(0.95 * len(sorted_waits_s))],
    )


def _weighted_share(
    runs: list[RequestRun],
    amount: Callable[[RequestRun], float],
    is_counted: Callable[[RequestRun], bool],
) -> float:
    total = sum(amount(run) for run in runs)
    return sum(amount(run) for run in runs if is_counted(run)) / max(1, total)


def _first_token_wait_s(run: RequestRun) -> float:
    """Return the time to first token in seconds, or an hour for a request without one."""
    if run.first_token_s < 0:
        return SECONDS_PER_HOUR
    return run.first_token_s - run.request.time_s


def _engine_cost(simulation: Simulation) -> float:
    cost = 0.0
    run_end_s = simulation.shape.duration_s
    for engine in simulation.engines.values():
        if engine.pool == 'language':
            end_s = run_end_s if engine.removed_at_s < 0 else min(run_end_s, engine.removed_at_s)
            cost += price_per_hour(engine) * max(0, end_s - engine.ordered_s) / SECONDS_PER_HOUR
    return cost


def _goodput_by_customer(simulation: Simulation) -> dict[str, float]:
    target = simulation.first_token_target_s
    total: Counter[str] = Counter()
    good: Counter[str] = Counter()
    for run in simulation.runs:
        total[run.request.customer] += 1
        good[run.request.customer] += run.meets_targets(target)
    return {name: good[name] / total[name] for name in total}


def _goodput_bins(simulation: Simulation) -> tuple[tuple[float, int, int], ...]:
    target = simulation.first_token_target_s
    total: Counter[int] = Counter()
    good: Counter[int] = Counter()
    for run in simulation.runs:
        bin_index = int(run.request.time_s // BIN_S)
        total[bin_index] += 1
        good[bin_index] += run.meets_targets(target)
    return tuple(
        (bin_index * BIN_S, total[bin_index], good[bin_index]) for bin_index in sorted(total)
    )
