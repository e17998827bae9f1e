"""Deterministic simulation tests of the replicated authority and a linearizability checker."""

from __future__ import annotations

from shallotmux.checking._explorer import (
    UNFENCED_PLAN,
    Failure,
    Plan,
    Report,
    explore,
    explore_schedule,
    replay,
)
from shallotmux.checking._generation import FAILING_LEADERS_PROFILE, LEASE_PROFILE, Profile
from shallotmux.checking._history import History, Operation, is_linearizable
from shallotmux.checking._managed_group import ManagedGroup
from shallotmux.checking._managed_plan import managed_plan
from shallotmux.checking._shrinking import format_trace, shrink
from shallotmux.checking._simulated_group import Action, SimulatedGroup, SimulatedGroupOptions, Step
from shallotmux.checking._specifications import (
    claim_ledger,
    compare_and_set_register,
    fencing_register,
)
from shallotmux.checking._violations import InvariantViolation

__all__ = (
    'FAILING_LEADERS_PROFILE',
    'LEASE_PROFILE',
    'UNFENCED_PLAN',
    'Action',
    'Failure',
    'History',
    'InvariantViolation',
    'ManagedGroup',
    'Operation',
    'Plan',
    'Profile',
    'Report',
    'SimulatedGroup',
    'SimulatedGroupOptions',
    'Step',
    'claim_ledger',
    'compare_and_set_register',
    'explore',
    'explore_schedule',
    'fencing_register',
    'format_trace',
    'is_linearizable',
    'managed_plan',
    'replay',
    'shrink',
)
