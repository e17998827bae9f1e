"""Parse the platform's list of endpoints."""

from __future__ import annotations

import re
import socket
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass
from typing import Annotated

import msgspec
from eliot import log_message

from shallotmux.addresses import split_address
from shallotmux.decoding import DECODE_ERRORS
from shallotmux.errors import ShallotmuxError
from shallotmux.fleet import EngineRole, ListedEndpoint
from shallotmux.platform._entries import EntryFinder

#: Invalid entries that are remembered to be logged only once; the oldest are evicted.
MAX_LOGGED_ENTRIES = 256

#: Invalid entries of one page that are logged.
MAX_LOGGED_OF_PAGE = 16

#: Bytes of an invalid entry that a log line quotes.
MAX_QUOTED_BYTES = 200

#: Roles by the platform's name of the stage; workers without a stage both prefill and decode.
ROLES = {'prefill': EngineRole.PREFILL, 'decode': EngineRole.DECODE}

#: Whether a worker is draining, by the platform's name of its state.
STATES = {'ready': False, 'draining': True}

#: Largest number of slots of a worker. Documents name some dozens.
MAX_SLOTS = 65_536

#: Longest warm-up of a worker. Workers start within seconds.
MAX_COLD_MS = 86_400_000.0

#: Largest number in messages between instances, which hold 64 bits with a sign.
MAX_BORN = (1 << 63) - 1

#: Bytes of a page for each comma, below which its list has too many elements to be entries.
MIN_BYTES_PER_COMMA = 8

#: Longest token of a next page, which becomes part of a URL.
MAX_TOKEN_CHARACTERS = 1024

#: Identity that can be sent in a header, as each request to the worker names it.
_Identity = Annotated[str, msgspec.Meta(pattern=r'\A[!-~]{1,256}\Z')]
_Name = Annotated[str, msgspec.Meta(max_length=256)]


class _Worker(msgspec.Struct, rename='kebab'):
    # Fields without a default are in every entry; one that lacks them comes from another writer. An
    # entry with a number out of range does too, so that it is refused instead of being clamped.
    id: _Identity
    service: _Name
    address: _Name
    zone: _Name
    state: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_MS)]
    # Version of the worker's software; the versions of its model weights are listed by model.
    version: _Name
    stage: str = ''
    spot: bool = False
    # Unix time of the start in milliseconds; it changes when a worker restarts under the same id.
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_BORN)] = 0


class ListPage(msgspec.Struct, rename='kebab'):
    """One page of the list; entries are decoded one by one, as some may be invalid.

    :param next_token: token of the next page; None on the last page.
    """

    instances: list[msgspec.Raw]
    next_token: str | None = None


@dataclass(frozen=True, slots=True)
class RefusedEntry:
    """Entry that names no worker to use.

    :param content: the first bytes of the entry.
    """

    content: bytes
    reason: str


@dataclass(frozen=True, slots=True)
class ParsedPage:
    """The valid entries of a page.

    :param next_token: token of the next page; None on the last page.
    :param refused: the first entries that are not valid, at most :data:`MAX_LOGGED_OF_PAGE`.
    """

    endpoints: tuple[ListedEndpoint, ...]
    next_token: str | None
    refused: tuple[RefusedEntry, ...]


def parse_page(content: bytes) -> ParsedPage:
    """Return the valid entries of a page, and the token of the next page.

    The time that it takes grows linearly with the size of the page, whatever the page contains.

    :raises ShallotmuxError: if the page is not valid JSON or lacks the list.
    """
    endpoints: list[ListedEndpoint] = []
    refused: list[RefusedEntry] = []
    try:
        entries, next_token = _split_page(content)
    except DECODE_ERRORS as error:
        raise ShallotmuxError(f'invalid list: {error}', step='list') from error
    for entry in entries:
        try:
            endpoints.append(_parse_entry(entry))
        except DECODE_ERRORS as invalid:
            if len(refused) < MAX_LOGGED_OF_PAGE:
                quoted = bytes(memoryview(entry)[:MAX_QUOTED_BYTES])
                refused.append(RefusedEntry(quoted, str(invalid)))
    return ParsedPage(tuple(endpoints), next_token, tuple(refused))


class RefusalLog:
    """Logs each invalid entry once."""

    def __init__(self) -> None:
        self._logged: dict[bytes, None] = {}

    def write(self, refused: Iterable[RefusedEntry]) -> None:
        """Write a line for each entry that has none among the latest ones."""
        for each in refused:
            if each.content not in self._logged:
                self._logged[each.content] = None
                log_message(
                    message_type='shallotmux:entry-unreadable',
                    entry=repr(each.content),
                    reason=each.reason,
                )
        while len(self._logged) > MAX_LOGGED_ENTRIES:
            self._logged.pop(next(iter(self._logged)))


def _parse_entry(entry: msgspec.Raw | bytes) -> ListedEndpoint:
    """Return the worker that an entry names.

    :raises ValueError: if it names none, as any of :data:`DECODE_ERRORS`.
    """
    worker = msgspec.json.decode(entry, type=_Worker)
    _check_address(worker.address)
    is_leaving = STATES.get(worker.state)
    if is_leaving is None:
        raise ValueError(f'state {worker.state!r}')
    return ListedEndpoint(
        worker.id,
        worker.service,
        worker.address,
        worker.zone,
        worker.slots,
        is_leaving,
        ROLES.get(worker.stage, EngineRole.MIXED),
        worker.spot,
        worker.cold_remaining_ms / 1000,
        worker.born,
        worker.version,
    )


def _check_address(address: str) -> None:
    """Check that an address is that of a worker: of IPv4, since no names are looked up.

    :raises ValueError: if it is not.
    """
    host, port = split_address(address)
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError as error:
        raise ValueError(f'address {address!r} is not of IPv4') from error
    if not port:
        raise ValueError(f'address {address!r} has no port')


#: Start of the entries of a page, and the token of the next page.
_ENTRIES_START = re.compile(rb'"instances"\s*+:\s*+\[')
_NEXT_TOKEN = re.compile(rb'"next-token"\s*+:\s*+("[^"\\]*+(?:\\.[^"\\]*+)*+"|null)', re.DOTALL)


def _split_page(content: bytes) -> tuple[Iterable[msgspec.Raw | bytes], str | None]:
    """Return the entries of a page, or what can be read of one in which an entry breaks the structure.

    :raises ValueError: if the list or the token of the next page cannot be found, as any of
        :data:`DECODE_ERRORS`.
    """
    if content.count(b',') <= len(content) // MIN_BYTES_PER_COMMA:
        with suppress(*DECODE_ERRORS):
            page = msgspec.json.decode(content, type=ListPage)
            return page.instances, _check_token(page.next_token)
    start = _ENTRIES_START.search(content)
    if start is None:
        raise ValueError('no list of entries')
    # The last brace is that of the page, not of an entry.
    finder = EntryFinder(content, content.rfind(b'}'))
    entries = list(finder.find(start.end()))
    # The page may name the token before or after the list. An entry may name one as well.
    tokens = (
        _NEXT_TOKEN.findall(content, finder.found_until)
        or _NEXT_TOKEN.findall(content, 0, start.start())
        or _NEXT_TOKEN.findall(content)
    )
    if not tokens:
        raise ValueError('no token of the next page')
    return entries, _check_token(msgspec.json.decode(tokens[-1], type=str | None))


def _check_token(token: str | None) -> str | None:
    if token is not None and len(token) > MAX_TOKEN_CHARACTERS:
        raise ValueError('the token of the next page is too long')
    return token
