"""Read the platform's list of endpoints."""

from __future__ import annotations

from collections.abc import Callable

import trio
from eliot import log_message

from shallotmux.control._border import PlatformApi
from shallotmux.errors import ShallotmuxError
from shallotmux.fleet import Listing


class ListingPoller:
    """Reads the platform's list repeatedly.

    :param take: is given each list and the local time at which its reading began.
    """

    def __init__(
        self,
        border: PlatformApi,
        take: Callable[[Listing, float], None],
        interval_s: float,
    ) -> None:
        self._border = border
        self._take = take
        self._interval_s = interval_s
        self._is_lost = False

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await trio.sleep(self._interval_s)

    async def poll(self) -> None:
        """Read the list once."""
        began_at = trio.current_time()
        try:
            listing = await self._border.list_endpoints()
        except ShallotmuxError as error:
            if not self._is_lost:
                log_message(message_type='shallotmux:platform-lost', reason=str(error))
            self._is_lost = True
            return
        if self._is_lost:
            log_message(message_type='shallotmux:platform-regained')
        self._is_lost = False
        self._take(listing, began_at)
