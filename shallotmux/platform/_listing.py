"""Read entries of the platform's list of endpoints."""

from __future__ import annotations

from typing import Any

import msgspec
from eliot import log_message

from shallotmux.addresses import split_address
from shallotmux.errors import ShallotmuxError
from shallotmux.fleet import EngineRole, ListedEndpoint

#: Entries that cannot be read and were logged; the oldest are forgotten.
MAX_LOGGED = 256

#: Roles by the platform's word; workers without a stage do all of their work.
ROLES = {'prefill': EngineRole.PREFILL, 'decode': EngineRole.DECODE}

#: States by the platform's word, with whether the worker is leaving.
STATES = {'ready': False, 'draining': True}


class _Worker(msgspec.Struct, rename='kebab'):
    id: str
    service: str
    address: str
    zone: str
    state: str
    slots: int = 0
    stage: str = ''
    spot: bool = False
    cold_remaining_ms: float = 0.0
    # Unix time of the start in milliseconds; it changes when a worker starts again under its id.
    born: int = 0


class ListPage(msgspec.Struct, rename='kebab'):
    """One page of the list; entries are read one by one, as some may be unreadable.

    :param next_token: names the following page; None on the last one.
    """

    instances: list[Any]
    next_token: str | None = None


class EntryReader:
    """Reads entries and logs each unreadable one once."""

    def __init__(self) -> None:
        self._logged: dict[str, None] = {}

    def read_page(self, content: bytes) -> tuple[tuple[ListedEndpoint, ...], str | None]:
        """Return the readable entries of a page, and the token of the next one.

        :raises ShallotmuxError: if the page as a whole cannot be read.
        """
        try:
            page = msgspec.json.decode(content, type=ListPage)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise ShallotmuxError(f'unreadable list: {error}', step='list') from error
        found = (self._read_entry(each) for each in page.instances)
        return tuple(each for each in found if each is not None), page.next_token

    def _read_entry(self, entry: Any) -> ListedEndpoint | None:
        try:
            worker = msgspec.convert(entry, _Worker)
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
        )

    def _log_once(self, entry: Any, error: Exception) -> None:
        text = repr(entry)[:200]
        if text in self._logged:
            return
        self._logged[text] = None
        if len(self._logged) > MAX_LOGGED:
            self._logged.pop(next(iter(self._logged)))
        log_message(message_type='shallotmux:entry-unreadable', entry=text, reason=str(error))
