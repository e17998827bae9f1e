"""Figures of a run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, fields
from statistics import median

from shallotmux.measure._pull import PullDispatch
from shallotmux.measure._runs import RequestRun
from shallotmux.measure._shapes import Deployment, Shape
from shallotmux.measure._simulation import Sample, Simulation, price_per_hour
from shallotmux.measure._steering import Steering
from shallotmux.measure._variants import Binding, Variant
from shallotmux.measure._workload import RequestKind

SECONDS_PER_HOUR = 3600

#: Width of the bins of goodput over time, in seconds.
BIN_S = 10.0


@dataclass(frozen=True, slots=True)
class RunSpec:
    """What to run."""

    deployment: Deployment
    shape: Shape
    variant: Variant
    seed: int


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of one run; shares are between 0 and 1.

    :param others: goodput of all customers but the bursting one.
    :param cost: price of the language engines for a thousand good requests.
    :param cheap_share: part of the repeatable tokens that cheap engines generated.
    :param hit_share: part of the sheets' prompt tokens found in a cache.
    :param p95_s: 95th percentile of the time to first token.
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
    """Figures of a run and what plots need.

    :param bins: requests and good requests by time of arrival.
    """

    spec: RunSpec
    figures: Figures
    samples: tuple[Sample, ...]
    bins: tuple[tuple[float, int, int], ...]
    customers: tuple[tuple[str, float], ...]


def run_spec(spec: RunSpec) -> RunResult:
    """Run a trace and return its figures."""
    world = Simulation(spec.deployment, spec.shape, spec.variant, spec.seed)
    steering = Steering(world)
    steering.start()
    if spec.variant.binding is Binding.PULL:
        PullDispatch(world).start()
    world.run()
    return RunResult(
        spec,
        _figures(world, steering),
        tuple(world.samples),
        _bins(world),
        tuple(sorted(_by_customer(world).items())),
    )


def middle(results: Iterable[Figures]) -> Figures:
    """Return the median of each figure."""
    return _combine(results, median)


def spread(results: Iterable[Figures]) -> Figures:
    """Return the difference between the largest and the smallest of each figure."""
    return _combine(results, lambda values: max(values) - min(values))


def _combine(results: Iterable[Figures], combine: Callable[[list[float]], float]) -> Figures:
    kept = list(results)
    names = [each.name for each in fields(Figures)]
    return Figures(**{name: combine([getattr(each, name) for each in kept]) for name in names})


def _figures(world: Simulation, steering: Steering) -> Figures:
    target = world.first_token_target_s
    good = sum(run.good(target) for run in world.runs)
    customers = _by_customer(world)
    burst = f'customer-{world.shape.burst_customer}'
    rest = [run for run in world.runs if run.request.customer != burst]
    language = [run for run in world.runs if run.request.repeatable]
    sheets = [run for run in language if run.request.kind is RequestKind.SHEET]
    waits = sorted(_wait_s(run) for run in world.runs)
    return Figures(
        goodput=good / len(world.runs),
        worst=min(customers.values()),
        others=sum(run.good(target) for run in rest) / len(rest),
        role_changes=steering.role_changes,
        cost=_spend(world) * 1000 / max(1, good),
        cheap_share=_share(language, lambda run: run.request.output_tokens, lambda run: run.cheap),
        lost=sum(run.lost for run in world.runs),
        hit_share=sum(run.hit_tokens for run in sheets)
        / max(1, sum(run.request.prompt_tokens for run in sheets)),
        p95_s=waits[int(0.95 * len(waits))],
    )


def _share(
    runs: list[RequestRun],
    amount: Callable[[RequestRun], float],
    counts: Callable[[RequestRun], bool],
) -> float:
    total = sum(amount(run) for run in runs)
    return sum(amount(run) for run in runs if counts(run)) / max(1, total)


def _wait_s(run: RequestRun) -> float:
    """Return the time to first token; a request without one counts as waiting for an hour."""
    if run.first_token_s < 0:
        return SECONDS_PER_HOUR
    return run.first_token_s - run.request.time_s


def _spend(world: Simulation) -> float:
    spend = 0.0
    end = world.shape.duration_s
    for slot in world.slots.values():
        if slot.pool == 'language':
            gone = end if slot.gone_s < 0 else min(end, slot.gone_s)
            spend += price_per_hour(slot) * max(0, gone - slot.ordered_s) / SECONDS_PER_HOUR
    return spend


def _by_customer(world: Simulation) -> dict[str, float]:
    target = world.first_token_target_s
    total: Counter[str] = Counter()
    good: Counter[str] = Counter()
    for run in world.runs:
        total[run.request.customer] += 1
        good[run.request.customer] += run.good(target)
    return {name: good[name] / total[name] for name in total}


def _bins(world: Simulation) -> tuple[tuple[float, int, int], ...]:
    target = world.first_token_target_s
    total: Counter[int] = Counter()
    good: Counter[int] = Counter()
    for run in world.runs:
        place = int(run.request.time_s // BIN_S)
        total[place] += 1
        good[place] += run.good(target)
    return tuple((place * BIN_S, total[place], good[place]) for place in sorted(total))
