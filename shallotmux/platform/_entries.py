"""Find the entries of a page that is not valid JSON as a whole."""

from __future__ import annotations

import re
from array import array
from collections.abc import Iterator

#: Size below which an object cannot have all fields of an entry.
MIN_ENTRY_BYTES = 64

#: Characters before a brace that are searched for a colon, beyond spaces.
_LOOK_BACK_BYTES = 16

#: An object with at least one field. One inside a string cannot look like that: its quote would end the
#: string. This keeps the search linear, as no text is read again for each brace in it.
_START = re.compile(rb'\{(?=\s*+")')

#: A string up to what follows it, a brace, or a run of brackets. A string without an end, or one before
#: something that cannot follow it, lacks the group "end".
_TOKEN = re.compile(
    rb'"[^"\\]*+(?:\\.[^"\\]*+)*+(?P<end>"\s*+(?:(?P<colon>:\s*+)|(?=[,\]}])))?+'
    rb'|[{}]|\[[\[\s]*+|\][\]\s]*+',
    re.DOTALL,
)

_QUOTE, _OPEN, _CLOSE, _OPEN_LIST = b'"{}['


class EntryFinder:
    """Finds the objects of a list, of which some may be cut, unbalanced or nested without limit.

    Objects inside an object that ends are part of it. If one does not end, or what follows cannot be a
    part of it, it is passed over: the objects in it that are elements of a list are taken for entries
    after it. Each byte is read a fixed number of times, whatever the page contains.

    :param end: position after the list.
    """

    def __init__(self, content: bytes, end: int) -> None:
        self._content = content
        self._end = end
        #: Start of each open object, and the negative number of lists opened at once.
        self._open: array[int] = array('q')
        #: Objects with an end inside of the outermost open one, as start and end.
        self._inner: list[tuple[int, int]] = []
        #: Position after the last entry found.
        self.found_until = 0

    def find(self, position: int) -> Iterator[bytes]:
        """Yield the entries from a position on, in their order."""
        start = self._find_start(position)
        while start != -1:
            self._open.append(start)
            position = self._read_object(start + 1)
            for first, last in self._inner:
                self.found_until = last
                yield self._content[first:last]
            self._inner.clear()
            self._open = array('q')
            start = self._find_start(position)

    def _find_start(self, position: int) -> int:
        """Return the position of the next object that is no field of another one, or -1."""
        for found in _START.finditer(self._content, position, self._end):
            if not self._is_field(found.start()):
                return found.start()
        return -1

    def _is_field(self, start: int) -> bool:
        before = self._content[max(0, start - _LOOK_BACK_BYTES) : start]
        return before.rstrip().endswith(b':')

    def _read_object(self, position: int) -> int:
        """Read until the outermost object ends or is invalid; returns where to search for the next."""
        after_colon = -1
        while self._open:
            token = _TOKEN.search(self._content, position, self._end)
            if token is None:
                return self._end
            start, position = token.span()
            if self._content[start] == _QUOTE:
                if token['end'] is None:
                    # The string may have lacked its end, and have swallowed the start of the next entry.
                    return start + 1
                after_colon = position if token['colon'] else -1
            elif not self._apply(token[0], start, is_field=start == after_colon):
                # An object may stand where only a name can: the open one was cut before it.
                return start if self._content[start] == _OPEN else position
        return position

    def _apply(self, token: bytes, start: int, *, is_field: bool) -> bool:
        """Open or close lists or an object; returns whether that fits what is open."""
        kind = token[0]
        if kind in {_OPEN, _OPEN_LIST}:
            may_open = self._open[-1] < 0 or is_field
            self._open.append(start if kind == _OPEN else -token.count(b'['))
            return may_open
        if kind == _CLOSE:
            return self._close_object(start + 1)
        return self._close_lists(token.count(b']'))

    def _close_lists(self, closed: int) -> bool:
        while closed and self._open[-1] < 0:
            count = min(closed, -self._open[-1])
            closed -= count
            self._open[-1] += count
            if not self._open[-1]:
                self._open.pop()
        return not closed

    def _close_object(self, end: int) -> bool:
        first = self._open[-1]
        if first < 0:
            return False
        self._open.pop()
        while self._inner and self._inner[-1][0] > first:
            self._inner.pop()
        if end - first >= MIN_ENTRY_BYTES and not (self._open and self._is_field(first)):
            self._inner.append((first, end))
        return True
