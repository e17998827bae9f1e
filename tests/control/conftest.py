"""Fixtures for tests of control instances."""

from __future__ import annotations

from pathlib import Path

import pytest
import trio
import trio.testing

from tests.control._instances import ControlGroup


@pytest.fixture
async def group(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> ControlGroup:
    """Return a group of three seeds with a leader."""
    group = ControlGroup(nursery, tmp_path)
    await group.bootstrap()
    return group
