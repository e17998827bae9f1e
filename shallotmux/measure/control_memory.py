"""Measure the memory and disk of control processes with large configurations.

``python -m shallotmux.measure.control_memory`` starts three control processes of the deploy file, sends
a series of versions of one size, kills all processes, lets one miss changes, and wipes the disk of
another one. It prints the largest memory that a process used in each phase.
"""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path
from random import Random

import click
import trio

from shallotmux.checking.programs import ControlGroup, Operator, Records

#: Bytes of a route of the configuration, by which its size is chosen.
ROUTE_BYTES = 232

MEBIBYTE = 1 << 20

#: Time for a version to be read back after a disruption.
RECOVERY_S = 20.0


def read_peak(pid: int) -> int:
    """Return the largest memory that a process has used, without mapped files, in bytes."""
    try:
        lines = Path(f'/proc/{pid}/status').read_text(encoding='ascii').splitlines()
    except OSError:
        return 0
    sizes = {
        line.partition(':')[0]: int(line.split()[1]) << 10 for line in lines if line.endswith('kB')
    }
    return max(0, sizes.get('VmHWM', 0) - sizes.get('RssFile', 0) - sizes.get('RssShmem', 0))


def folder_bytes(folder: Path) -> int:
    """Return the size of the files in a folder."""
    try:
        return sum(each.stat().st_size for each in folder.iterdir())
    except OSError:
        return 0


class Peaks:
    """Largest memory and data folder of the control processes since the last report."""

    def __init__(self, group: ControlGroup) -> None:
        self._group = group
        self._memory = 0
        self._disk = 0

    async def watch(self) -> None:
        """Look at the processes until cancelled."""
        while True:
            for name in self._group.names:
                self._memory = max(self._memory, read_peak(self._group.pid(name)))
                self._disk = max(self._disk, folder_bytes(self._group.folder(name)))
            await trio.sleep(0.02)

    def report(self, phase: str) -> None:
        """Print the peaks of a phase. A process keeps its peak until it is started again."""
        click.echo(f'| {phase} | {self._memory / MEBIBYTE:.0f} | {self._disk / MEBIBYTE:.0f} |')
        self._memory = 0
        self._disk = 0


async def measure(size: int, changes: int, build: Path | None) -> None:
    """Run all phases."""
    records = Records()
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            group = ControlGroup(nursery, Path(folder), records, build)
            operator = Operator(records, Random(1), group.operator_addresses, 'desk')
            peaks = Peaks(group)
            nursery.start_soon(peaks.watch)
            await group.start()
            click.echo('| phase | peak memory, MB | data folder, MB |\n| --- | --- | --- |')
            await _put(operator, size, changes)
            peaks.report(f'{changes} changes of {size / MEBIBYTE:.2f} MB')
            await _restart_all(group, operator, records)
            peaks.report('start after all were killed')
            await _lag(group, operator, size)
            peaks.report('a member that missed 20 changes')
            await _wipe(group, operator, size)
            peaks.report('a member whose disk was wiped')
            group.close()
            nursery.cancel_scope.cancel()


async def _put(operator: Operator, size: int, changes: int) -> None:
    for _ in range(changes):
        await operator.put(size // ROUTE_BYTES)


async def _restart_all(group: ControlGroup, operator: Operator, records: Records) -> None:
    for name in group.names:
        group.kill(name)
    records.read_back = 0
    await operator.read_back(RECOVERY_S)
    if records.read_back < records.acknowledged:
        click.echo(f'| read back {records.read_back} of {records.acknowledged} | | |')


async def _lag(group: ControlGroup, operator: Operator, size: int) -> None:
    name = group.names[0]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(group.pause, name, 4.0)
        await _put(operator, size, 20)
    await trio.sleep(4)


async def _wipe(group: ControlGroup, operator: Operator, size: int) -> None:
    name = group.names[1]
    shutil.rmtree(group.folder(name), ignore_errors=True)
    group.kill(name)
    await _put(operator, size, 5)
    await trio.sleep(6)


@click.command()
@click.option('--size', type=int, default=4_000_000, show_default=True, help='Bytes of a version.')
@click.option('--changes', type=int, default=60, show_default=True)
@click.option('--build', type=click.Path(exists=True, path_type=Path), help='Another repository.')
def main(size: int, changes: int, build: Path | None) -> None:
    """Print the peaks of each phase as a table."""
    trio.run(measure, size, changes, build)


if __name__ == '__main__':
    main()
