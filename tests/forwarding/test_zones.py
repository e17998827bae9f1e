"""Tests of requests that follow the shares of their zone."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
import trio

from shallotmux.estimates import Estimator
from shallotmux.fleet import EngineRole, ListedEndpoint, Listing
from shallotmux.forwarding import EndpointDirectory, Job
from shallotmux.forwarding._least_loaded import choose_least_loaded
from shallotmux.forwarding._state import EndpointState
from shallotmux.forwarding._zones import ZoneFollower
from shallotmux.overflow import SHARES_TTL_S, HeldShares, OverflowShare
from shallotmux.placement import Prompt, build_prompt
from tests.forwarding._jobs import RecordingReply, make_job

ADDRESS = '10.1.0.1:1'
WORKERS = tuple(
    ListedEndpoint(f'w-{zone}{number}', 'desk', ADDRESS, zone, 6)
    for zone in 'ab'
    for number in range(2)
)
ENGINES = tuple(
    ListedEndpoint(f'{role.value}-{zone}', 'desk', ADDRESS, zone, 64, role=role)
    for zone in 'ab'
    for role in EngineRole
)
HALF = (OverflowShare('desk', 'a', 'a', 0.5), OverflowShare('desk', 'a', 'b', 0.5))
STAY = (OverflowShare('desk', 'a', 'a', 1.0),)
AWAY = (OverflowShare('desk', 'a', 'a', 0.0), OverflowShare('desk', 'a', 'b', 1.0))
LONG = build_prompt('m', (('s', 13_000), ('own', 3_000)), 16_000, 20)
SHORT = build_prompt('m', (('own', 900),), 900, 20)


class Instance:
    """An entry instance in zone ``a``."""

    def __init__(self, *endpoints: ListedEndpoint, price: float = 1.0) -> None:
        self.shares = HeldShares()
        self.directory = EndpointDirectory(lambda _: None)
        self.directory.update_listing(Listing(endpoints))
        self.directory.follow_zones(ZoneFollower('a', self.shares, price, Random(2).random))

    def follow(self, *shares: OverflowShare) -> None:
        """Receive shares from the decider."""
        self.shares.replace(shares, 'a', trio.current_time())

    def usable(self, job: Job) -> set[str]:
        """Return the endpoints that a job may be sent to."""
        return {each.identity for each in self.directory.usable_for(job)}

    def state(self, identity: str) -> EndpointState:
        """Return the state of an endpoint."""
        found = self.directory.find(identity)
        assert found is not None
        return found


def job(prompt: Prompt | None = None) -> Job:
    """Return a request."""
    made = make_job(RecordingReply())
    made.prompt = prompt
    return made


async def test_zone_is_drawn_once(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a request whose attempts change zones, and against shares that are not followed."""
    instance = Instance(*WORKERS)
    instance.follow(*HALF)
    counted: Counter[str] = Counter()
    for _ in range(200):
        asked = job()
        first = instance.usable(asked)
        assert len(first) == 2
        assert instance.usable(asked) == first
        counted[min(first)[2]] += 1
    assert min(counted['a'], counted['b']) > 70


async def test_any_zone_without_an_endpoint_in_the_drawn_one(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a refusal while an endpoint of another zone could answer."""
    instance = Instance(*WORKERS)
    instance.follow(*AWAY)
    asked = job()
    asked.excluded = {'w-b0', 'w-b1'}
    assert instance.usable(asked) == {'w-a0', 'w-a1'}


async def test_lapsed_shares_are_not_followed(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against an instance that follows a decider that it lost."""
    instance = Instance(*WORKERS)
    instance.follow(*AWAY)
    await trio.sleep(SHARES_TTL_S + 0.1)
    assert len(instance.usable(job())) == 4


async def test_one_zone_is_as_before(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against any effect on a deployment with one zone."""
    instance = Instance(*WORKERS[:2])
    instance.follow(*AWAY)
    asked = job()
    assert instance.usable(asked) == {'w-a0', 'w-a1'}
    assert asked.zone is None
    assert not instance.directory.zones.uses()
    assert not instance.directory.zones.transit_ms(asked)


@pytest.mark.parametrize(
    ('prompt', 'left_out'),
    [(LONG, {'decode-b'}), (SHORT, {'decode-b', 'mixed-b'}), (None, {'decode-b', 'mixed-b'})],
)
async def test_owners_of_prefixes_stay_candidates(
    autojump_clock: trio.testing.MockClock, prompt: Prompt | None, left_out: set[str]
) -> None:
    """Guards against a shared prefix that is prefilled once in each zone."""
    instance = Instance(*ENGINES)
    instance.follow(*STAY)
    listed = {each.identity for each in ENGINES}
    assert listed - instance.usable(job(prompt)) == left_out


async def test_use_is_measured(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a decider that learns nothing of the demand, or counts attempts as requests."""
    instance = Instance(*WORKERS)
    zones = instance.directory.zones
    for _ in range(40):
        asked = job()
        instance.usable(asked)
        instance.usable(asked)
        await trio.sleep(0.1)
        asked.first_part_s = 0.05
        asked.last_part_at = trio.current_time()
        asked.answer_bytes = 500
        zones.record_answer(asked, 40.0)
    use = zones.uses()[0]
    assert use.requests_per_s == pytest.approx(10.0, rel=0.05)
    assert use.service_ms == pytest.approx(90.0)
    assert use.kilobytes == pytest.approx(2.0)
    await trio.sleep(10)
    assert not zones.uses()[0].requests_per_s


@pytest.mark.parametrize(('price', 'expected'), [(1.0, 'w-b'), (100.0, 'w-a')])
async def test_price_decides_without_shares(
    autojump_clock: trio.testing.MockClock, price: float, expected: str
) -> None:
    """Guards against endpoints of another zone that save less than they cost, or are never used."""
    instance = Instance(*WORKERS, price=price)
    estimator = Estimator()
    zones = instance.directory.zones
    usable = instance.directory.usable_for(job())
    assert len(usable) == 4

    def choose() -> str:
        found = choose_least_loaded(
            usable,
            'a',
            Random(1).random,
            estimator.rank_plain,
            lambda near, far: (
                estimator.estimate_plain(near, 0.0).total_ms
                - estimator.estimate_plain(far, 0.0).total_ms
                > zones.transit_ms(job())
            ),
        )
        assert found is not None
        return found.identity

    # Busier endpoints of the own zone with free slots cost no time.
    for each in WORKERS[:2]:
        instance.state(each.identity).in_flight = 5
    assert choose().startswith('w-a')
    for each in WORKERS[:2]:
        instance.state(each.identity).in_flight = 12
    assert choose().startswith(expected)


async def test_attempts_in_other_zones_are_counted(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against traffic between zones that no metric shows."""
    instance = Instance(*WORKERS)
    counted: list[str] = []
    instance.directory.zones.count_sent = counted.append
    for identity in ('w-a0', 'w-b0'):
        instance.directory.zones.record_sent(job(), instance.state(identity))
    assert counted == ['desk']
