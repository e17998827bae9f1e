"""Check the payloads of commands before they enter a log."""

from __future__ import annotations

from shallotmux.authority._codec import find_missing_field
from shallotmux.authority._state import Command, decode_command
from shallotmux.decoding import DECODE_ERRORS
from shallotmux.transport import ForwardAnswer, Refusal

#: Errors of decoding a command of another program version, or what is none.
COMMAND_ERRORS = (*DECODE_ERRORS, KeyError, TypeError, AttributeError)


def parse_command(payload: bytes) -> Command | ForwardAnswer:
    """Return the command, or a refusal of what is none: every replica would fail on its entry."""
    try:
        command = decode_command(payload)
    except COMMAND_ERRORS as error:
        return ForwardAnswer(refusal=Refusal.INVALID, detail=repr(error))
    if not isinstance(command, Command):
        return ForwardAnswer(refusal=Refusal.INVALID, detail=f'{type(command)!r} is no command')
    missing = find_missing_field(command)
    if missing:
        return ForwardAnswer(refusal=Refusal.INVALID, detail=f'no {missing}')
    return command
