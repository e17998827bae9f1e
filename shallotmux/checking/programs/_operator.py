"""Operators that change the configuration and read it back, at any control instance."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import trio

from shallotmux.checking.programs._exchange import exchange
from shallotmux.checking.programs._records import Change, Reading, Records
from shallotmux.platform import GET_PATH, PUT_PATH
from shallotmux.platform._samples import (
    encode_document,
    encode_invalid_documents,
    read_document_items,
    read_document_version,
)

#: Time for one call of the operator, and pause before it is repeated.
OPERATOR_TIMEOUT_S = 1.5
OPERATOR_PAUSE_S = 0.1

#: Largest step from one version to the next.
MAX_VERSION_STEP = 3

#: Versions whose routes and keys a configuration holds: its own and those before it.
KEPT_VERSIONS = 3

#: Longest pause between two reads of a control instance.
MAX_READ_PAUSE_S = 0.4

SUCCESS = 200


def added_route(version: int) -> str:
    """Return the route that a version adds."""
    return f'/added-{version}/'


def added_key(version: int) -> str:
    """Return the key that a version adds."""
    return f'key-{version}'


@dataclass(slots=True)
class Operator:
    """Sends changes; several may be in progress at once.

    :param addresses: returns the addresses of the control instances.
    :param versions: versions of the valid changes, in the order in which they were made.
    """

    records: Records
    random: Random
    addresses: Callable[[], list[str]]
    service: str
    version: int = 0
    versions: list[int] = field(default_factory=list)

    async def put(self, padding_routes: int = 0) -> None:
        """Send the next version until it is acknowledged."""
        version = self._next_version()
        self.versions.append(version)
        kept = self.versions[-KEPT_VERSIONS:]
        routes, keys = tuple(map(added_route, kept)), tuple(map(added_key, kept))
        content = encode_document(version, self.service, padding_routes, routes, keys)
        change = self._record(version, content, padding_routes)
        while not await self._send(change, content):
            await trio.sleep(OPERATOR_PAUSE_S)
        self.records.acknowledged = max(self.records.acknowledged, version)

    async def put_again(self, padding_routes: int = 0) -> None:
        """Send a change, and once more after it was acknowledged."""
        await self.put(padding_routes)
        change = max(self._acknowledged(), key=lambda each: each.version)
        kept = [each for each in self.versions if each <= change.version][-KEPT_VERSIONS:]
        routes, keys = tuple(map(added_route, kept)), tuple(map(added_key, kept))
        if frozenset((*routes, *keys)) <= change.items:
            await self._send(change, encode_document(change.version, self.service, 0, routes, keys))

    async def put_conflicting(self) -> None:
        """Send other content under the highest version that was acknowledged."""
        version = max((each.version for each in self._acknowledged()), default=0)
        if version:
            content = encode_document(version, self.service, 0, (f'/other-{version}/',))
            change = self._record(version, content, is_conflicting=True)
            await self._send(change, content)

    async def put_invalid(self) -> None:
        """Send configurations that have to be refused, one after another."""
        version = self._next_version()
        route = added_route(version)
        for content in encode_invalid_documents(version, self.service, route):
            now = trio.current_time()
            change = Change(version, frozenset((route,)), now, is_valid=False)
            self.records.changes.append(change)
            await self._send(change, content)

    async def read_back(self, timeout_s: float) -> None:
        """Read the configuration until the acknowledged version is found, or the time is over."""
        with trio.move_on_after(timeout_s):
            while self.records.read_back < self.records.acknowledged:
                reading = await self._read(self.random.choice(self.addresses()))
                if reading is not None:
                    self.records.read_back = max(self.records.read_back, reading.version)
                await trio.sleep(OPERATOR_PAUSE_S)

    async def read_repeatedly(self) -> None:
        """Read the configuration at each control instance until cancelled."""
        while True:
            await trio.sleep(self.random.uniform(0, MAX_READ_PAUSE_S))
            await self._read(self.random.choice(self.addresses()))

    async def read_until(self, address: str, version: int) -> None:
        """Read the configuration at one control instance until a version is found."""
        while True:
            reading = await self._read(address)
            if reading is not None and reading.version == version:
                return
            await trio.sleep(OPERATOR_PAUSE_S)

    def _acknowledged(self) -> list[Change]:
        return [
            each
            for each in self.records.changes
            if each.is_valid and not each.is_conflicting and SUCCESS in each.statuses
        ]

    def _next_version(self) -> int:
        self.version += self.random.randint(1, MAX_VERSION_STEP)
        return self.version

    def _record(
        self, version: int, content: bytes, routes: int = 0, *, is_conflicting: bool = False
    ) -> Change:
        items = read_document_items(content)
        change = Change(version, items, trio.current_time(), routes, is_conflicting=is_conflicting)
        self.records.changes.append(change)
        return change

    async def _send(self, change: Change, content: bytes) -> bool:
        """Send a change once; returns whether it was acknowledged."""
        address = self.random.choice(self.addresses())
        answer = await exchange(address, b'POST', PUT_PATH, content, OPERATOR_TIMEOUT_S)
        if answer is None:
            return False
        change.statuses.append(answer.status)
        if answer.status == SUCCESS:
            change.acknowledged_at = min(change.acknowledged_at, trio.current_time())
        return answer.status == SUCCESS

    async def _read(self, address: str) -> Reading | None:
        sent_at = trio.current_time()
        answer = await exchange(address, b'GET', GET_PATH, b'', OPERATOR_TIMEOUT_S)
        if answer is None or answer.status != SUCCESS:
            return None
        version, items = read_document_version(answer.body), read_document_items(answer.body)
        reading = Reading(address, sent_at, trio.current_time(), version, items)
        self.records.readings.append(reading)
        return reading
