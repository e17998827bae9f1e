"""Jobs for tests of single attempts."""

from __future__ import annotations

import trio

from shallotmux.forwarding import CallerRequest, Headers, Job, Reply
from tests.forwarding._stage import ROUTES


class RecordedReply:
    """A reply that keeps what it is given."""

    def __init__(self) -> None:
        self.is_started = False
        self.parts: list[bytes] = []

    async def send_head(self, status: int, headers: Headers) -> None:
        """Take the head."""
        self.is_started = True

    async def send_part(self, content: bytes) -> None:
        """Take a part."""
        self.parts.append(content)

    async def finish(self) -> None:
        """Take the end."""

    def abort(self) -> None:
        """Take the abort."""


def make_job(reply: Reply) -> Job:
    """Return a job of the resumable route."""
    request = CallerRequest(
        b'POST', b'/resume/', ((b'x-request-id', b'r-1'),), b'', trio.current_time()
    )
    route = next(each for each in ROUTES if each.name == 'resume')
    return Job(request, reply, route, 'desk', b'r-1', trio.current_time() + 5)
