"""Jobs and a reply for tests of single attempts."""

from __future__ import annotations

import trio

from shallotmux.forwarding import CallerRequest, Headers, Job, Reply
from tests.forwarding._harness import ROUTES


class RecordingReply:
    """A reply that records the parts it is sent."""

    def __init__(self) -> None:
        self.is_started = False
        self.parts: list[bytes] = []

    async def send_head(self, status: int, headers: Headers) -> None:
        """Record that the head was sent."""
        self.is_started = True

    async def send_part(self, content: bytes) -> None:
        """Record a part."""
        self.parts.append(content)

    async def finish(self) -> None:
        """Ignore the end."""

    def abort(self) -> None:
        """Ignore the abort."""


def make_job(reply: Reply) -> Job:
    """Return a job of the resumable route."""
    request = CallerRequest(
        b'POST', b'/resume/', ((b'x-request-id', b'r-1'),), b'', trio.current_time()
    )
    route = next(each for each in ROUTES if each.name == 'resume')
    return Job(request, reply, route, 'desk', b'r-1', trio.current_time() + 5)
