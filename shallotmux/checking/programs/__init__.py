"""Soak of the programs of the deploy file: real processes, random disruptions, checked promises."""

from __future__ import annotations

from shallotmux.checking.programs._callers import Operator
from shallotmux.checking.programs._deployment import ControlGroup
from shallotmux.checking.programs._promises import find_violations
from shallotmux.checking.programs._records import Arrival, Call, Disruption, Records
from shallotmux.checking.programs._soak import run_soak

__all__ = (
    'Arrival',
    'Call',
    'ControlGroup',
    'Disruption',
    'Operator',
    'Records',
    'find_violations',
    'run_soak',
)
