"""Measurements for docs/CAPACITY.md: cost as a function of size on the local machine."""

from __future__ import annotations

import os
import time
import tracemalloc
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from random import Random
from typing import TypeVar

import click
from eliot import FileDestination, add_destinations, remove_destination

from shallotmux.authority import (
    ClaimJob,
    Command,
    CreateKey,
    FinishJob,
    JobId,
    PutObject,
    StoredAnswer,
    ZoneState,
    decode_command,
    encode_command,
)
from shallotmux.decisions import FairQueue, Flow, LoadReport, PrefixIndex, Router
from shallotmux.measure._latency import admission_times, make_router, routing_times
from shallotmux.observability import DecisionLog, DecisionRecord
from shallotmux.world import Customer, CustomerKey, Endpoint, EndpointPool

ItemT = TypeVar('ItemT')

#: Factors for the units of the printed figures.
MICRO = 1_000_000
KILO = 1024

OBJECT_SIZES = (500, 1000, 2000, 4000, 8000)
KEY_SIZES = (1000, 2000, 4000, 8000, 16_000)
JOB_SIZES = (500, 1000, 2000, 4000, 8000)
ENTRY_SIZES = (5000, 10_000, 20_000, 40_000)
CUSTOMER_SIZES = (8, 40, 310, 2000)
BODY_SIZES = (100, 1000, 10_000, 100_000)
POOL_SIZES = (10, 100, 400, 1200)
REPORT_SIZES = (10, 100, 1200, 12_000)
LINE_SIZES = (1000, 2000, 4000, 8000)
ANSWER_BYTES = 400


@dataclass(frozen=True, slots=True)
class Point:
    """Measured costs at one size."""

    size: int
    values: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Slope:
    """Table of costs by size, with the least-squares slope of each column."""

    title: str
    unit: str
    columns: tuple[str, ...]
    points: tuple[Point, ...]

    def table(self) -> str:
        """Return the table in Markdown."""
        lines = [
            f'### {self.title}',
            '',
            f'| {self.unit} | {" | ".join(self.columns)} |',
            f'| --- |{" --- |" * len(self.columns)}',
        ]
        for point in self.points:
            cells = ' | '.join(f'{each:.3g}' for each in point.values)
            lines.append(f'| {point.size} | {cells} |')
        slopes = ' | '.join(f'{slope:.3g}' for slope in self.slopes())
        return '\n'.join([*lines, f'| slope | {slopes} |', ''])

    def slopes(self) -> list[float]:
        """Return the increase of each column per unit of size."""
        sizes = [point.size for point in self.points]
        columns = zip(*(point.values for point in self.points), strict=True)
        return [_fit(sizes, column) for column in columns]


def _fit(sizes: list[int], costs: Iterable[float]) -> float:
    pairs = list(zip(sizes, costs, strict=True))
    mean_size = sum(size for size, _ in pairs) / len(pairs)
    mean_cost = sum(cost for _, cost in pairs) / len(pairs)
    covariance = sum((size - mean_size) * (cost - mean_cost) for size, cost in pairs)
    return covariance / sum((size - mean_size) ** 2 for size, _ in pairs)


def _measure_cpu_s(action: Callable[[], object]) -> float:
    start = time.process_time()
    action()
    return time.process_time() - start


def _call_each(action: Callable[[ItemT], object], arguments: Iterable[ItemT]) -> None:
    for argument in arguments:
        action(argument)


def _put_objects(count: int) -> list[Command]:
    return [PutObject(f'o{each}', Customer(f'customer-{each}'), 0) for each in range(count)]


def _create_keys(count: int) -> list[Command]:
    owner: list[Command] = [PutObject('owner', Customer('c'), 0)]
    digest = 'd' * 56
    return owner + [
        CreateKey(f'o{each}', CustomerKey(f'key-{each}', 'c', f'{digest}{each:08d}'))
        for each in range(count)
    ]


def _finish_jobs(count: int) -> list[Command]:
    commands: list[Command] = []
    answer = StoredAnswer(200, 'application/json', b'x' * ANSWER_BYTES)
    for each in range(count):
        job = JobId('c', 'orders', f'job-{each}')
        commands.append(ClaimJob(f'c{each}', job, 'h' * 64, 'entry-1', 0))
        commands.append(FinishJob(f'f{each}', job, 'entry-1', answer))
    return commands


def measure_state(
    title: str, make_commands: Callable[[int], list[Command]], sizes: Iterable[int]
) -> Slope:
    """Measure applying commands, and writing and restoring a snapshot of the resulting state."""
    points = []
    for size in sizes:
        commands = make_commands(size)
        state = ZoneState()
        apply_s = _measure_cpu_s(partial(_apply_all, state, commands))
        snapshot_s = _measure_cpu_s(state.snapshot)
        payload = state.snapshot()
        restore_s = _measure_cpu_s(partial(ZoneState.restore, payload))
        points.append(
            Point(
                size,
                (
                    apply_s / len(commands) * MICRO,
                    snapshot_s * 1000,
                    restore_s * 1000,
                    len(payload) / KILO,
                ),
            )
        )
    columns = ('apply, µs per command', 'snapshot, ms', 'restore, ms', 'snapshot, KB')
    return Slope(title, 'number', columns, tuple(points))


def _apply_all(state: ZoneState, commands: Iterable[Command]) -> None:
    for command in commands:
        state.apply(command)


def measure_codec() -> Slope:
    """Measure encoding and decoding a command by the size of its body."""
    points = []
    repetitions = 2000
    for size in BODY_SIZES:
        answer = StoredAnswer(200, 'application/json', b'x' * size)
        command = FinishJob('f', JobId('c', 'orders', 'job'), 'entry-1', answer)
        payload = encode_command(command)
        encode_s = _measure_cpu_s(partial(_call_each, encode_command, (command,) * repetitions))
        decode_s = _measure_cpu_s(partial(_call_each, decode_command, (payload,) * repetitions))
        points.append(
            Point(
                size, (encode_s / repetitions * MICRO, decode_s / repetitions * MICRO, len(payload))
            )
        )
    columns = ('encode, µs', 'decode, µs', 'bytes')
    return Slope('Codec, one command', 'body bytes', columns, tuple(points))


def measure_pool() -> Slope:
    """Measure encoding and decoding a pool change, which lists all endpoints, by their number."""
    points = []
    repetitions = 20
    for size in POOL_SIZES:
        endpoints = tuple(
            Endpoint(f'engine-{each}', 'jylland-1', f'10.0.0.{each % 250}:8000')
            for each in range(size)
        )
        command = PutObject('o', EndpointPool('sorting', 'jylland-1', endpoints), 0)
        payload = encode_command(command)
        encode_s = _measure_cpu_s(partial(_call_each, encode_command, (command,) * repetitions))
        decode_s = _measure_cpu_s(partial(_call_each, decode_command, (payload,) * repetitions))
        costs = (encode_s / repetitions * 1000, decode_s / repetitions * 1000, len(payload) / KILO)
        points.append(Point(size, costs))
    columns = ('encode, ms', 'decode, ms', 'KB')
    return Slope('Codec, change of a pool', 'endpoints', columns, tuple(points))


def measure_reports() -> Slope:
    """Measure applying a load report and a cache event by the number of endpoints."""
    points = []
    repetitions = 20_000
    for size in REPORT_SIZES:
        router = make_router(size, Random(size))
        report_s = _measure_cpu_s(partial(_apply_reports, router, size, repetitions))
        event_s = _measure_cpu_s(partial(_apply_events, router, size, repetitions))
        points.append(Point(size, (report_s / repetitions * MICRO, event_s / repetitions * MICRO)))
    columns = ('load report, µs', 'cache event, µs')
    return Slope('What a router takes in', 'endpoints', columns, tuple(points))


def _apply_reports(router: Router, size: int, repetitions: int) -> None:
    for number in range(repetitions):
        router.report(f'engine-{number % size}', LoadReport(number, 5, number))


def _apply_events(router: Router, size: int, repetitions: int) -> None:
    for number in range(repetitions):
        router.index.apply_event(f'engine-{number % size}', number // size + 1, number, stored=True)


def measure_index() -> Slope:
    """Measure the memory and the lookup time of the prefix index by the number of entries."""
    points = []
    for size in ENTRY_SIZES:
        random = Random(size)
        blocks = [random.getrandbits(64) for _ in range(size)]
        names = [f'engine-{each}' for each in range(1200)]
        tracemalloc.start()
        index = PrefixIndex()
        for stored_block in blocks:
            index.add(random.choice(names), (stored_block,))
        allocated_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        match_s = _measure_cpu_s(partial(_call_each, index.matches, [(block,) for block in blocks]))
        points.append(Point(size, (allocated_bytes / KILO / KILO, match_s / size * MICRO)))
    columns = ('memory, MB', 'match of one block, µs')
    return Slope('Prefix index', 'entries', columns, tuple(points))


def measure_fairness() -> Slope:
    """Measure a pop and a push of the fair queue by the number of customers."""
    points = []
    repetitions = 20_000
    for size in CUSTOMER_SIZES:
        queue: FairQueue[int] = FairQueue()
        flows = [Flow(f'customer-{each}', 'route') for each in range(size)]
        for item, flow in enumerate(flows):
            queue.push(flow, item, 1)
        cpu_s = _measure_cpu_s(partial(_pop_and_push, queue, flows, repetitions))
        points.append(Point(size, (cpu_s / repetitions * MICRO,)))
    return Slope('Fair queue', 'customers', ('push and pop, µs',), tuple(points))


def _pop_and_push(queue: FairQueue[int], flows: list[Flow], repetitions: int) -> None:
    for number in range(repetitions):
        item = queue.pop()
        queue.push(flows[item or 0], item or 0, 1 + number % 3)


def measure_log() -> Slope:
    """Measure writing decision records as JSON lines to the null device."""
    points = []
    with Path(os.devnull).open('w', encoding='utf-8') as null_device:
        destination = FileDestination(file=null_device)
        add_destinations(destination)
        for size in LINE_SIZES:
            log = DecisionLog('entry-1')
            cpu_s = _measure_cpu_s(partial(_record, log, size))
            points.append(Point(size, (cpu_s * 1000, cpu_s / size * MICRO)))
        remove_destination(destination)
    columns = ('all lines, ms', 'a line, µs')
    return Slope('Decision log', 'lines', columns, tuple(points))


def _record(log: DecisionLog, count: int) -> None:
    inputs = {'customer': 'c', 'route': 'r', 'sampled': [('e1', 0.1), ('e2', 0.2), ('e3', 0.3)]}
    for number in range(count):
        log.record(DecisionRecord('routing', f'r{number}', 'e1', 'best score', inputs, number))


def measure_routing() -> Slope:
    """Measure a routing decision by the number of endpoints."""
    points = [Point(size, (cost * MICRO,)) for size, cost in routing_times().items()]
    return Slope('Routing decision', 'endpoints', ('decision, µs',), tuple(points))


def measure_admission() -> Slope:
    """Measure the admission of a request by the number of endpoints in its pool."""
    points = [Point(size, (cost * MICRO,)) for size, cost in admission_times().items()]
    return Slope('Admission', 'endpoints', ('request, µs',), tuple(points))


@click.command()
def main() -> None:
    """Print the tables of docs/CAPACITY.md."""
    slopes = (
        measure_routing(),
        measure_admission(),
        measure_index(),
        measure_state('ZoneState, configuration objects', _put_objects, OBJECT_SIZES),
        measure_state('ZoneState, keys', _create_keys, KEY_SIZES),
        measure_state('ZoneState, finished jobs', _finish_jobs, JOB_SIZES),
        measure_codec(),
        measure_pool(),
        measure_reports(),
        measure_fairness(),
        measure_log(),
    )
    for slope in slopes:
        click.echo(slope.table())


if __name__ == '__main__':
    main()
