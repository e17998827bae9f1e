"""Relays of response bodies, and reading many streamed responses in one task."""

from __future__ import annotations

import select
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Protocol, runtime_checkable

import trio

from shallotmux.http._client import HttpResponse

#: Interval at which received bytes are read together. Including the writes, a token must not be
#: delayed by more than 5 ms.
COALESCE_INTERVAL_S = 0.004

#: Handles bytes of a body, and returns whether to continue.
Accept = Callable[[bytes], bool]


@runtime_checkable
class BodyRelay(Protocol):
    """A response body that is passed to a function as it arrives."""

    async def relay(self, accept: Accept, *, coalesce: bool) -> bool:
        """Pass on the body until the function returns False.

        :param coalesce: whether bytes may be delayed by at most :data:`COALESCE_INTERVAL_S`.
        :returns: whether more of the body may follow.
        :raises EndpointError: if the connection fails before the end of the body.
        """


class IteratorRelay:
    """Relays a body that is read by iteration."""

    def __init__(self, chunks: AsyncIterator[bytes]) -> None:
        self._chunks = chunks

    async def relay(self, accept: Accept, *, coalesce: bool) -> bool:
        """Pass on the body until the function returns False; ``coalesce`` has no effect."""
        async for chunk in self._chunks:
            if not accept(chunk):
                return True
        return False


def open_relay(response: HttpResponse) -> BodyRelay:
    """Return the most efficient relay for the body of a response."""
    return response if isinstance(response, BodyRelay) else IteratorRelay(response.chunks())


@dataclass(slots=True, eq=False)
class _Watch:
    on_readable: Callable[[], bool]
    finished: trio.Event = field(default_factory=trio.Event)
    error: Exception | None = None


class ReadMultiplexer:
    """Calls a function when its descriptor is readable, without waking a task for each descriptor.

    While :meth:`run` is not running, ``running`` is false and :meth:`watch` returns immediately.
    """

    def __init__(self) -> None:
        self._watches: dict[int, _Watch] = {}
        self._poller: select.epoll | None = None

    @property
    def running(self) -> bool:
        """Return whether :meth:`run` is running, so that :meth:`watch` can be used."""
        return self._poller is not None

    async def run(self) -> None:
        """Poll the descriptors until cancelled."""
        with select.epoll() as poller:
            self._poller = poller
            try:
                await self._handle_events(poller)
            finally:
                self._poller = None
                for watch_entry in self._watches.values():
                    watch_entry.finished.set()

    async def watch(self, descriptor: int, on_readable: Callable[[], bool]) -> None:
        """Call a function when the descriptor is readable, until it returns False or raises."""
        if self._poller is None:
            return
        watch_entry = _Watch(on_readable)
        self._watches[descriptor] = watch_entry
        self._poller.register(descriptor, select.EPOLLIN)
        try:
            await watch_entry.finished.wait()
        finally:
            self._remove(descriptor, watch_entry)
        if watch_entry.error is not None:
            raise watch_entry.error

    async def _handle_events(self, poller: select.epoll) -> None:
        while True:
            await trio.lowlevel.wait_readable(poller.fileno())
            while self._handle_ready(poller):
                await trio.sleep(COALESCE_INTERVAL_S)

    def _handle_ready(self, poller: select.epoll) -> bool:
        """Call the functions of the readable descriptors and return whether there were any."""
        ready = poller.poll(0)
        for descriptor, _ in ready:
            watch_entry = self._watches[descriptor]
            try:
                more = watch_entry.on_readable()
            except Exception as error:
                # Raised by ``watch`` in the waiting task, so that the other streams continue.
                watch_entry.error = error
                more = False
            if not more:
                self._remove(descriptor, watch_entry)
                watch_entry.finished.set()
        return bool(ready)

    def _remove(self, descriptor: int, watch_entry: _Watch) -> None:
        if self._watches.get(descriptor) is watch_entry:
            self._watches.pop(descriptor)
            if self._poller is not None:
                self._poller.unregister(descriptor)
