"""Tests of writing log lines without blocking on a slow reader."""

from __future__ import annotations

import json
import os
from typing import Any

from eliot import add_destinations, log_message, remove_destination

from shallotmux.programs import write_log_lines
from shallotmux.programs._log_lines import MAX_BUFFERED_BYTES


def _ignore(message: dict[str, Any]) -> None:
    """Serve as a destination that keeps nothing."""


def test_lines_are_json_with_their_type() -> None:
    """Guards against log lines that cannot be searched by type."""
    # eliot buffers the messages of earlier tests for its first destination; more of them than a pipe
    # holds would keep the lines of this test from being written.
    add_destinations(_ignore)
    remove_destination(_ignore)
    reader, writer = os.pipe()
    with write_log_lines(writer):
        log_message(message_type='shallotmux:started', role='entry', of_test=True)
        log_message(message_type='shallotmux:detail', level='debug', of_test=True)
    os.close(writer)
    with os.fdopen(reader) as lines:
        written = [json.loads(line) for line in lines]
    read = [line for line in written if line.get('of_test')]
    assert [line['message_type'] for line in read] == ['shallotmux:started']
    assert read[0]['role'] == 'entry'


def test_slow_reader_drops_lines_and_logs_the_count() -> None:
    """Guards against a process that blocks on its log, or whose memory grows without limit."""
    reader, writer = os.pipe()
    with write_log_lines(writer):
        for _ in range(3 * MAX_BUFFERED_BYTES // 1000):
            log_message(message_type='shallotmux:attempt', text='x' * 1000)
        content = b''
        # Each message also flushes the buffer as far as the pipe has room.
        for number in range(64):
            content += _drain(reader)
            log_message(message_type='shallotmux:later', number=number)
        content += _drain(reader)
    os.close(writer)
    os.close(reader)
    types = [json.loads(line)['message_type'] for line in content.splitlines()]
    assert 'shallotmux:lines-dropped' in types
    assert types[-1] == 'shallotmux:later'


def _drain(reader: int) -> bytes:
    os.set_blocking(reader, False)  # noqa: FBT003
    content = b''
    try:
        while True:
            content += os.read(reader, 1 << 16)
    except BlockingIOError:
        return content
