"""Bytes between zones of polls and their answers, with whole lists and with changes, in virtual time."""

from __future__ import annotations

import itertools
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import TypeAlias

import click
import msgspec
import trio
import trio.testing

from shallotmux.authority import GroupState
from shallotmux.control import KnowledgeService
from shallotmux.fleet import (
    CustomerCount,
    FleetPoller,
    ListedEndpoint,
    Listing,
    Poll,
    ServiceDemand,
    TrueClock,
    decode_knowledge,
    encode_fleet_message,
)
from shallotmux.fleetnews import StateMark, decode_change
from shallotmux.routes import CallerLimits, RouteDocument
from shallotmux.transport import ForwardAnswer

#: Entry instances and control instances by zone, endpoints, and customers: the larger deployment of
#: docs/uneven-load.md.
ENTRIES_BY_ZONE = {'zone-a': 24, 'zone-b': 27, 'zone-c': 28}
CONTROLS_PER_ZONE = 2
ENDPOINTS = 144
CUSTOMERS = 82
REQUESTS_PER_S = 198.5

#: Times of the simulation, in seconds. The wall clock starts at any time since 1970.
START_S = 1.7e9
WINDOW_S = 5.0
KEPT_WINDOWS = 9
LISTING_INTERVAL_S = 0.8
ENDPOINT_CHANGE_S = 1.0
ENTRY_CHANGE_S = 5.0
WARM_UP_S = 10.0
ONE_WAY_S = 0.0009

#: Interval between the polls of an entry instance of the earlier build, which polls all in turn.
EARLIER_INTERVAL_S = 0.2

#: Number of repetitions when a time is measured.
REPETITIONS = 2000


@dataclass(frozen=True, slots=True)
class Traffic:
    """Bytes by second of one run.

    :param crossing: bytes per second of polls and answers between zones.
    :param within: the same within zones.
    :param polls_per_s: polls per second of one entry instance.
    """

    crossing: float
    within: float
    polls_per_s: float


@dataclass(slots=True)
class _Deployment:
    """Control and entry instances, and the platform's list."""

    random: Random
    services: dict[str, KnowledgeService] = field(default_factory=dict)
    zones: dict[str, str] = field(default_factory=dict)
    endpoints: dict[str, ListedEndpoint] = field(default_factory=dict)
    counted: Counter[bool] = field(default_factory=Counter)
    polls: int = 0
    is_counting: bool = False

    def network(self, zone: str) -> _Network:
        """Return the network of an entry instance."""
        return _Network(self, zone)


@dataclass(frozen=True, slots=True)
class _Network:
    """Carries polls to control instances and counts their bytes."""

    deployment: _Deployment
    zone: str

    async def forward(
        self, peer: str, group: str, command: bytes, timeout_s: float
    ) -> ForwardAnswer:
        """Poll a control instance."""
        await trio.sleep(ONE_WAY_S)
        answer = self.deployment.services[peer].answer(command)
        if self.deployment.is_counting:
            crosses = self.deployment.zones[peer] != self.zone
            self.deployment.counted[crosses] += len(command) + len(answer.result)
            self.deployment.polls += 1
        await trio.sleep(ONE_WAY_S)
        return answer


class _Counts:
    """Usage counts of an entry instance whose requests come from few large and many small customers."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._totals: Counter[tuple[int, str]] = Counter()
        self._counted_at = trio.current_time()

    def counts(self) -> tuple[CustomerCount, ...]:
        """Return the totals of all kept windows."""
        now = trio.current_time()
        rate = REQUESTS_PER_S / sum(ENTRIES_BY_ZONE.values())
        expected = (now - self._counted_at) * rate
        self._counted_at = now
        requests = int(expected + self._random.random())
        window = int((START_S + now) / WINDOW_S)
        draws = [CUSTOMERS * self._random.random() ** 2 for _ in range(requests)]
        self._totals.update((window, f'customer-{int(draw):03}') for draw in draws)
        oldest = window - KEPT_WINDOWS
        self._totals = Counter({key: each for key, each in self._totals.items() if key[0] > oldest})
        return tuple(
            CustomerCount(customer, each, total) for (each, customer), total in self._totals.items()
        )


#: Runs an entry instance of a name in a zone until cancelled.
_Start: TypeAlias = Callable[[_Deployment, str, str], Awaitable[None]]


def _start_time() -> float:
    return START_S


def demands() -> tuple[ServiceDemand, ...]:
    """Return the demand that an entry instance reports."""
    return (ServiceDemand('chat', 9132.5, 61.4, 7, 1.7), ServiceDemand('plain', 0.0, 0.0, 1, 0.8))


def make_endpoint(number: int, random: Random) -> ListedEndpoint:
    """Return an endpoint as the platform lists it."""
    return ListedEndpoint(
        f'engine-{number:04}-{random.getrandbits(16):04x}',
        'chat' if number % 2 else 'plain',
        f'10.3.{number % 200}.{random.randrange(200)}:8000',
        random.choice(tuple(ENTRIES_BY_ZONE)),
        64,
        started_ms=int(START_S * 1000) + number,
        software_version='2025.11.3',
    )


def measure_traffic(seconds: float, *, is_incremental: bool, seed: int = 1) -> Traffic:
    """Run the deployment with churn, and return its traffic.

    :param is_incremental: whether entry instances follow changes; otherwise they poll as the earlier
        build.
    """
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(_run, seconds, is_incremental, Random(seed), clock=clock)


async def _run(seconds: float, is_incremental: bool, random: Random) -> Traffic:  # noqa: FBT001
    deployment = _build_deployment(random)
    start = _follow if is_incremental else _poll_as_earlier_build
    count = sum(ENTRIES_BY_ZONE.values())
    async with trio.open_nursery() as nursery:
        for service in deployment.services.values():
            nursery.start_soon(_read_lists, deployment, service)
        nursery.start_soon(_change_endpoints, deployment)
        nursery.start_soon(_run_entries, deployment, start)
        await trio.sleep(WARM_UP_S)
        deployment.is_counting = True
        await trio.sleep(seconds)
        nursery.cancel_scope.cancel()
    counted = deployment.counted
    polls_per_s = deployment.polls / seconds / count
    return Traffic(counted[True] / seconds, counted[False] / seconds, polls_per_s)


def _build_deployment(random: Random) -> _Deployment:
    deployment = _Deployment(random)
    deployment.zones = {
        f'10.2.{number}.{each}:7780': zone
        for number, zone in enumerate(ENTRIES_BY_ZONE)
        for each in range(1, CONTROLS_PER_ZONE + 1)
    }
    names = tuple(deployment.zones)
    for name in names:
        clock = TrueClock(_start_time, trio.current_time)
        deployment.services[name] = KnowledgeService(
            GroupState(), clock, partial(tuple, names), WINDOW_S, deployment.zones.copy
        )
    for number in range(ENDPOINTS):
        endpoint = make_endpoint(number, random)
        deployment.endpoints[endpoint.identity] = endpoint
    return deployment


async def _read_lists(deployment: _Deployment, service: KnowledgeService) -> None:
    await trio.sleep(deployment.random.random() * LISTING_INTERVAL_S)
    while True:
        listing = Listing(tuple(deployment.endpoints.values()))
        service.update_listing(listing, trio.current_time())
        await trio.sleep(LISTING_INTERVAL_S)


async def _change_endpoints(deployment: _Deployment) -> None:
    """Let an endpoint leave, be replaced or change its role at intervals."""
    for number in itertools.count(ENDPOINTS):
        await trio.sleep(ENDPOINT_CHANGE_S)
        identity = deployment.random.choice(tuple(deployment.endpoints))
        endpoint = deployment.endpoints[identity]
        if endpoint.is_leaving:
            deployment.endpoints.pop(identity)
            replacement = make_endpoint(number, deployment.random)
            deployment.endpoints[replacement.identity] = replacement
        else:
            deployment.endpoints[identity] = msgspec.structs.replace(endpoint, is_leaving=True)


async def _run_entries(deployment: _Deployment, start: _Start) -> None:
    """Run the entry instances, of which one is replaced at intervals."""
    scopes: list[tuple[str, trio.CancelScope]] = []
    async with trio.open_nursery() as nursery:

        async def run(number: int, zone: str) -> None:
            with trio.CancelScope() as own_scope:
                scopes.append((zone, own_scope))
                await trio.sleep(deployment.random.random())
                await start(deployment, f'10.4.{number // 200}.{number % 200}:7780~{number}', zone)

        for number, zone in enumerate(_list_zones()):
            nursery.start_soon(run, number, zone)
        for number in itertools.count(len(_list_zones())):
            # One goes, and another one comes as long afterwards.
            await trio.sleep(ENTRY_CHANGE_S)
            left_zone, scope = scopes.pop(deployment.random.randrange(len(scopes)))
            scope.cancel()
            await trio.sleep(ENTRY_CHANGE_S)
            nursery.start_soon(run, number, left_zone)


def _decode_document(_: bytes) -> RouteDocument:
    return RouteDocument(1, (), (), CallerLimits(), ())


async def _follow(deployment: _Deployment, name: str, zone: str) -> None:
    poller = FleetPoller(
        name,
        deployment.network(zone),  # type: ignore[arg-type]
        tuple(deployment.zones),
        _decode_document,
        TrueClock(_start_time, trio.current_time),
        _Counts(deployment.random).counts,
        demands,
        zone=zone,
    )
    await poller.run()


async def _poll_as_earlier_build(deployment: _Deployment, name: str, zone: str) -> None:
    network = deployment.network(zone)
    counts = _Counts(deployment.random)
    for peer in itertools.cycle(deployment.zones):
        poll = Poll(name, 0, counts.counts(), demands(), zone=zone)
        await network.forward(peer, '', encode_fleet_message(poll), 1)
        await trio.sleep(EARLIER_INTERVAL_S)


def measure_times() -> Iterator[tuple[str, float, int]]:
    """Yield what is timed, its time in microseconds, and the size of the message in bytes."""
    clock = trio.testing.MockClock()
    yield from trio.run(_measure_times, clock=clock)


async def _measure_times() -> list[tuple[str, float, int]]:
    service = _build_full_service(Random(1))
    times: list[tuple[str, float, int]] = []
    for name, poll in _build_polls(service).items():
        payload = encode_fleet_message(poll)
        answer = service.answer(payload).result
        times.append((f'{name}: answer', _time(partial(service.answer, payload)), len(answer)))
        times.append((f'{name}: decode', _time(partial(decode_knowledge, answer)), len(answer)))
    return times


def _build_full_service(random: Random) -> KnowledgeService:
    """Return a control instance that has a list and knows all entry instances."""
    service = next(iter(_build_deployment(random).services.values()))
    endpoints = tuple(make_endpoint(number, random) for number in range(ENDPOINTS))
    service.update_listing(Listing(endpoints), trio.current_time())
    for number, zone in enumerate(_list_zones()):
        service.answer(encode_fleet_message(Poll(f'10.4.0.{number}:7780~1', 0, zone=zone)))
    return service


def _build_polls(service: KnowledgeService) -> dict[str, Poll]:
    """Return polls of an entry instance by what they ask for."""
    earlier = Poll('10.4.0.1:7780~1', 0, (), demands(), zone=_list_zones()[1])
    whole = msgspec.structs.replace(earlier, known_endpoints=StateMark(), known_members=StateMark())
    first = decode_knowledge(service.answer(encode_fleet_message(whole)).result)
    unchanged = msgspec.structs.replace(
        whole,
        known_endpoints=decode_change(first.endpoints).mark,
        known_members=decode_change(first.members).mark,
    )
    report = msgspec.structs.replace(earlier, is_report=True, wants_history=False)
    return {
        'earlier build': earlier,
        'whole state': whole,
        'no change': unchanged,
        'report': report,
    }


def _list_zones() -> list[str]:
    """Return the zone of each entry instance."""
    return [zone for zone, count in ENTRIES_BY_ZONE.items() for _ in range(count)]


def _time(run: Callable[[], object]) -> float:
    """Return the processor time of a call in microseconds."""
    began_at = time.process_time()
    for _ in range(REPETITIONS):
        run()
    return (time.process_time() - began_at) / REPETITIONS * 1e6


@click.command()
@click.option('--seconds', default=42.0, help='Length of the simulated day.')
@click.option('--seed', default=1)
def main(seconds: float, seed: int) -> None:
    """Print the bytes between zones, and the times of answers, of the earlier build and of this one."""
    for label, is_incremental in (('earlier build', False), ('changes', True)):
        traffic = measure_traffic(seconds, is_incremental=is_incremental, seed=seed)
        click.echo(
            f'{label}: {traffic.crossing / 1e6:.3f} MB/s between zones '
            f'({traffic.crossing * seconds / 1e9:.4f} GB in {seconds:g} s), '
            f'{traffic.within / 1e6:.3f} MB/s within, '
            f'{traffic.polls_per_s:.2f} polls/s of an entry instance'
        )
    for label, time_us, size in measure_times():
        click.echo(f'{label}: {time_us:.1f} us, {size} bytes')


if __name__ == '__main__':
    main()
