"""Signals of a process: stop and reload, without a moment in which one has its default action."""

from __future__ import annotations

import math
import signal
from collections.abc import Callable
from contextlib import suppress
from types import FrameType

import trio

__all__ = ('ProcessSignals',)

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_SIGNALS = (*_STOP_SIGNALS, signal.SIGHUP)


class ProcessSignals:
    """Collects the signals of a process, and passes them on once an event loop runs.

    The handlers stay in place after the first stop signal: a further signal would otherwise end the
    process while it finishes its requests.
    """

    def __init__(self) -> None:
        channels = trio.open_memory_channel[int](math.inf)
        self._sender = channels[0]
        self._receiver = channels[1]
        self._token: trio.lowlevel.TrioToken | None = None

    def install(self) -> None:
        """Handle the signals from now on; those that arrive before :meth:`watch` are kept."""
        for number in _SIGNALS:
            signal.signal(number, self._handle)

    def ignore(self) -> None:
        """Ignore the signals for the rest of the process.

        The interpreter resets handlers to the default action while it exits, but not this one.
        """
        for number in _SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    async def watch(
        self,
        on_stop: Callable[[int], None],
        on_reload: Callable[[], None],
    ) -> None:
        """Call back on each signal until cancelled.

        :param on_stop: called with the number of each stop signal; there may be several.
        """
        self._token = trio.lowlevel.current_trio_token()
        async for number in self._receiver:
            if number in _STOP_SIGNALS:
                on_stop(number)
            else:
                on_reload()

    def _handle(self, number: int, _frame: FrameType | None) -> None:
        if self._token is None:
            self._sender.send_nowait(number)
            return
        with suppress(trio.RunFinishedError):
            self._token.run_sync_soon(self._sender.send_nowait, number)
