"""Soak of the programs of the deploy file: real processes, random disruptions, checked promises."""

from __future__ import annotations

from shallotmux.checking.programs._control_group import ControlGroup
from shallotmux.checking.programs._operator import Operator
from shallotmux.checking.programs._promises import find_violations
from shallotmux.checking.programs._records import (
    Arrival,
    Call,
    Change,
    Disruption,
    Reading,
    Records,
    Trouble,
)
from shallotmux.checking.programs._replacements import ReplacementPlan, run_replacements
from shallotmux.checking.programs._soak import SoakPlan, run_soak

__all__ = (
    'Arrival',
    'Call',
    'Change',
    'ControlGroup',
    'Disruption',
    'Operator',
    'Reading',
    'Records',
    'ReplacementPlan',
    'SoakPlan',
    'Trouble',
    'find_violations',
    'run_replacements',
    'run_soak',
)
