"""Capture the log lines that the code under test writes."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from eliot import add_destinations, remove_destination


@contextmanager
def capture_lines(*message_types: str) -> Iterator[list[dict[str, Any]]]:
    """Return the lines of some types that are written in the context."""
    lines: list[dict[str, Any]] = []

    def write(message: dict[str, Any]) -> None:
        if message['message_type'] in message_types:
            lines.append(message)

    add_destinations(write)
    # The first destination also gets what was logged before it was added.
    lines.clear()
    try:
        yield lines
    finally:
        remove_destination(write)
