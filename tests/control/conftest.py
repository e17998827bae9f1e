"""The group that tests of control instances share."""

from __future__ import annotations

from pathlib import Path

import pytest
import trio
import trio.testing

from tests.control._cores import Cores


@pytest.fixture
async def cores(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> Cores:
    """Return a group of three seeds with a leader."""
    cores = Cores(nursery, tmp_path)
    await cores.found()
    return cores
