"""Client of the platform's list of endpoints."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from urllib.parse import quote

import httpcore
import trio

from shallotmux.calls import read_bounded
from shallotmux.errors import ShallotmuxError
from shallotmux.fleet import ListedEndpoint, Listing
from shallotmux.platform._listing import ParsedPage, RefusalLog, parse_page

#: Timeout of each phase of a call: connect, read, write and acquiring a connection.
CALL_TIMEOUT_S = 1.0

#: Time in which a page must be complete, and its largest size. A page of the largest deployments has
#: some hundred kilobytes.
PAGE_TIMEOUT_S = 2.0
MAX_PAGE_BYTES = 4 << 20

#: Size from which a page is parsed beside the event loop. Smaller ones take a few milliseconds at most.
LARGE_PAGE_BYTES = 65_536

#: Pages that are remembered with what was parsed from them. Most pages are the same in many polls.
MAX_REMEMBERED_PAGES = 16

#: Number of pages beyond which a list is invalid, so that a repeating token cannot loop forever.
MAX_PAGES = 1000

#: Idle time after which a connection is not reused.
KEEP_ALIVE_S = 2.0

#: Errors of a call without a response; its outcome is unknown.
NO_RESPONSE_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
    trio.TooSlowError,
)


@dataclass(frozen=True, slots=True)
class _Page:
    """Status and content of a response."""

    status: int
    content: bytes


class ListClient:
    """Lists endpoints through the platform's API.

    :param address: IP address and port of the platform.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=4, max_keepalive_connections=2, keepalive_expiry=KEEP_ALIVE_S
        )
        self._refusals = RefusalLog()
        self._parsed: dict[bytes, ParsedPage] = {}

    async def list_endpoints(self) -> Listing:
        """Return all pages of the list of endpoints.

        :raises ShallotmuxError: if there is no valid response.
        """
        endpoints: list[ListedEndpoint] = []
        token: str | None = ''
        for _ in range(MAX_PAGES):
            query = f'?page-token={quote(token, safe="")}' if token else ''
            response = await self._get(f'http://{self._address}/instances{query}')
            if response.status != 200:
                raise ShallotmuxError(f'status {response.status}', step='list', peer=self._address)
            page = await self._parse(response.content)
            self._refusals.write(page.refused)
            endpoints.extend(page.endpoints)
            token = page.next_token
            if not token:
                return Listing(tuple(endpoints))
        raise ShallotmuxError('the list has too many pages', step='list', peer=self._address)

    async def _parse(self, content: bytes) -> ParsedPage:
        """Parse a page, unless one of the last ones was the same.

        A large page is parsed in a thread, as an odd one of the largest size takes several seconds.
        """
        key = blake2b(content).digest()
        page = self._parsed.pop(key, None)
        if page is None and len(content) < LARGE_PAGE_BYTES:
            page = parse_page(content)
        elif page is None:
            page = await trio.to_thread.run_sync(parse_page, content, abandon_on_cancel=True)
        self._parsed[key] = page
        if len(self._parsed) > MAX_REMEMBERED_PAGES:
            self._parsed.pop(next(iter(self._parsed)))
        return page

    async def _get(self, url: str) -> _Page:
        limits = dict.fromkeys(('connect', 'read', 'write', 'pool'), CALL_TIMEOUT_S)
        try:
            with trio.fail_after(PAGE_TIMEOUT_S):
                async with self._pool.stream(
                    'GET', url, extensions={'timeout': limits}
                ) as response:
                    content = await read_bounded(response, MAX_PAGE_BYTES, self._address)
                    return _Page(response.status, content)
        except NO_RESPONSE_ERRORS as error:
            raise ShallotmuxError(repr(error), step=f'GET {url}', peer=self._address) from error
