"""Time until an instance knows that it is cut off, and what its callers get, for several rules."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

import click

from shallotmux.reachability import Reach, find_cut, plan_trials
from shallotmux.relaying import PeerView, choose_peer

#: Step of the virtual time, time of a connect that is not answered, and end of a run, in seconds.
STEP_S = 0.05
CONNECT_TIMEOUT_S = 0.4
END_S = 12.0

#: Requests per second at one instance, and time from the cut from which they count.
REQUESTS_PER_S = 6.0
COUNTED_FROM_S = 3.0

#: Time until the load balancer has taken out an instance that is not ready, and share of the callers
#: that keep their connections to it.
REMOVED_AFTER_S = 2.5
KEPT_SHARE = 0.5

#: Time until the control instances have told who else is cut off.
HINT_DELAY_S = 0.8

#: Decides from connects since when a service is out of reach; None if it is not.
Rule = Callable[[Sequence[Reach]], float | None]


def find_first_failure(reaches: Sequence[Reach]) -> float | None:
    """Return the first failure: a naive rule that takes each failed connect for a cut."""
    return min((each.failing_since for each in reaches if each.failing_since), default=None)


def find_all_failing(reaches: Sequence[Reach]) -> float | None:
    """Return since when all endpoints fail: a naive rule that tries each of them."""
    if any(each.failing_since is None for each in reaches):
        return None
    return find_first_failure(reaches)


#: Rules that are compared, by their names in the table.
RULES: tuple[tuple[str, Rule], ...] = (
    ('in use', find_cut),
    ('first failure', find_first_failure),
    ('all endpoints', find_all_failing),
)


@dataclass(frozen=True, slots=True)
class Detection:
    """What a rule showed in one run.

    :param known_after_s: time from the failure until the rule named a cut; None if it did not.
    :param named_s: total time for which it named one.
    """

    known_after_s: float | None
    named_s: float


def run_detection(rule: Rule, endpoints: int, unreachable: int, seed: int) -> Detection:
    """Let connects to some endpoints hang from the start, and follow the verdict of a rule.

    A request comes every sixth of a second; it connects to an endpoint that is not known to fail.
    """
    random = Random(seed)  # noqa: S311
    reaches = [Reach(connected_at=-10.0) for _ in range(endpoints)]
    ends: dict[int, tuple[float, float]] = {}
    known_after_s: float | None = None
    named_s = 0.0
    now = 0.0
    while now < END_S:
        _finish_connects(reaches, ends, unreachable, now, random)
        if random.random() < REQUESTS_PER_S * STEP_S:
            _begin_connect(reaches, ends, _choose(reaches, random), unreachable, now)
        for due in plan_trials(reaches, [], now, random.random):
            _begin_connect(reaches, ends, reaches.index(due), unreachable, now)
        if rule(reaches) is not None:
            named_s += STEP_S
            known_after_s = now if known_after_s is None else known_after_s
        now += STEP_S
    return Detection(known_after_s, named_s)


def _choose(reaches: Sequence[Reach], random: Random) -> int:
    sound = [number for number, each in enumerate(reaches) if each.failing_since is None]
    return random.choice(sound or range(len(reaches)))


def _begin_connect(
    reaches: Sequence[Reach],
    ends: dict[int, tuple[float, float]],
    number: int,
    unreachable: int,
    now: float,
) -> None:
    if number in ends:
        return
    reaches[number].is_on_trial = True
    ends[number] = (now, now + CONNECT_TIMEOUT_S if number < unreachable else now)


def _finish_connects(
    reaches: Sequence[Reach],
    ends: dict[int, tuple[float, float]],
    unreachable: int,
    now: float,
    random: Random,
) -> None:
    for number, (began_at, ends_at) in tuple(ends.items()):
        if now < ends_at:
            continue
        ends.pop(number)
        reaches[number].is_on_trial = False
        if number < unreachable:
            reaches[number].record_failed(began_at, now, random.random())
        else:
            reaches[number].record_connected(now)


@dataclass(frozen=True, slots=True)
class Outcome:
    """What callers got from 3 s after a cut on.

    :param worst_share: share of first tries that were served at the worst instance that is cut off.
    :param busiest: load of the busiest peer as a multiple of its own.
    """

    worst_share: float
    busiest: float


def run_policy(policy: str, instances: int, cut_off: int, seed: int) -> Outcome:
    """Follow the requests of a fleet of which some instances are cut off from all endpoints.

    The first instances are cut off; they may all be of one zone.
    """
    random = Random(seed)  # noqa: S311
    served: Counter[int] = Counter()
    relayed: Counter[int] = Counter()
    sent = int(REQUESTS_PER_S * (END_S - COUNTED_FROM_S))
    for step in range(sent):
        at = COUNTED_FROM_S + step / REQUESTS_PER_S
        for instance in range(cut_off):
            peer = _serve(policy, random, relayed, range(instances), cut_off, at)
            served[instance] += peer is not None
    worst = min(served[each] for each in range(cut_off)) / sent
    return Outcome(worst, 1 + max(relayed.values(), default=0) / sent)


def _serve(
    policy: str,
    random: Random,
    relayed: Counter[int],
    instances: Sequence[int],
    cut_off: int,
    at: float,
) -> int | None:
    """Return the instance that serves a request that came to one that is cut off; None if none does."""
    if policy == 'leave the balancer':
        if at < REMOVED_AFTER_S or random.random() < KEPT_SHARE:
            return None
        return random.randrange(cut_off, len(instances))
    if policy != 'relay':
        return None
    knows = at > HINT_DELAY_S
    views = [
        PeerView(str(each), is_cut_off=knows and each < cut_off, load=relayed[each])
        for each in instances
    ]
    chosen = choose_peer(views, random.random)
    if chosen is None or int(chosen.name) < cut_off:
        return None
    relayed[int(chosen.name)] += 1
    return int(chosen.name)


@click.command()
@click.option('--seeds', default=20, show_default=True, help='Number of seeds, from 1.')
def main(seeds: int) -> None:
    """Compare rules for cuts, and what callers get at instances that are cut off."""
    click.echo('| endpoints | out of reach | rule | known after, most | wrongly named, mean |')
    click.echo('| --- | --- | --- | --- | --- |')
    for endpoints, lost in ((4, 4), (65, 65), (4, 1), (65, 1), (65, 16)):
        for name, rule in RULES:
            runs = [run_detection(rule, endpoints, lost, seed) for seed in range(seeds)]
            times = [each.known_after_s for each in runs if each.known_after_s is not None]
            known = f'{max(times):.2f} s' if len(times) == len(runs) else 'never'
            wrong = sum(each.named_s for each in runs) / seeds if lost < endpoints else 0
            click.echo(f'| {endpoints} | {lost} | {name} | {known} | {wrong:.2f} s |')
    click.echo('| instances | cut off | policy | first tries served, worst | busiest peer |')
    click.echo('| --- | --- | --- | --- | --- |')
    for instances, cut_off in ((12, 1), (12, 3), (200, 1), (200, 50), (200, 100)):
        for policy in ('refuse', 'leave the balancer', 'relay'):
            outcomes = [run_policy(policy, instances, cut_off, seed) for seed in range(seeds)]
            worst = min(each.worst_share for each in outcomes)
            busiest = max(each.busiest for each in outcomes)
            click.echo(f'| {instances} | {cut_off} | {policy} | {worst:.2f} | {busiest:.2f} |')


if __name__ == '__main__':
    main()
