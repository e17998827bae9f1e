"""Write log messages, one line of JSON each."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TextIO

import msgspec
from eliot import add_destinations, remove_destination

from shallotmux.errors import SettingsError
from shallotmux.observability._redaction import redact_fields, redact_line

#: Levels from the most to the least verbose; ``off`` silences a section.
LEVELS: Mapping[str, int] = {'debug': 10, 'info': 20, 'warning': 30, 'error': 40, 'off': 100}

_PREFIX = 'shallotmux:'


@dataclass(frozen=True, slots=True)
class LogWriter:
    """Destination of log messages.

    A message belongs to the section that follows ``shallotmux:`` in its type. Its level is the
    field ``level``, by default ``info``; failed actions count as errors.

    :param write: writes one line.
    :param level: minimum level of messages in other sections.
    :param sections: minimum levels by section; the longest matching name applies.
    :param on_redaction: called with the number of secrets and prompts removed from a message.
    """

    write: Callable[[str], object]
    level: str = 'info'
    sections: Mapping[str, str] = field(default_factory=dict)
    on_redaction: Callable[[int], object] = int

    def __call__(self, message: dict[str, Any]) -> None:
        """Write a message if its level reaches the threshold of its section."""
        section = str(message.get('message_type') or message.get('action_type') or '')
        if LEVELS[_message_level(message)] < self._level_threshold(section.removeprefix(_PREFIX)):
            return
        redacted, removed_fields = redact_fields(message)
        line, removed_secrets = redact_line(_encode(redacted))
        if removed_fields or removed_secrets:
            self.on_redaction(removed_fields + removed_secrets)
        self.write(f'{line}\n')

    def _level_threshold(self, section: str) -> int:
        while section:
            level = self.sections.get(section)
            if level is not None:
                return LEVELS[level]
            section = section.rpartition(':')[0]
        return LEVELS[self.level]


@contextmanager
def write_logs(
    destination: str,
    level: str,
    sections: Mapping[str, str],
    on_redaction: Callable[[int], object] = int,
) -> Iterator[None]:
    """Write log messages to a file, or to standard output when ``destination`` is empty.

    :raises SettingsError: if the file cannot be opened.
    """
    file = _open_file(destination) if destination else sys.stdout

    def write(line: str) -> None:
        file.write(line)
        file.flush()

    writer = LogWriter(write, level, sections, on_redaction)
    add_destinations(writer)
    try:
        yield
    finally:
        remove_destination(writer)
        if destination:
            file.close()


def _open_file(destination: str) -> TextIO:
    try:
        return Path(destination).open('a', encoding='utf-8')
    except OSError as error:
        raise SettingsError(f'{destination}: {error.strerror}', step='logging') from error


def _message_level(message: Mapping[str, Any]) -> str:
    if message.get('action_status') == 'failed':
        return 'error'
    level = message.get('level', 'info')
    return level if level in LEVELS else 'info'


def _encode(message: object) -> str:
    return msgspec.json.encode(message, enc_hook=repr).decode()
