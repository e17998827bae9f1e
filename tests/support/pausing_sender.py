"""Sender of orders that simulates a paused process."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from shallotmux.errors import EndpointError
from shallotmux.http import HttpRequest
from shallotmux.orders import ClientSender, LeaseGuard
from shallotmux.standins import MemoryNetwork


@dataclass
class PausingSender:
    """Pauses an instance once, before or after it writes its first order or report.

    :param pause_point: ``before-write``, ``after-write``, or empty for no pause.
    """

    network: MemoryNetwork
    name: str
    pause_point: str = ''
    resumed: trio.Event = field(default_factory=trio.Event)
    paused: trio.Event = field(default_factory=trio.Event)

    async def send(self, request: HttpRequest, guard: LeaseGuard) -> tuple[int, bytes]:
        """Send through the network, with a pause before or after the write.

        :raises EndpointError: after a pause that follows the write.
        """
        # A paused process continues where it stopped before a cancellation can reach it.
        with trio.CancelScope(shield=bool(self.pause_point)):
            if self.pause_point == 'before-write':
                await self._pause()
            sender = ClientSender(self.network.client(self.name))
            answer = await sender.send(request, guard)
            if self.pause_point == 'after-write':
                await self._pause()
                raise EndpointError('response was lost', step='send', peer=request.address)
        return answer

    async def _pause(self) -> None:
        self.pause_point = ''
        self.paused.set()
        await self.resumed.wait()
