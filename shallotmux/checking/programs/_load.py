"""Processes that keep cores busy beside a run."""

from __future__ import annotations

import sys

import trio

from shallotmux.checking.processes import start_command

BUSY_PROGRAM = 'while True: pass'


async def start_load(nursery: trio.Nursery, processes: int) -> None:
    """Start busy processes, which end with the nursery."""
    for _ in range(processes):
        await start_command(nursery, [sys.executable, '-c', BUSY_PROGRAM])
