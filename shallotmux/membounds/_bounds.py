"""Derive the bounds of a process from the limits of its machine."""

from __future__ import annotations

import resource
from dataclasses import dataclass

#: Resident memory of an entry or control program with its tables, without connections and buffers.
PROGRAM_BYTES = 64_000_000

#: Descriptors for files, listening sockets, the event loop, calls to other instances and to the platform.
OTHER_DESCRIPTORS = 64

#: Resident memory of a connection: 11 KB while idle, 24 KB more for a request in progress, as measured with
#: 1,000 connections and 300 requests. What it has buffered is counted by the budget.
CONNECTION_BYTES = 36_000

#: Part of the spare memory for buffers, and for connections. The rest is for the requests in progress and
#: for what the allocator cannot give back.
BUFFERED_FRACTION = 0.5
CONNECTIONS_FRACTION = 0.25

#: Smallest budget: four bodies of 4 MiB.
MIN_BUFFERED_BYTES = 16 << 20

#: Fewest connections of a listener, however low the limits are.
MIN_CONNECTIONS = 8

#: Parts of the descriptors. Those of one process add up to one: an entry instance has callers, endpoints
#: (and a quarter as many connections to peers), relayed requests, two pages and peers; a control instance
#: has operators, one page and peers.
CALLERS_FRACTION = 0.4
ENDPOINTS_FRACTION = 0.28
RELAYED_FRACTION = 0.1
PAGE_FRACTION = 0.05
OPERATORS_FRACTION = 0.3
ENTRY_PEERS_FRACTION = 0.05
CONTROL_PEERS_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """What the machine of a process has.

    :param memory_bytes: memory for the process.
    :param descriptors: largest number of open descriptors.
    """

    memory_bytes: int = 200_000_000
    descriptors: int = 4096


@dataclass(frozen=True, slots=True)
class ProcessBounds:
    """What a process may hold at once.

    :param buffered_bytes: bytes that are held for callers, endpoints and other instances.
    :param callers: connections of callers; the following are those of the other listeners.
    :param page: connections to the readiness page, and to the metrics.
    :param endpoints: connections to endpoints, in use and idle.
    """

    buffered_bytes: int
    callers: int
    relayed: int
    page: int
    operators: int
    entry_peers: int
    control_peers: int
    endpoints: int


def derive_bounds(limits: ProcessLimits) -> ProcessBounds:
    """Return the bounds of a process for the limits of its machine."""
    spare = max(0, limits.memory_bytes - PROGRAM_BYTES)
    by_memory = CONNECTIONS_FRACTION * spare / CONNECTION_BYTES
    descriptors = max(0, limits.descriptors - OTHER_DESCRIPTORS)

    def count(fraction: float) -> int:
        return max(MIN_CONNECTIONS, int(min(by_memory, fraction * descriptors)))

    return ProcessBounds(
        max(MIN_BUFFERED_BYTES, int(BUFFERED_FRACTION * spare)),
        count(CALLERS_FRACTION),
        count(RELAYED_FRACTION),
        count(PAGE_FRACTION),
        count(OPERATORS_FRACTION),
        count(ENTRY_PEERS_FRACTION),
        count(CONTROL_PEERS_FRACTION),
        count(ENDPOINTS_FRACTION),
    )


def read_descriptor_limit() -> int:
    """Return the number of descriptors that the operating system allows this process."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]
