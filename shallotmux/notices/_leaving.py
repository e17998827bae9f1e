"""Endpoints that said in an answer that they leave."""

from __future__ import annotations

from collections import OrderedDict

#: Time after the notice for which a stream that is open may still be resumed at the endpoint, if no
#: other one has its version. An endpoint serves for some seconds after its notice.
LEAVING_RESUME_S = 2.0

#: Maximum number of starts of endpoints that are remembered as leaving.
MAX_STARTS = 4096


def says_leaving(text: bytes | None) -> bool:
    """Return whether a header says that the endpoint leaves."""
    return text is not None and text.strip() not in {b'', b'0'}


class LeavingRecords:
    """Starts of endpoints that leave. An endpoint does not take that back."""

    def __init__(self) -> None:
        self._since: OrderedDict[int, float] = OrderedDict()

    def add(self, start: int, now: float) -> bool:
        """Record that a start leaves, and return whether that is new."""
        if start in self._since:
            return False
        self._since[start] = now
        if len(self._since) > MAX_STARTS:
            self._since.popitem(last=False)
        return True

    def __contains__(self, start: int) -> bool:
        """Return whether a start leaves."""
        return start in self._since

    def may_resume(self, start: int, now: float) -> bool:
        """Return whether an open stream may still be resumed there."""
        since = self._since.get(start)
        return since is not None and now - since < LEAVING_RESUME_S
