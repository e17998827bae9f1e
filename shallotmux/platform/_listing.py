"""Parse the platform's list of endpoints."""

from __future__ import annotations

import re
from collections.abc import Iterator

import msgspec
from eliot import log_message

from shallotmux.addresses import split_address
from shallotmux.errors import ShallotmuxError
from shallotmux.fleet import EngineRole, ListedEndpoint

#: Invalid entries that are remembered to be logged only once; the oldest are evicted.
MAX_LOGGED_ENTRIES = 256

#: Roles by the platform's name of the stage; workers without a stage both prefill and decode.
ROLES = {'prefill': EngineRole.PREFILL, 'decode': EngineRole.DECODE}

#: Whether a worker is draining, by the platform's name of its state.
STATES = {'ready': False, 'draining': True}


#: Objects without an end that are passed over in a page. The search for each end reads the whole page.
MAX_UNENDED_OBJECTS = 64


class _Worker(msgspec.Struct, rename='kebab'):
    # Fields without a default are in every entry; one that lacks them comes from another writer.
    id: str
    service: str
    address: str
    zone: str
    state: str
    slots: int
    cold_remaining_ms: float
    # Version of the worker's software; the versions of its model weights are listed by model.
    version: str
    stage: str = ''
    spot: bool = False
    # Unix time of the start in milliseconds; it changes when a worker restarts under the same id.
    born: int = 0


class ListPage(msgspec.Struct, rename='kebab'):
    """One page of the list; entries are decoded one by one, as some may be invalid.

    :param next_token: token of the next page; None on the last page.
    """

    instances: list[msgspec.Raw]
    next_token: str | None = None


class ListingParser:
    """Parses pages of the list, and logs each invalid entry once."""

    def __init__(self) -> None:
        self._logged: dict[str, None] = {}

    def parse_page(self, content: bytes) -> tuple[tuple[ListedEndpoint, ...], str | None]:
        """Return the valid entries of a page, and the token of the next page.

        :raises ShallotmuxError: if the page is not valid JSON or lacks the list.
        """
        try:
            page = _decode_page(content)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise ShallotmuxError(f'invalid list: {error}', step='list') from error
        parsed = (self._parse_entry(each) for each in page.instances)
        return tuple(each for each in parsed if each is not None), page.next_token

    def _parse_entry(self, entry: msgspec.Raw) -> ListedEndpoint | None:
        try:
            worker = msgspec.json.decode(entry, type=_Worker)
            if not split_address(worker.address).port:
                raise ValueError(f'address {worker.address!r} has no port')
            is_leaving = STATES[worker.state]
        except (msgspec.MsgspecError, ValueError, KeyError) as error:
            self._log_once(entry, error)
            return None
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

    def _log_once(self, entry: msgspec.Raw, error: Exception) -> None:
        text = repr(bytes(entry)[:200])
        if text in self._logged:
            return
        self._logged[text] = None
        if len(self._logged) > MAX_LOGGED_ENTRIES:
            self._logged.pop(next(iter(self._logged)))
        log_message(message_type='shallotmux:entry-unreadable', entry=text, reason=str(error))


#: Start of the entries of a page, the token of the next page, and what decides how objects nest.
_ENTRIES_START = re.compile(rb'"instances"\s*:\s*\[')
_NEXT_TOKEN = re.compile(rb'"next-token"\s*:\s*("(?:[^"\\]|\\.)*"|null)')
_STRING_OR_BRACE = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}]', re.DOTALL)


def _decode_page(content: bytes) -> ListPage:
    """Decode a page, or what can be read of one in which an entry breaks the structure.

    :raises msgspec.MsgspecError: if the list or the token of the next page cannot be found.
    """
    try:
        return msgspec.json.decode(content, type=ListPage)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        start = _ENTRIES_START.search(content)
        tokens = _NEXT_TOKEN.findall(content)
        if start is None or not tokens:
            raise
        token = msgspec.json.decode(tokens[-1], type=str | None)
        return ListPage([msgspec.Raw(each) for each in _find_objects(content, start.end())], token)


def _find_objects(content: bytes, position: int) -> Iterator[bytes]:
    """Yield the outermost objects from a position on; an object without an end is passed over.

    :raises msgspec.DecodeError: if more than :data:`MAX_UNENDED_OBJECTS` have no end.
    """
    unended = 0
    start = content.find(b'{', position)
    while start != -1:
        end = _find_end(content, start)
        unended += end is None
        if unended > MAX_UNENDED_OBJECTS:
            raise msgspec.DecodeError('too many objects have no end')
        if end is not None:
            yield content[start:end]
        start = content.find(b'{', start + 1 if end is None else end)


def _find_end(content: bytes, start: int) -> int | None:
    """Return the position after the object that begins at a position, or None if it has no end."""
    depth = 0
    # The last brace is that of the page, not of an entry.
    for found in _STRING_OR_BRACE.finditer(content, start, content.rfind(b'}')):
        depth += {b'{': 1, b'}': -1}.get(found.group(), 0)
        if not depth:
            return found.end()
    return None
