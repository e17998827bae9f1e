"""Measure what group membership costs an instance: ``python -m shallotmux.membership.cost``.

Each instance is a separate process on the loopback interface, with TLS, its zone group and the
fleet group, but without requests. Configuration changes arrive at the rate of the design size.
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

#: Targets per instance, from the design page.
CPU_TARGET_CORES = 0.019
MEMORY_TARGET_MB = 64
TRAFFIC_TARGET_BYTES_PER_S = 17_000

#: Rate of configuration changes at the design size: 31,000 a day in the whole fleet.
CHANGES_PER_S = 31_000 / 86_400

#: Number of instances in the zone that have a disk.
DISK_COUNT = 5

#: Time before the first window, in which elections, membership changes and imports finish. The
#: voters of a zone join one after the other.
WARM_UP_S = 12.0

#: Offsets of ``tcpi_bytes_acked``, ``tcpi_bytes_received``, ``tcpi_segs_out`` and
#: ``tcpi_segs_in`` in the kernel's ``struct tcp_info``.
TCP_INFO_LAYOUT = '<120x2Q2I'

#: Size of the IPv4 and TCP headers of a segment, including TCP timestamps.
SEGMENT_HEADER_BYTES = 52


@dataclass(frozen=True, slots=True)
class Sample:
    """Resource counters of one instance.

    :param taken_at_s: monotonic time of the sample.
    :param bytes_moved: bytes sent and received, including headers.
    """

    taken_at_s: float
    cpu_s: float
    memory_kb: int
    bytes_moved: int
    role: str


@dataclass(frozen=True, slots=True)
class InstanceOptions:
    """Parameters of one instance's process.

    :param names: names of all instances; the first one bootstraps the groups.
    :param folder: folder of the certificates and of the instances' data folders.
    :param windows: number of windows to measure, each of ``window_s``.
    """

    name: str
    names: tuple[str, ...]
    folder: str
    windows: int
    window_s: float


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost of one instance in one window.

    :param cpu: fraction of one core.
    """

    role: str
    cpu: float
    memory_mb: float
    bytes_per_s: float


def count_tcp_bytes() -> int:
    """Return the bytes sent and received on this process's TCP connections, with headers."""
    total = 0
    for entry in os.listdir('/proc/self/fd'):
        try:
            with socket.socket(fileno=os.dup(int(entry))) as sock:
                info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 192)
        except OSError:
            continue
        acked, received, sent_segments, received_segments = struct.unpack_from(
            TCP_INFO_LAYOUT, info
        )
        total += acked + received + SEGMENT_HEADER_BYTES * (sent_segments + received_segments)
    return total


def read_memory_kb() -> int:
    """Return the resident memory of this process in KiB."""
    status = Path('/proc/self/status').read_text(encoding='ascii')
    line = next(each for each in status.splitlines() if each.startswith('VmRSS'))
    return int(line.split()[1])


def run_instance(options: InstanceOptions, pipe: Connection) -> None:
    """Run one instance and send its samples; entry point of the child processes."""
    trio.run(_run_groups, options, pipe)


async def _run_groups(options: InstanceOptions, pipe: Connection) -> None:
    idle_kb = read_memory_kb()
    folder = Path(options.folder)
    settings = _make_settings(options)
    addresses: dict[str, str] = {}
    files = (
        str(folder / each) for each in ('ca.pem', f'{options.name}.crt', f'{options.name}.key')
    )
    network = GrpcPeerNetwork(options.name, LOOPBACK, addresses, PeerTls(*files))
    bootstrap = (FLEET_GROUP, ZONE_PREFIX + ZONE) if options.name == options.names[0] else ()
    groups = InstanceGroups(settings, bootstrap, network)
    async with trio.open_nursery() as nursery:
        pipe.send(await nursery.start(groups.run))
        addresses.update(await trio.to_thread.run_sync(pipe.recv))
        if bootstrap:
            nursery.start_soon(_submit_changes, groups)
        await trio.sleep(WARM_UP_S)
        samples = [_take_sample(groups)]
        for _ in range(options.windows):
            await trio.sleep(options.window_s)
            samples.append(_take_sample(groups))
        pipe.send((idle_kb, samples))
        await trio.to_thread.run_sync(pipe.recv)
        nursery.cancel_scope.cancel()


async def _submit_changes(groups: InstanceGroups) -> None:
    """Submit changes with exponentially distributed gaps, at the rate of the design size."""
    random = Random(1)  # noqa: S311
    await trio.sleep(WARM_UP_S / 2)
    number = 0
    while True:
        await trio.sleep(random.expovariate(CHANGES_PER_S))
        await groups.authority.submit(PutObject(f'c-{number}', Customer(f'customer-{number}'), 0))
        number += 1


def _make_settings(options: InstanceOptions) -> Settings:
    peers = tuple(
        PeerSettings(name=name, zone=ZONE, address=LOOPBACK, has_disk=number < DISK_COUNT)
        for number, name in enumerate(options.names)
    )
    return Settings(
        instance=InstanceSettings(
            name=options.name, zone=ZONE, data_folder=str(Path(options.folder) / options.name)
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
    """Run a zone with ``count`` instances, and return the cost per instance and window."""
    names = tuple(f'entry-{number + 1:02}' for number in range(count))
    with tempfile.TemporaryDirectory() as folder:
        _issue_certificates(Path(folder), names)
        running = [
            _start(InstanceOptions(name, names, folder, windows, window_s)) for name in names
        ]
        pipes = [pipe for _, pipe in running]
        addresses = dict(zip(names, _receive_all(pipes), strict=True))
        _send_all(pipes, addresses)
        results = _receive_all(pipes)
        _send_all(pipes, None)
        for process, _ in running:
            process.join()
    return [cost for idle_kb, samples in results for cost in _compute_costs(idle_kb, samples)]


def _start(options: InstanceOptions) -> tuple[SpawnProcess, Connection]:
    context = multiprocessing.get_context('spawn')
    parent_end, child_end = context.Pipe()
    process = context.Process(target=run_instance, args=(options, child_end))
    process.start()
    return process, parent_end


def _receive_all(pipes: Sequence[Connection]) -> list[Any]:
    return [pipe.recv() for pipe in pipes]


def _send_all(pipes: Sequence[Connection], message: object) -> None:
    for pipe in pipes:
        pipe.send(message)


def _issue_certificates(folder: Path, names: Sequence[str]) -> None:
    import trustme  # noqa: PLC0415  # Only needed here; the daemon does not require it.

    authority = trustme.CA()
    authority.cert_pem.write_to_path(str(folder / 'ca.pem'))
    for name in names:
        issued = authority.issue_cert(name)
        issued.private_key_pem.write_to_path(str(folder / f'{name}.key'))
        issued.cert_chain_pems[0].write_to_path(str(folder / f'{name}.crt'))


def _compute_costs(idle_kb: int, samples: Sequence[Sample]) -> list[Cost]:
    return [
        Cost(
            after.role,
            (after.cpu_s - before.cpu_s) / (after.taken_at_s - before.taken_at_s),
            (after.memory_kb - idle_kb) / 1024,
            (after.bytes_moved - before.bytes_moved) / (after.taken_at_s - before.taken_at_s),
        )
        for before, after in zip(samples, samples[1:], strict=False)
    ]


def _describe(values: Sequence[float], scale: float, unit: str) -> str:
    scaled = sorted(each * scale for each in values)
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
            of_role = [each for each in costs if each.role == role]
            if of_role:
                cpu = _describe([each.cpu for each in of_role], 100, '% of a core')
                memory = _describe([each.memory_mb for each in of_role], 1, 'MB')
                traffic = _describe([each.bytes_per_s for each in of_role], 0.001, 'KB/s')
                click.echo(f'{count:2} instances, {role:8}: {cpu}; {memory}; {traffic}')
    limits = f'{100 * CPU_TARGET_CORES:.1f}% of a core, {MEMORY_TARGET_MB} MB, {TRAFFIC_TARGET_BYTES_PER_S / 1000} KB/s'
    click.echo(f'targets: {limits}')


if __name__ == '__main__':
    main()
