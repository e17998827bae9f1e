"""Limits of a machine, and ports that are in use."""

from __future__ import annotations

import resource
import socket
from contextlib import suppress
from dataclasses import dataclass

import trio

from shallotmux.platform._samples import SampleInstance

#: Descriptors and memory of an instance on small machines.
MAX_DESCRIPTORS = 4100
MAX_MEMORY_BYTES = 300 << 20


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """Limits of each process.

    :param memory_bytes: private memory; 0 for no limit.
    """

    descriptors: int = MAX_DESCRIPTORS
    memory_bytes: int = MAX_MEMORY_BYTES

    def apply(self, pid: int) -> None:
        """Limit a process, unless it has exited."""
        with suppress(ProcessLookupError):
            if self.descriptors:
                limits = self.descriptors, self.descriptors
                resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)
            if self.memory_bytes:
                limits = self.memory_bytes, self.memory_bytes
                resource.prlimit(pid, resource.RLIMIT_DATA, limits)


NO_LIMITS = ResourceLimits(0, 0)


async def hold_ports(settings: SampleInstance, duration_s: float) -> None:
    """Use the ports of an instance for a time, as a process before it that still exits."""
    addresses = [settings.peers, settings.operators if settings.folder else settings.callers]
    holders: list[socket.socket] = []
    try:
        for address in addresses:
            host, _, port = address.rpartition(':')
            with suppress(OSError):
                holders.append(socket.create_server((host, int(port))))
        await trio.sleep(duration_s)
    finally:
        for each in holders:
            each.close()
