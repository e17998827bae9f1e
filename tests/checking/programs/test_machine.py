"""Tests of limits of processes and of ports in use."""

from __future__ import annotations

import resource
import socket
import subprocess
import sys

import pytest
import trio
import trio.testing

from shallotmux.checking.programs._machine import NO_LIMITS, ResourceLimits, hold_ports
from shallotmux.platform._samples import SampleInstance

SHOW_LIMITS = (
    'import resource, sys; sys.stdin.read(); print(resource.getrlimit(resource.RLIMIT_NOFILE)[0])'
)


@pytest.mark.parametrize('limits', (ResourceLimits(321), NO_LIMITS))
def test_process_is_limited(limits: ResourceLimits) -> None:
    """Guards against runs whose limits apply to nobody, or to the run itself."""
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    with subprocess.Popen(
        [sys.executable, '-c', SHOW_LIMITS], stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as process:
        limits.apply(process.pid)
        output, _ = process.communicate()
    assert int(output) == (limits.descriptors or before[0])
    assert resource.getrlimit(resource.RLIMIT_NOFILE) == before


async def test_ports_are_held_for_a_time() -> None:
    """Guards against a disruption that holds no port."""
    settings = SampleInstance('entry-1', '127.0.0.87', (), '127.0.0.87:9')
    host, _, port = settings.peers.rpartition(':')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(hold_ports, settings, 0.2)
        await trio.testing.wait_all_tasks_blocked()
        with pytest.raises(OSError, match='in use'):
            socket.create_server((host, int(port)))
    socket.create_server((host, int(port))).close()
