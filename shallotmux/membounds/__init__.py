"""Bounds on the memory and descriptors that a process uses for callers, endpoints and other instances."""

from __future__ import annotations

from shallotmux.membounds._bounds import (
    MIN_CONNECTIONS,
    ProcessBounds,
    ProcessLimits,
    derive_bounds,
    read_descriptor_limit,
)
from shallotmux.membounds._budget import Holding, MemoryBudget
from shallotmux.membounds._slots import BoundedListener, ConnectionSlots, Occupant, choose_evicted
from shallotmux.membounds._sockets import (
    count_unacknowledged,
    has_ended,
    is_closed_in_order,
    reset_on_close,
    wait_for_end,
)
from shallotmux.membounds._wait import PeerWait

__all__ = (
    'MIN_CONNECTIONS',
    'BoundedListener',
    'ConnectionSlots',
    'Holding',
    'MemoryBudget',
    'Occupant',
    'PeerWait',
    'ProcessBounds',
    'ProcessLimits',
    'choose_evicted',
    'count_unacknowledged',
    'derive_bounds',
    'has_ended',
    'is_closed_in_order',
    'read_descriptor_limit',
    'reset_on_close',
    'wait_for_end',
)
