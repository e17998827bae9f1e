"""Tests of the first moments of a process that the deploy file starts."""

from __future__ import annotations

import os
import subprocess
import sys
import tomllib
from pathlib import Path
from time import perf_counter

ROOT = Path(__file__).parents[2]

#: Runs of each command; the fastest ones are compared, as a machine may be busy.
RUNS = 12


def is_reload_signal_handled(pid: int) -> bool:
    status = Path(f'/proc/{pid}/status').read_text(encoding='ascii')
    return any(
        int(line.split()[1], 16) & 1
        for line in status.splitlines()
        if line.startswith(('SigIgn', 'SigCgt'))
    )


def measure_window(*words: str) -> float:
    """Return the seconds until a process has changed the default action of SIGHUP."""
    environment = {
        'PATH': os.environ['PATH'],
        'PYTHONPATH': os.pathsep.join(each for each in sys.path if each),
    }
    began = perf_counter()
    child = subprocess.Popen(
        [sys.executable, *words],
        cwd=ROOT,
        env=environment,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        while not is_reload_signal_handled(child.pid):
            assert child.poll() is None, 'the process ended'
        return perf_counter() - began
    finally:
        child.kill()
        child.wait()


def test_reload_signal_is_ignored_before_anything_is_imported() -> None:
    """Guards against a SIGHUP that ends a process in the first moments of its start.

    The window of an interpreter that runs one statement is the shortest that there can be.
    """
    roles = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8'))['roles']
    for role in roles.values():
        program, *words = role['run'].split()
        assert program == 'python3'
        statement = 'import _signal; _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)'
        shortest, window = [], []
        for _ in range(RUNS):
            shortest.append(measure_window('-S', '-c', statement))
            window.append(measure_window(*words))
        assert min(window) < 1.5 * min(shortest)
