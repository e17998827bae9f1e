"""Rules for streams that are resumed while several software versions serve."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import trio

from shallotmux.origins import Continuation, OriginClient, StreamOrigins, VersionHistory

#: Service whose versions change.
SERVICE = 'desk'

#: Interval of the polls of an entry instance.
POLL_INTERVAL_S = 0.4

#: A rule's answer that a stream may go on anywhere.
ANY_VERSION = ''


class Rule(Protocol):
    """What one entry instance knows of the beginnings of streams."""

    async def run(self) -> None:
        """Run background tasks until cancelled."""

    def observe(self, versions: frozenset[str], at: float) -> None:
        """Record the versions of a list."""

    def merge(self, history: VersionHistory) -> None:
        """Record what a control instance saw."""

    async def begin(self, key: int, version: str) -> None:
        """Record a beginning; the first event is relayed when this returns."""

    async def find(self, key: int) -> str | None:
        """Return the version at which a stream goes on; None to refuse it."""


#: Calls a control instance: its name, the content, and the timeout.
Call = Callable[[str, bytes, float], Awaitable[bytes]]


class RuleInUse:
    """The rule in use."""

    def __init__(self, call: Call, controls: tuple[str, ...]) -> None:
        self._client = OriginClient(call, lambda: controls)
        self.origins = StreamOrigins(self._client)

    async def run(self) -> None:
        """Run background tasks until cancelled."""
        await self._client.run()

    def observe(self, versions: frozenset[str], at: float) -> None:
        """Record the versions of a list."""
        self.origins.observe({(SERVICE, each) for each in versions}, at)

    def merge(self, history: VersionHistory) -> None:
        """Record what a control instance saw."""
        now = trio.current_time()
        self.origins.history.merge(history.build_report(now), now)

    async def begin(self, key: int, version: str) -> None:
        """Record a beginning."""
        await self.origins.record(key, SERVICE, version, '')

    async def find(self, key: int) -> str | None:
        """Return the version at which a stream goes on."""
        found = await self.origins.find(key, SERVICE)
        return found.version if isinstance(found, Continuation) else None


class ForgetfulRule:
    """Naive rule: nothing is kept, and a stream goes on anywhere."""

    def __init__(self, call: Call, controls: tuple[str, ...]) -> None:
        self.known: dict[int, str] = {}

    async def run(self) -> None:
        """Wait until cancelled."""
        await trio.sleep_forever()

    def observe(self, versions: frozenset[str], at: float) -> None:
        """Ignore a list."""

    def merge(self, history: VersionHistory) -> None:
        """Ignore what others saw."""

    async def begin(self, key: int, version: str) -> None:
        """Ignore a beginning."""

    async def find(self, key: int) -> str | None:
        """Return that a stream may go on anywhere."""
        return ANY_VERSION


class OwnMemoryRule(ForgetfulRule):
    """Naive rule: each instance knows what it began itself, and refuses the rest."""

    async def begin(self, key: int, version: str) -> None:
        """Remember a beginning."""
        self.known[key] = version

    async def find(self, key: int) -> str | None:
        """Return what this instance remembers."""
        return self.known.get(key)


class TrustingMemoryRule(OwnMemoryRule):
    """Naive rule: each instance knows what it began itself; the rest goes on anywhere."""

    async def find(self, key: int) -> str | None:
        """Return what this instance remembers."""
        return self.known.get(key, ANY_VERSION)


class PolledRule(RuleInUse):
    """Rule that tells beginnings with the next poll, and refuses what nobody knows."""

    def __init__(self, call: Call, controls: tuple[str, ...]) -> None:
        super().__init__(call, controls)
        self._untold: list[tuple[int, str]] = []

    async def run(self) -> None:
        """Tell the beginnings at each poll."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._client.run)
            while True:
                await trio.sleep(POLL_INTERVAL_S)
                for key, version in self._untold:
                    nursery.start_soon(self.origins.record, key, SERVICE, version, '')
                self._untold.clear()

    async def begin(self, key: int, version: str) -> None:
        """Remember a beginning until the next poll."""
        self._untold.append((key, version))


class ToldAlwaysRule(RuleInUse):
    """The rule in use, without what follows from the history of versions."""

    def observe(self, versions: frozenset[str], at: float) -> None:
        """Ignore a list."""

    def merge(self, history: VersionHistory) -> None:
        """Ignore what others saw."""
