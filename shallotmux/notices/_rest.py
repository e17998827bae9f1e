"""Time for which an endpoint that turned a request away wants no further one from this instance."""

from __future__ import annotations

import math
from collections import OrderedDict
from contextlib import suppress
from email.utils import parsedate_to_datetime

#: Longest rest that is believed. An endpoint that writes a wrong time must come back without a restart
#: of the instances.
MAX_REST_S = 300.0

#: Maximum number of starts of endpoints whose rest is remembered.
MAX_STARTS = 4096


def parse_rest_s(text: bytes | None, wall_time_s: float) -> float:
    """Return the seconds in a ``Retry-After`` header; 0 if there is none that means something.

    :param text: a number of seconds, which may have a fraction, or a date.
    :param wall_time_s: time since 1970, for dates.
    """
    if text is None:
        return 0.0
    seconds = _parse_number(text)
    if seconds is None:
        seconds = _parse_date(text, wall_time_s)
    return min(max(0.0, seconds), MAX_REST_S)


def _parse_number(text: bytes) -> float | None:
    """Return the number in a header, 0 for one that is no time; None if it is no number."""
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) else 0.0


def _parse_date(text: bytes, wall_time_s: float) -> float:
    """Return the seconds until the date in a header, 0 if it is no date."""
    with suppress(ValueError, OverflowError, TypeError):
        return parsedate_to_datetime(text.decode('latin-1')).timestamp() - wall_time_s
    return 0.0


class RestRecords:
    """Ends of rests, by start of the endpoint, so that a gap in the list does not end a rest."""

    def __init__(self) -> None:
        self._until: OrderedDict[int, float] = OrderedDict()

    def extend(self, start: int, until: float) -> float:
        """Record the end of a rest, and return the latest one that is known."""
        latest = max(until, self.until(start))
        self._until[start] = latest
        self._until.move_to_end(start)
        if len(self._until) > MAX_STARTS:
            self._until.popitem(last=False)
        return latest

    def until(self, start: int) -> float:
        """Return the local time at which a rest ends; minus infinity without one."""
        return self._until.get(start, float('-inf'))
