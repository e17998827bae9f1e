"""Checks of a zone of real processes on loopback: three daemons, three engines and a service."""

from __future__ import annotations

from shallotmux.checking.processes._callers import chat_body
from shallotmux.checking.processes._changes import check_configuration, check_keys, check_leader
from shallotmux.checking.processes._ends import check_kill, check_shutdown
from shallotmux.checking.processes._fleet import NAMES, Fleet, start_fleet
from shallotmux.checking.processes._report import Row
from shallotmux.checking.processes._restart import check_restart

__all__ = (
    'NAMES',
    'Fleet',
    'Row',
    'chat_body',
    'check_configuration',
    'check_keys',
    'check_kill',
    'check_leader',
    'check_restart',
    'check_shutdown',
    'start_fleet',
)
