"""The two programs of a deployment on a platform."""

from __future__ import annotations

from shallotmux.programs._control import ControlBorder, ControlProgram, run_control
from shallotmux.programs._entry import EntryBorder, EntryProgram
from shallotmux.programs._lifecycle import LoadSettings
from shallotmux.programs._lines import write_lines
from shallotmux.programs._settings import (
    ListenAddresses,
    ProgramRole,
    ProgramSettings,
    ProgramTimes,
)

__all__ = (
    'ControlBorder',
    'ControlProgram',
    'EntryBorder',
    'EntryProgram',
    'ListenAddresses',
    'LoadSettings',
    'ProgramRole',
    'ProgramSettings',
    'ProgramTimes',
    'run_control',
    'write_lines',
)
