"""Read the sockets of many streamed answers in one task."""

from __future__ import annotations

import select
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Protocol, runtime_checkable

import trio

from shallotmux.http._client import HttpResponse

#: Seconds for which bytes are gathered; with the writes, a token must not wait longer than 5 ms.
GATHER_S = 0.004

#: Takes bytes of a body, and tells whether to go on.
Accept = Callable[[bytes], bool]


@runtime_checkable
class BodyRelay(Protocol):
    """A body that is passed to a function as it arrives."""

    async def relay(self, accept: Accept, *, gather: bool) -> bool:
        """Pass on the body until the function returns False.

        :param gather: whether bytes may wait for at most ``GATHER_S``.
        :returns: whether more of the body may follow.
        :raises EndpointError: if the connection breaks before the end.
        """


class IteratorRelay:
    """Passes on a body that is read by iteration."""

    def __init__(self, chunks: AsyncIterator[bytes]) -> None:
        self._chunks = chunks

    async def relay(self, accept: Accept, *, gather: bool) -> bool:
        """Pass on the body until the function returns False; nothing is gathered."""
        async for chunk in self._chunks:
            if not accept(chunk):
                return True
        return False


def open_relay(response: HttpResponse) -> BodyRelay:
    """Return the cheapest way to pass on the body of an answer."""
    return response if isinstance(response, BodyRelay) else IteratorRelay(response.chunks())


@dataclass(slots=True, eq=False)
class _Reader:
    step: Callable[[], bool]
    ended: trio.Event = field(default_factory=trio.Event)
    error: Exception | None = None


class ReadPump:
    """Calls functions whose descriptors are readable, without waking a task for each of them.

    While :meth:`run` does not run, ``running`` is false and :meth:`watch` returns at once.
    """

    def __init__(self) -> None:
        self._readers: dict[int, _Reader] = {}
        self._poller: select.epoll | None = None

    @property
    def running(self) -> bool:
        """Tell whether :meth:`watch` can be used."""
        return self._poller is not None

    async def run(self) -> None:
        """Serve the descriptors until cancelled."""
        with select.epoll() as poller:
            self._poller = poller
            try:
                await self._serve_all(poller)
            finally:
                self._poller = None
                for reader in self._readers.values():
                    reader.ended.set()

    async def watch(self, descriptor: int, step: Callable[[], bool]) -> None:
        """Call a function when the descriptor is readable, until it returns False or raises."""
        if self._poller is None:
            return
        reader = _Reader(step)
        self._readers[descriptor] = reader
        self._poller.register(descriptor, select.EPOLLIN)
        try:
            await reader.ended.wait()
        finally:
            self._remove(descriptor, reader)
        if reader.error is not None:
            raise reader.error

    async def _serve_all(self, poller: select.epoll) -> None:
        while True:
            await trio.lowlevel.wait_readable(poller.fileno())
            while self._serve(poller):
                await trio.sleep(GATHER_S)

    def _serve(self, poller: select.epoll) -> bool:
        """Call the functions of the readable descriptors and tell whether there were any."""
        ready = poller.poll(0)
        for descriptor, _ in ready:
            reader = self._readers[descriptor]
            try:
                going = reader.step()
            except Exception as error:
                # Raised in the task that waits; the other streams go on.
                reader.error = error
                going = False
            if not going:
                self._remove(descriptor, reader)
                reader.ended.set()
        return bool(ready)

    def _remove(self, descriptor: int, reader: _Reader) -> None:
        if self._readers.get(descriptor) is reader:
            self._readers.pop(descriptor)
            if self._poller is not None:
                self._poller.unregister(descriptor)
