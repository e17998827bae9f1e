"""Fixtures shared by all tests."""

from __future__ import annotations

import pytest
import trio.testing

from shallotmux.standins import MemoryNetwork


@pytest.fixture
async def network(nursery: trio.Nursery, autojump_clock: trio.testing.MockClock) -> MemoryNetwork:
    """Return an in-memory network on the test clock."""
    return MemoryNetwork(nursery)
