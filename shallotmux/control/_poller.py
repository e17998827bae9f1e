"""Poll the platform's list of endpoints."""

from __future__ import annotations

from collections.abc import Callable

import trio
from eliot import log_message

from shallotmux.control._platform import PlatformApi
from shallotmux.errors import ShallotmuxError
from shallotmux.fleet import Listing


class ListingPoller:
    """Polls the platform's list of endpoints.

    :param on_listing: called with each list and the local time at which its request began.
    """

    def __init__(
        self,
        platform: PlatformApi,
        on_listing: Callable[[Listing, float], None],
        interval_s: float,
    ) -> None:
        self._platform = platform
        self._on_listing = on_listing
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
            listing = await self._platform.list_endpoints()
        except ShallotmuxError as error:
            if not self._is_lost:
                log_message(message_type='shallotmux:platform-lost', reason=str(error))
            self._is_lost = True
            return
        if self._is_lost:
            log_message(message_type='shallotmux:platform-regained')
        self._is_lost = False
        self._on_listing(listing, began_at)
