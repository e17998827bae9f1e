"""The control and entry programs of a deployment on a platform."""

from __future__ import annotations

from shallotmux.programs._control import ControlAdapter, ControlProgram, run_control
from shallotmux.programs._entry import EntryAdapter, EntryProgram
from shallotmux.programs._failures import log_fatal_errors
from shallotmux.programs._lifecycle import LoadSettings, ProgramLifecycle
from shallotmux.programs._log_lines import write_log_lines
from shallotmux.programs._settings import (
    ListenAddresses,
    ProgramRole,
    ProgramSettings,
    ProgramTimes,
)
from shallotmux.programs._start import read_when_complete

__all__ = (
    'ControlAdapter',
    'ControlProgram',
    'EntryAdapter',
    'EntryProgram',
    'ListenAddresses',
    'LoadSettings',
    'ProgramLifecycle',
    'ProgramRole',
    'ProgramSettings',
    'ProgramTimes',
    'log_fatal_errors',
    'read_when_complete',
    'run_control',
    'write_log_lines',
)
