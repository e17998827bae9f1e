"""Tests of the catalogue of guards."""

from __future__ import annotations

import pytest

from tests.guards.__main__ import ALL_GUARDS, ROOT
from tests.guards.catalogue import Guard


@pytest.mark.parametrize('guard', ALL_GUARDS, ids=lambda guard: guard.invariant)
def test_guard_is_found_in_the_code(guard: Guard) -> None:
    """Guards against a mutation that removes nothing, as the code has changed since."""
    assert (ROOT / guard.path).read_text(encoding='utf-8').count(guard.code) == 1
    for each in guard.tests:
        path, _, name = each.partition('::')
        tests = ROOT / path
        assert tests.exists()
        if name:
            assert f'def {name.partition("[")[0]}(' in tests.read_text(encoding='utf-8')
