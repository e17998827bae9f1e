"""Tests of the signals of the real programs: no window in which one ends the process."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest
import trio

from tests.support.full_disk_program import MARKER_VARIABLE
from tests.support.networks import private_network
from tests.support.processes import Process, start_process

LAUNCHER = 'shallotmux.launcher'
FULL_DISK_PROGRAM = 'tests.support.full_disk_program'

#: Network of the programs under test.
NETWORK = private_network(91)

#: Interval between two signals of a series.
SIGNAL_INTERVAL_S = 0.005


def write_settings(folder: Path, host: str, role: str) -> Path:
    """Write the settings of a single instance and return their path."""
    path = folder / 'boot.json'
    listen = {'control': f'{host}:18367'}
    if role == 'front':
        listen = {'front': f'{host}:18368', 'ready': f'{host}:18369'}
    settings = {
        'node-name': 'n-1',
        'role': role,
        'serves': [role],
        'ip': host,
        'zone': 'a',
        'listen': listen,
        'port-range': [17780, 17790],
        'seeds': [f'{host}:18367'],
        'bootstrap': True,
        'data-dir': str(folder / 'data') if role == 'control' else None,
        'tolerate': {'machines': 0},
        'bounds': {'grace-s': 2},
        'cloud': {'address': f'{host}:9', 'duties': []},
    }
    path.write_text(json.dumps(settings), encoding='utf-8')
    return path


@contextmanager
def start_program(
    folder: Path, host: str, role: str, module: str = LAUNCHER, **environment: str
) -> Iterator[Process]:
    """Start the program of one instance."""
    settings = write_settings(folder, host, role)
    variables = {'SHALLOTMUX_SETTINGS': str(settings), **environment}
    with start_process(module, environment=variables) as process:
        yield process


async def send_repeatedly(process: Process, number: int) -> None:
    """Send a signal again and again until cancelled."""
    while True:
        process.signal(number)
        await trio.sleep(SIGNAL_INTERVAL_S)


async def wait_until_ignored(process: Process, number: int) -> None:
    """Wait until the process has changed the default action of a signal."""
    status = Path(f'/proc/{process.child.pid}/status')
    while not any(
        int(line.split()[1], 16) >> (number - 1) & 1
        for line in status.read_text(encoding='ascii').splitlines()
        if line.startswith(('SigIgn', 'SigCgt'))
    ):
        await trio.sleep(SIGNAL_INTERVAL_S)


@pytest.mark.parametrize(('role', 'number'), [('control', 1), ('front', 2)])
async def test_reload_signals_from_start_to_exit_do_not_end_the_process(
    tmp_path: Path, role: str, number: int
) -> None:
    """Guards against a SIGHUP that ends a process while it starts, drains or exits.

    An entry instance lost the streams it was finishing when its settings changed during a drain.
    """
    with start_program(tmp_path, f'{NETWORK}.{number}', role) as process:
        with trio.fail_after(20):
            await wait_until_ignored(process, signal.SIGHUP)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_repeatedly, process, signal.SIGHUP)
                await process.read_message('shallotmux:started')
                process.signal(signal.SIGTERM)
                assert await process.exit_code() == 0
                nursery.cancel_scope.cancel()


async def test_repeated_stop_signals_do_not_cut_the_drain_short(tmp_path: Path) -> None:
    """Guards against a second SIGTERM that ends a process which is still finishing requests."""
    with start_program(tmp_path, f'{NETWORK}.3', 'front') as process:
        with trio.fail_after(20):
            await process.read_message('shallotmux:started')
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_repeatedly, process, signal.SIGTERM)
                await process.read_message('shallotmux:stopped')
                assert await process.exit_code() == 0
                nursery.cancel_scope.cancel()


async def test_program_waiting_for_its_disk_reloads_and_stops(tmp_path: Path) -> None:
    """Guards against a SIGHUP or SIGTERM that has no effect, or a wrong one, on a full disk."""
    marker = tmp_path / 'full'
    with start_program(
        tmp_path,
        f'{NETWORK}.4',
        'control',
        FULL_DISK_PROGRAM,
        **{MARKER_VARIABLE: str(marker)},
    ) as process:
        with trio.fail_after(20):
            await process.read_message('shallotmux:leading')
            marker.touch()
            await put_document(f'{NETWORK}.4')
            await process.read_message('shallotmux:disk-refused')
            process.signal(signal.SIGHUP)
            await trio.sleep(0.2)
            process.signal(signal.SIGTERM)
            assert await process.exit_code() == 0


@pytest.mark.parametrize('role', ['control', 'front'])
async def test_error_that_ends_the_process_is_a_log_line(tmp_path: Path, role: str) -> None:
    """Guards against a process that ends without a cause in its log.

    The interpreter writes the traceback to standard error only, beside the log.
    """
    # An address for documentation, which no machine has.
    with start_program(tmp_path, '192.0.2.1', role) as process:
        entry = await process.read_message('shallotmux:process-failed')
        assert await process.exit_code() == 1
    assert entry['error_type'] == 'OSError'
    assert 'assign requested address' in entry['error']
    assert 'create_server' in entry['place']


async def test_invalid_settings_that_end_the_process_are_a_log_line(tmp_path: Path) -> None:
    """Guards against a process that refuses its settings without a cause in its log."""
    variables = {'SHALLOTMUX_SETTINGS': str(tmp_path / 'missing.json')}
    with start_process(LAUNCHER, environment=variables) as process:
        entry = await process.read_message('shallotmux:process-failed')
        assert await process.exit_code() == 2
    assert entry['error_type'] == 'SettingsError'


@pytest.mark.parametrize(('address', 'role'), [(9, 'control'), (10, 'front')])
async def test_start_waits_for_settings_that_are_being_written(
    tmp_path: Path, address: int, role: str
) -> None:
    """Guards against a process that ends because its settings file was half written at its start."""
    path = write_settings(tmp_path, f'{NETWORK}.{address}', role)
    content = path.read_bytes()
    path.write_bytes(content[: len(content) // 2])
    with start_process(LAUNCHER, environment={'SHALLOTMUX_SETTINGS': str(path)}) as process:
        await process.read_message('shallotmux:settings-refused')
        path.write_bytes(content)
        await process.read_message('shallotmux:started')
        process.signal(signal.SIGTERM)
        assert await process.exit_code() == 0


async def put_document(host: str) -> None:
    """Submit a document, whose write to the disk fails; no answer is awaited."""
    body = json.dumps({'version': 1, 'routes': [], 'services': []}).encode()
    head = f'POST /Config.Put HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n\r\n'
    async with await trio.open_tcp_stream(host, 18367) as stream:
        await stream.send_all(head.encode() + body)


#: Runs the launcher with a stand-in for the program; exits with 1 if SIGHUP is not ignored by then.
LAUNCHER_CHECK = """
import signal, sys, types
import shallotmux.launcher
assert 'trio' not in sys.modules
program = types.ModuleType('program')
program.main = lambda: int(signal.getsignal(signal.SIGHUP) is not signal.SIG_IGN)
sys.modules['shallotmux.platform'] = types.ModuleType('platform')
sys.modules['shallotmux.platform.__main__'] = program
sys.exit(shallotmux.launcher.main())
"""


def test_launcher_ignores_reload_signals_before_it_imports_the_program() -> None:
    """Guards against a SIGHUP that ends a process while its modules are imported."""
    completed = subprocess.run([sys.executable, '-c', LAUNCHER_CHECK], check=False)
    assert completed.returncode == 0


#: Packages of the repository's environment that the build of the programs does not install.
NOT_DEPLOYED = ('click', 'hypercorn', 'json5', 'pydantic', 'returns')


def test_programs_import_only_what_is_deployed() -> None:
    """Guards against a program that does not start, as its build lacks a package."""
    check = f'import sys, shallotmux.platform.__main__; sys.exit(bool(set({NOT_DEPLOYED}) & set(sys.modules)))'
    completed = subprocess.run([sys.executable, '-c', check], check=False)
    assert completed.returncode == 0
