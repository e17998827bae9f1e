"""Tell from connections whether this instance is cut off from endpoints, and when that ends."""

from __future__ import annotations

from shallotmux.reachability._trials import TrialConnector, TrialTarget
from shallotmux.reachability._verdict import Reach, find_cut, may_connect, plan_trials

__all__ = (
    'Reach',
    'TrialConnector',
    'TrialTarget',
    'find_cut',
    'may_connect',
    'plan_trials',
)
