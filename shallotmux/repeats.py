"""Log lines about events that may repeat many times a second."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

import trio
from eliot import log_message

#: Interval between two lines about one cause, in seconds.
REPEAT_INTERVAL_S = 10.0

#: Causes that are counted; the one that was seen least recently is forgotten first.
MAX_CAUSES = 64


@dataclass(slots=True)
class _Occurrences:
    """Occurrences of one cause.

    :param logged_at: time of the last line.
    :param count: occurrences since the first line.
    """

    logged_at: float
    count: int = 1


class RepeatLog:
    """Writes a line when a cause is first seen, and one with a count at intervals while it repeats.

    :param message_type: type of the lines.
    """

    def __init__(self, message_type: str) -> None:
        self._message_type = message_type
        self._causes: OrderedDict[str, _Occurrences] = OrderedDict()

    def record(self, cause: str, **fields: Any) -> None:
        """Count an occurrence of a cause, and write a line if one is due."""
        now = trio.current_time()
        known = self._causes.get(cause)
        if known is None:
            self._causes[cause] = _Occurrences(now)
            if len(self._causes) > MAX_CAUSES:
                self._causes.popitem(last=False)
            self._write(cause, 1, fields)
            return
        self._causes.move_to_end(cause)
        known.count += 1
        if now - known.logged_at >= REPEAT_INTERVAL_S:
            known.logged_at = now
            self._write(cause, known.count, fields)

    def forget(self) -> None:
        """Forget all causes, so that the next occurrence of each is logged at once."""
        self._causes.clear()

    def _write(self, cause: str, count: int, fields: dict[str, Any]) -> None:
        log_message(message_type=self._message_type, reason=cause, count=count, **fields)
