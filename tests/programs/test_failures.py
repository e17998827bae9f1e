"""Tests of the log lines for errors that end a task or the process."""

from __future__ import annotations

from typing import Any

import pytest
from eliot import add_destinations, remove_destination

from shallotmux.programs import log_fatal_errors
from shallotmux.programs._failures import MAX_LOGGED_ERRORS, MAX_MESSAGE_CHARACTERS

KIND = 'shallotmux:process-failed'


def read_lines(error: Exception) -> list[dict[str, Any]]:
    """Return the log lines that an error leaves which ends the process."""
    lines: list[dict[str, Any]] = []
    add_destinations(lines.append)
    try:
        with pytest.raises(type(error)), log_fatal_errors():
            raise error
    finally:
        remove_destination(lines.append)
    return [each for each in lines if each['message_type'] == KIND]


def test_each_error_of_nested_groups_has_a_line() -> None:
    """Guards against a log line that names a group of errors and not what caused it."""
    inner = ExceptionGroup('inner', [OverflowError('too large'), ValueError('odd')])
    lines = read_lines(ExceptionGroup('outer', [inner, RecursionError('too deep')]))
    assert [each['error_type'] for each in lines] == [
        'OverflowError',
        'ValueError',
        'RecursionError',
    ]


def test_line_names_the_innermost_place() -> None:
    """Guards against a log line that cannot be traced to the code at fault."""
    line = read_lines(ValueError('odd'))[0]
    assert 'test_failures.py' in line['place']
    assert line['place'].endswith('read_lines')


def test_lines_are_bounded() -> None:
    """Guards against log lines as large as the content that caused the error."""
    lines = read_lines(ExceptionGroup('many', [ValueError('x' * 10_000) for _ in range(100)]))
    assert len(lines) == MAX_LOGGED_ERRORS
    assert all(len(each['error']) == MAX_MESSAGE_CHARACTERS for each in lines)
