"""Tests of log lines and of the redaction of secrets and prompts."""

from __future__ import annotations

import base64
import json
from pathlib import Path
from typing import Any
from urllib.parse import quote

import pytest
from eliot import log_message

from shallotmux.errors import SettingsError
from shallotmux.observability import LogWriter, write_logs

SECRET = 'sk-shallot-k11EzUDFlSNvoqkBGiDjfT9aS_rAhzck'  # noqa: S105


def format_message(message: dict[str, Any], **options: Any) -> str:
    """Return the line that a writer writes for a message, or an empty string."""
    lines: list[str] = []
    LogWriter(lines.append, **options)(message)
    return ''.join(lines)


def percent_encode_all(text: str) -> str:
    """Return a text with all bytes percent-encoded."""
    return ''.join(f'%{byte:02x}' for byte in text.encode())


@pytest.mark.parametrize(
    'form',
    [
        SECRET,
        f'Bearer {SECRET}',
        quote(SECRET, safe='').replace('-', '%2D'),
        *(base64.b64encode(b'x' * shift + SECRET.encode()).decode() for shift in range(3)),
    ],
)
def test_secret_is_removed(form: str) -> None:
    """Guards against a key in a log line, in plain or encoded form."""
    counts: list[int] = []
    message = {
        'message_type': 'shallotmux:x',
        'problem': f'a {form} b',
        'inner': [{'y': form}],
    }
    line = format_message(message, on_redaction=counts.append)
    assert form not in line
    assert SECRET[11:] not in line
    assert counts == [2]


def test_prompt_fields_are_removed() -> None:
    """Guards against a prompt in a log line."""
    line = format_message(
        {'message_type': 'shallotmux:x', 'request': {'prompt': 'pattern sheet 4'}}
    )
    assert 'pattern sheet' not in line


@pytest.mark.parametrize(
    ('message', 'written'),
    [
        ({'message_type': 'shallotmux:decision:routing'}, True),
        ({'message_type': 'shallotmux:decision:routing', 'level': 'debug'}, False),
        ({'message_type': 'shallotmux:tls:reload'}, False),
        ({'message_type': 'shallotmux:tls:reload', 'level': 'error'}, True),
        ({'message_type': 'shallotmux:usage', 'level': 'error'}, False),
        ({'action_type': 'shallotmux:other', 'action_status': 'failed'}, True),
    ],
)
def test_levels_by_section(message: dict[str, Any], written: bool) -> None:
    """Guards against a section level that has no effect."""
    sections = {'decision': 'info', 'tls': 'warning', 'usage': 'off'}
    assert bool(format_message(message, level='error', sections=sections)) is written


def test_file_holds_one_json_object_per_line(tmp_path: Path) -> None:
    """Guards against log lines that a collector cannot parse."""
    path = tmp_path / 'log'
    with write_logs(str(path), 'info', {}):
        log_message(message_type='shallotmux:x', text='one\ntwo', odd=object())
        log_message(message_type='shallotmux:y')
    # eliot buffers messages logged by earlier tests and passes them to the first destination.
    lines = path.read_text().splitlines()[-2:]
    kinds = [json.loads(line)['message_type'] for line in lines]
    assert kinds == ['shallotmux:x', 'shallotmux:y']


def test_unwritable_file_is_named(tmp_path: Path) -> None:
    """Guards against an instance that starts without being able to log."""
    with (
        pytest.raises(SettingsError, match='absent'),
        write_logs(str(tmp_path / 'absent/l'), 'info', {}),
    ):
        raise AssertionError('the file was opened')
