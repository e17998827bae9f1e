"""A sender that pauses, as a paused process does."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from shallotmux.errors import EndpointError
from shallotmux.http import HttpRequest
from shallotmux.orders import ClientSender, LeaseGuard
from shallotmux.standins import MemoryNetwork


@dataclass
class Gate:
    """Sender that pauses an instance at a step of its first order or report."""

    network: MemoryNetwork
    name: str
    step: str = ''
    released: trio.Event = field(default_factory=trio.Event)
    reached: trio.Event = field(default_factory=trio.Event)

    async def send(self, request: HttpRequest, guard: LeaseGuard) -> tuple[int, bytes]:
        """Send through the network, pausing before or after the write."""
        # A process that was paused goes on where it stopped, before a cancellation reaches it.
        with trio.CancelScope(shield=bool(self.step)):
            if self.step == 'before-write':
                await self._pause()
            sender = ClientSender(self.network.client(self.name))
            answer = await sender.send(request, guard)
            if self.step == 'after-write':
                await self._pause()
                raise EndpointError('the answer is lost', step='send', peer=request.address)
        return answer

    async def _pause(self) -> None:
        self.step = ''
        self.reached.set()
        await self.released.wait()
