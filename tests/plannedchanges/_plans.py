"""Engines and plans for tests."""

from __future__ import annotations

import msgspec

from shallotmux.fleet import EngineRole, ListedEndpoint
from shallotmux.plannedchanges import PlannedChange

#: Time that a role change takes, and time until which the engine may be changing.
CHANGE_S = 3.0
LISTED_S = 6.0


def make_engine(
    number: int, role: EngineRole = EngineRole.DECODE, started_ms: int = 1
) -> ListedEndpoint:
    """Return an engine of the service ``llm``."""
    return ListedEndpoint(
        f'e-{number}', 'llm', f'10.0.0.{number}:1', 'a', 64, role=role, started_ms=started_ms
    )


ENGINE = make_engine(1)
START = ENGINE.start_number


def make_change(phase: str = 'announced', **changes: object) -> PlannedChange:
    """Return a change of ``e-1`` from decode to prefill."""
    change = PlannedChange('e-1', START, 'role', 'prefill', 4, phase, 3.0, 1)
    return msgspec.structs.replace(change, **changes)
