"""Fixtures shared by all tests."""

from __future__ import annotations

import pytest
import trio.testing
from trio._core import _run as scheduler

from shallotmux.standins import MemoryNetwork

# Trio runs the tasks that are ready together in random order; tests fix that order by a seed, so
# that a failing schedule fails again.
scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True  # noqa: SLF001, WPS437


@pytest.fixture(autouse=True)
def _seeded_scheduler() -> None:
    """Make the order of tasks the same in each run of a test."""
    scheduler._r.seed(0)  # noqa: SLF001, WPS437


@pytest.fixture
async def network(nursery: trio.Nursery, autojump_clock: trio.testing.MockClock) -> MemoryNetwork:
    """Return an in-memory network; tests must ask for ``autojump_clock`` themselves too."""
    return MemoryNetwork(nursery)
