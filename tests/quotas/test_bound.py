"""The use of a customer stays within its bound in every window, whatever fails."""

from __future__ import annotations

from functools import partial
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from shallotmux.quotas import QuotaTerms
from shallotmux.routes import CustomerQuota, QuotaUnit
from tests.quotas._simulation import Faults, Simulation

#: Length of a simulated run, which has several windows, handovers and promises.
RUN_S = 14.0
WINDOW_S = 4.0

#: Fault actions of a run; as many in so short a time leave nobody in contact for long.
MAX_FAULTS = 8

#: Most requests per second of one size; more would only take the test longer.
MAX_REQUESTS_PER_S = 150

TERMS = st.sampled_from(
    (
        QuotaTerms(WINDOW_S, 0.1, 190_000),
        QuotaTerms(WINDOW_S, 0.1, 0),
        QuotaTerms(WINDOW_S, 0, 0),
        QuotaTerms(WINDOW_S, 1.0, 0),
    )
)
QUOTAS = st.sampled_from(
    (
        (CustomerQuota(580_000, 580_000, QuotaUnit.TOKENS), (17_000.0, 60_000.0)),
        (CustomerQuota(580_000, 60_000, QuotaUnit.TOKENS), (2000.0, 17_000.0)),
        (CustomerQuota(30_000, 90_000, QuotaUnit.TOKENS), (200.0, 12_000.0)),
        (CustomerQuota(40, 40), (1.0,)),
        (CustomerQuota(100, 0), (1.0,)),
    )
)
FAULTS = st.sampled_from(
    (
        Faults(),
        Faults((0.001, 0.02), lost=0.1, doubled=0.1, late=0.1),
        Faults((0.001, 0.3), lost=0.3, doubled=0.3, late=0.3),
    )
)
KINDS = ('kill', 'restart', 'pause', 'separate', 'cut-pair', 'heal', 'restart-granter', 'stop')


def disrupt(run: Simulation, kind: str, random: Random) -> None:
    """Let something fail."""
    names = tuple(run.instances)
    name = random.choice(names)
    group = set(random.sample(names, random.randint(1, len(names))))
    others = set(names) - group
    match kind:
        case 'kill':
            run.kill(name)
            run.at(run.now + 3 * random.random(), partial(run.restart, name))
        case 'restart' | 'restart-granter':
            [run.restart(each) for each in ((name,) if kind == 'restart' else run.granters())]
        case 'stop':
            [run.stop(each) for each in run.granters() or (name,)]
        case 'pause':
            [run.pause(each, run.now + 4 * random.random()) for each in (name, *run.granters())]
        case 'separate':
            run.separate(group)
        case 'cut-pair':
            run.separate(group, set(random.sample(sorted(others), (len(others) + 1) // 2)))
        case 'heal':
            run.cut.clear()


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    count=st.integers(1, 7),
    quota=QUOTAS,
    terms=TERMS,
    faults=FAULTS,
    kinds=st.lists(st.sampled_from(KINDS), max_size=MAX_FAULTS),
    quiet_s=st.sampled_from((0.0, 5.0, 8.0)),
    seed=st.integers(0, 1 << 32),
)
def test_use_in_every_window_stays_within_the_bound(
    count: int,
    quota: tuple[CustomerQuota, tuple[float, ...]],
    terms: QuotaTerms,
    faults: Faults,
    kinds: list[str],
    quiet_s: float,
    seed: int,
) -> None:
    """Guards against a customer that gets more than its quota allows while instances fail.

    Several granters at once, grants that outlive a handover or count twice, returns that count twice, and
    isolated shares that add up to more than the reserve all exceed the bound in some run.
    """
    random = Random(seed)
    names = tuple(f'10.0.{number % 3}.{number}:1' for number in range(count))
    run = Simulation(names, quota[0], terms, faults, seed, uptime_s=random.choice((0.0, 1000.0)))
    run.not_run = random.choice((0.0, 0.3))
    run.late_until = random.choice((None, quiet_s + 0.4, quiet_s + 2))
    for size in quota[1]:
        rate = min(10 * quota[0].rate_per_s / len(quota[1]), MAX_REQUESTS_PER_S * size)
        run.send_evenly(names, rate, size, RUN_S, quiet_s)
    for kind in kinds:
        run.at(random.uniform(quiet_s / 2, RUN_S - 1), partial(disrupt, run, kind, random))
    run.run(RUN_S)
    assert run.most_in_window() <= run.bound() * (1 + 1e-9)
