"""Tests of the bounds that follow from the limits of a machine."""

from __future__ import annotations

import pytest

from shallotmux.membounds import MemoryBudget, ProcessLimits, derive_bounds
from shallotmux.membounds._bounds import CONNECTION_BYTES, OTHER_DESCRIPTORS, PROGRAM_BYTES

BODY_BYTES = 4 << 20

#: Machines of the deployments: the smallest and the largest entry instances, and control instances.
MACHINES = [(160, 1638), (200, 4100), (440, 10_250), (296, 4096)]


@pytest.mark.parametrize(('memory_mb', 'descriptors'), MACHINES)
def test_bounds_fit_the_machine(memory_mb: int, descriptors: int) -> None:
    """Guards against bounds whose sum exceeds the memory or the descriptors of a machine."""
    bounds = derive_bounds(ProcessLimits(memory_mb * 1_000_000, descriptors))
    entry = (bounds.callers, bounds.relayed, 2 * bounds.page, bounds.entry_peers)
    used = sum(entry) + 1.25 * bounds.endpoints + OTHER_DESCRIPTORS
    assert used <= descriptors
    assert bounds.operators + bounds.page + bounds.control_peers + OTHER_DESCRIPTORS <= descriptors
    memory = PROGRAM_BYTES + bounds.buffered_bytes + bounds.callers * CONNECTION_BYTES
    assert memory <= memory_mb * 1_000_000


@pytest.mark.parametrize(('memory_mb', 'descriptors'), [*MACHINES, (96, 160), (0, 0)])
def test_bounds_leave_room_for_ordinary_requests(memory_mb: int, descriptors: int) -> None:
    """Guards against limits so low that a single request within the documented limits is refused."""
    bounds = derive_bounds(ProcessLimits(memory_mb * 1_000_000, descriptors))
    assert bounds.buffered_bytes // 4 >= BODY_BYTES
    assert min(bounds.callers, bounds.page, bounds.operators, bounds.endpoints) >= 8


def test_read_size_shrinks_while_the_budget_is_short() -> None:
    """Guards against many slow readers that each hold a large part once the budget is half used."""
    budget = MemoryBudget(1000)
    assert (budget.read_bytes, budget.has_room(1000)) == (65_536, True)
    budget.used = 501
    assert (budget.read_bytes, budget.has_room(500)) == (4096, False)
    budget.used = 1200
    assert budget.has_room(0)
    assert budget.refusals == 1
