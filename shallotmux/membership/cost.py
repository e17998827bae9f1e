"""Measure what taking part in the groups costs an instance: ``python -m shallotmux.membership.cost``.

Each instance is a process of its own on the loopback interface, with TLS, its zone group and the
fleet group, and no requests. Changes arrive at the rate of the design size.
"""

from __future__ import annotations

import multiprocessing
import os
import socket
import statistics
import struct
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass
from multiprocessing.connection import Connection
from multiprocessing.context import SpawnProcess
from pathlib import Path
from random import Random
from typing import Any

import click
import trio

from shallotmux.authority import PutObject
from shallotmux.daemon import FLEET_GROUP, ZONE_PREFIX, InstanceGroups
from shallotmux.settings import (
    GroupSettings,
    InstanceSettings,
    PeerSettings,
    SecretSettings,
    Settings,
)
from shallotmux.transport import GrpcPeerNetwork, PeerTls
from shallotmux.world import Customer

ZONE = 'zone-a'
LOOPBACK = '127.0.0.1:0'

#: Targets of the design page per instance.
CPU_TARGET = 0.019
MEMORY_TARGET_MB = 64
BYTES_TARGET = 17_000

#: Configuration changes of the whole design size, 31,000 a day.
CHANGES_PER_S = 31_000 / 86_400

#: Instances of the zone that have a disk.
DISKS = 5

#: Time for elections, membership changes and imports to end before the first window. The voters
#: of a zone join one after the other.
SETTLE_S = 12.0

#: Position of ``tcpi_bytes_acked``, ``tcpi_bytes_received``, ``tcpi_segs_out`` and
#: ``tcpi_segs_in`` in the kernel's ``struct tcp_info``.
TCP_INFO_LAYOUT = '<120x2Q2I'

#: Bytes of the IPv4 and TCP headers of a segment, with timestamps.
SEGMENT_HEADER_BYTES = 52


@dataclass(frozen=True, slots=True)
class Sample:
    """Counters of one instance at one time.

    :param bytes_moved: sent and received, with headers.
    """

    at: float
    cpu_s: float
    memory_kb: int
    bytes_moved: int
    role: str


@dataclass(frozen=True, slots=True)
class Plan:
    """What an instance of the measurement is told."""

    name: str
    names: tuple[str, ...]
    folder: str
    windows: int
    window_s: float


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost of one instance in one window.

    :param cpu: share of one core.
    """

    role: str
    cpu: float
    memory_mb: float
    bytes_per_s: float


def count_tcp_bytes() -> int:
    """Return the bytes that this process's TCP connections have sent and received."""
    total = 0
    for entry in os.listdir('/proc/self/fd'):
        try:
            with socket.socket(fileno=os.dup(int(entry))) as sock:
                info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 192)
        except OSError:
            continue
        acked, received, sent_segments, got_segments = struct.unpack_from(TCP_INFO_LAYOUT, info)
        total += acked + received + SEGMENT_HEADER_BYTES * (sent_segments + got_segments)
    return total


def read_memory_kb() -> int:
    """Return the resident memory of this process."""
    status = Path('/proc/self/status').read_text(encoding='ascii')
    line = next(each for each in status.splitlines() if each.startswith('VmRSS'))
    return int(line.split()[1])


def run_instance(plan: Plan, pipe: Connection) -> None:
    """Run one instance and send its samples; entry point of the child processes."""
    trio.run(_serve, plan, pipe)


async def _serve(plan: Plan, pipe: Connection) -> None:
    idle_kb = read_memory_kb()
    folder = Path(plan.folder)
    settings = _make_settings(plan)
    addresses: dict[str, str] = {}
    files = (str(folder / each) for each in ('ca.pem', f'{plan.name}.crt', f'{plan.name}.key'))
    network = GrpcPeerNetwork(plan.name, LOOPBACK, addresses, PeerTls(*files))
    bootstrap = (FLEET_GROUP, ZONE_PREFIX + ZONE) if plan.name == plan.names[0] else ()
    groups = InstanceGroups(settings, bootstrap, network)
    async with trio.open_nursery() as nursery:
        pipe.send(await nursery.start(groups.run))
        addresses.update(await trio.to_thread.run_sync(pipe.recv))
        if bootstrap:
            nursery.start_soon(_change, groups)
        await trio.sleep(SETTLE_S)
        samples = [_take_sample(groups)]
        for _ in range(plan.windows):
            await trio.sleep(plan.window_s)
            samples.append(_take_sample(groups))
        pipe.send((idle_kb, samples))
        await trio.to_thread.run_sync(pipe.recv)
        nursery.cancel_scope.cancel()


async def _change(groups: InstanceGroups) -> None:
    """Submit changes at random times with the rate of the design size."""
    random = Random(1)  # noqa: S311
    await trio.sleep(SETTLE_S / 2)
    number = 0
    while True:
        await trio.sleep(random.expovariate(CHANGES_PER_S))
        await groups.authority.submit(PutObject(f'c-{number}', Customer(f'customer-{number}'), 0))
        number += 1


def _make_settings(plan: Plan) -> Settings:
    peers = tuple(
        PeerSettings(name=name, zone=ZONE, address=LOOPBACK, has_disk=number < DISKS)
        for number, name in enumerate(plan.names)
    )
    return Settings(
        instance=InstanceSettings(
            name=plan.name, zone=ZONE, data_folder=str(Path(plan.folder) / plan.name)
        ),
        secrets=SecretSettings(pepper='p' * 16, operator_token='o' * 16),
        peers=peers,
        groups=GroupSettings(),
    )


def _take_sample(groups: InstanceGroups) -> Sample:
    member = groups.members[ZONE_PREFIX + ZONE]
    configuration = member.driver.status().configuration
    role = 'voter' if groups.identity in configuration.voters else 'follower'
    role = 'leader' if member.driver.is_leader() else role
    return Sample(time.monotonic(), time.process_time(), read_memory_kb(), count_tcp_bytes(), role)


def measure(count: int, windows: int, window_s: float) -> list[Cost]:
    """Run a zone of so many instances, and return the costs of all instances and windows."""
    names = tuple(f'entry-{number + 1:02}' for number in range(count))
    with tempfile.TemporaryDirectory() as folder:
        _issue_certificates(Path(folder), names)
        running = [_start(Plan(name, names, folder, windows, window_s)) for name in names]
        pipes = [pipe for _, pipe in running]
        addresses = dict(zip(names, _receive_all(pipes), strict=True))
        _send_all(pipes, addresses)
        results = _receive_all(pipes)
        _send_all(pipes, None)
        for process, _ in running:
            process.join()
    return [cost for idle_kb, samples in results for cost in _find_costs(idle_kb, samples)]


def _start(plan: Plan) -> tuple[SpawnProcess, Connection]:
    context = multiprocessing.get_context('spawn')
    own, other = context.Pipe()
    process = context.Process(target=run_instance, args=(plan, other))
    process.start()
    return process, own


def _receive_all(pipes: Sequence[Connection]) -> list[Any]:
    return [pipe.recv() for pipe in pipes]


def _send_all(pipes: Sequence[Connection], message: object) -> None:
    for pipe in pipes:
        pipe.send(message)


def _issue_certificates(folder: Path, names: Sequence[str]) -> None:
    import trustme  # noqa: PLC0415  # Only needed here, and no requirement of the daemon.

    authority = trustme.CA()
    authority.cert_pem.write_to_path(str(folder / 'ca.pem'))
    for name in names:
        issued = authority.issue_cert(name)
        issued.private_key_pem.write_to_path(str(folder / f'{name}.key'))
        issued.cert_chain_pems[0].write_to_path(str(folder / f'{name}.crt'))


def _find_costs(idle_kb: int, samples: Sequence[Sample]) -> list[Cost]:
    return [
        Cost(
            after.role,
            (after.cpu_s - before.cpu_s) / (after.at - before.at),
            (after.memory_kb - idle_kb) / 1024,
            (after.bytes_moved - before.bytes_moved) / (after.at - before.at),
        )
        for before, after in zip(samples, samples[1:], strict=False)
    ]


def _describe(figures: Sequence[float], scale: float, unit: str) -> str:
    scaled = sorted(each * scale for each in figures)
    median = statistics.median(scaled)
    return f'{median:6.2f} ({scaled[0]:.2f} to {scaled[-1]:.2f}) {unit}'


@click.command()
@click.option('--instances', multiple=True, type=int, default=(3, 9, 38), show_default=True)
@click.option('--windows', default=5, show_default=True)
@click.option('--window-s', default=6.0, show_default=True)
def main(instances: tuple[int, ...], windows: int, window_s: float) -> None:
    """Print the cost per instance by role: median and range over instances and windows."""
    for count in instances:
        costs = measure(count, windows, window_s)
        for role in ('leader', 'voter', 'follower'):
            chosen = [each for each in costs if each.role == role]
            if chosen:
                cpu = _describe([each.cpu for each in chosen], 100, '% of a core')
                memory = _describe([each.memory_mb for each in chosen], 1, 'MB')
                traffic = _describe([each.bytes_per_s for each in chosen], 0.001, 'KB/s')
                click.echo(f'{count:2} instances, {role:8}: {cpu}; {memory}; {traffic}')
    limits = f'{100 * CPU_TARGET:.1f}% of a core, {MEMORY_TARGET_MB} MB, {BYTES_TARGET / 1000} KB/s'
    click.echo(f'targets: {limits}')


if __name__ == '__main__':
    main()
