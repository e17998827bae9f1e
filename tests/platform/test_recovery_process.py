"""Tests of the recovery of a control group with the real programs and the tool."""

from __future__ import annotations

import shutil
import signal
import subprocess
import sys
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path

import trio

from shallotmux.checking.programs._exchange import exchange
from shallotmux.platform import GET_PATH, PUT_PATH
from shallotmux.platform._samples import (
    SampleInstance,
    encode_document,
    encode_settings,
    read_document_version,
)
from tests.support.networks import private_network
from tests.support.processes import Process, start_process

LAUNCHER = 'shallotmux.launcher'
NETWORK = private_network(151)
FIRST = (1, 2, 3)
NEW = (4, 5)
CALL_S = 1.5
FORM_S = 20.0


@dataclass
class Programs:
    """Control programs, each with a data folder and an address of its own."""

    folder: Path
    stack: ExitStack
    running: dict[int, Process] = field(default_factory=dict)

    def data(self, number: int) -> Path:
        """Return the data folder of a program."""
        return self.folder / f'data-{number}'

    def start(self, number: int, seeds: tuple[int, ...], *, bootstrap: bool = False) -> Process:
        """Start a program."""
        instance = SampleInstance(
            f'core-{number}',
            f'{NETWORK}.{number}',
            tuple(f'{NETWORK}.{each}' for each in seeds),
            f'{NETWORK}.9:9',
            str(self.data(number)),
            bootstrap,
        )
        path = self.folder / f'{number}.json'
        path.write_bytes(encode_settings(instance))
        environment = {'SHALLOTMUX_SETTINGS': str(path)}
        process = self.stack.enter_context(start_process(LAUNCHER, environment=environment))
        self.running[number] = process
        return process

    async def kill(self, number: int) -> None:
        """End a program without a shutdown."""
        process = self.running.pop(number)
        process.signal(signal.SIGKILL)
        await process.exit_code()

    async def put(self, number: int, version: int) -> bool:
        """Submit a document to a program; returns whether it was acknowledged."""
        body = encode_document(version, 'desk')
        answer = await exchange(self._operators(number), b'POST', PUT_PATH, body, CALL_S)
        return answer is not None and answer.status == 200

    async def put_in_time(self, number: int, version: int) -> None:
        """Submit a document until it is acknowledged."""
        with trio.fail_after(FORM_S):
            while not await self.put(number, version):
                await trio.sleep(0.2)

    async def read(self, number: int) -> int | None:
        """Return the version of the document that a program reads."""
        answer = await exchange(self._operators(number), b'GET', GET_PATH, b'', CALL_S)
        return read_document_version(answer.body) if answer and answer.status == 200 else None

    def _operators(self, number: int) -> str:
        return SampleInstance('', f'{NETWORK}.{number}', (), '').operators


async def recover(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the tool as an operator does."""
    words = [sys.executable, '-m', 'shallotmux.cli', 'recover', *arguments]
    return await trio.run_process(  # type: ignore[return-value]
        words, check=False, capture_stdout=True, capture_stderr=True
    )


async def lose_majority(programs: Programs) -> None:
    """Start three programs, put a document, and lose two of them with their disks."""
    for number in FIRST:
        programs.start(number, FIRST, bootstrap=True)
    await programs.put_in_time(1, 7)
    for number in FIRST[:2]:
        await programs.kill(number)
        shutil.rmtree(programs.data(number))


async def grow(programs: Programs) -> None:
    """Add new programs to the recovered one, and wait until three vote."""
    for number in NEW:
        programs.start(number, (3,))
        await programs.put_in_time(number, 9 + number)
    voters: list[str] = []
    with trio.fail_after(FORM_S):
        while len(voters) < len(FIRST):
            line = await programs.running[3].read_message('shallotmux:group-health')
            voters = line['voters']


async def test_group_whose_majority_is_gone_is_recovered(tmp_path: Path) -> None:
    """Guards against a group that has lost its majority for good and cannot be used again."""
    with ExitStack() as stack:
        programs = Programs(tmp_path, stack)
        await lose_majority(programs)
        line = await programs.running[3].read_message('shallotmux:quorum-lost')
        silent = {each.partition(':')[0] for each in line['silent_s']}
        assert silent == {f'{NETWORK}.1', f'{NETWORK}.2'}
        assert not await programs.put(3, 8)
        folder = str(programs.data(3))
        in_use = await recover('--accept-loss', folder)
        assert in_use.returncode == 2, in_use.stderr
        await programs.kill(3)
        refused = await recover(folder)
        assert refused.returncode == 5, refused.stderr
        recovered = await recover('--accept-loss', folder)
        assert recovered.returncode == 0, recovered.stderr
        programs.start(3, (3,))
        await programs.put_in_time(3, 9)
        await grow(programs)
        assert await programs.read(NEW[0]) == 9 + NEW[-1]
        await programs.kill(3)
        await programs.put_in_time(NEW[0], 20)
