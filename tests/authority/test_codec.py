"""Tests of the encoding of registered data classes."""

from __future__ import annotations

import pytest

from shallotmux.authority import ChangeRole, Intent, ZoneState
from shallotmux.authority._codec import registry
from shallotmux.authority._intents import Attempt, Target

INTENT = Intent('engine-1', 1, ChangeRole('decode'))


@pytest.mark.parametrize(
    'target',
    [
        Target('engine-1'),
        Target('engine-1', attempts_begun=2, last_outcome='accepted'),
        Target('engine-1', intent=INTENT),
        Target('engine-1', attempts=(Attempt(1, 1, 'entry-1'),)),
    ],
)
def test_target_with_and_without_an_intent_is_decoded(target: Target) -> None:
    """Guards against a snapshot that an instance can write but not start from."""
    assert registry.decode(registry.encode(target)) == target


def test_state_with_a_closed_intent_is_restored() -> None:
    """Guards against a daemon that cannot start after all orders to an engine were answered."""
    state = ZoneState()
    state.intents.targets['engine-1'] = Target('engine-1', last_outcome='accepted')
    restored = ZoneState.restore(state.snapshot())
    assert restored.intents.targets == state.intents.targets
