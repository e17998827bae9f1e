"""Signals, changed settings, and the way from the request to stop to the end."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import trio
from eliot import log_message

from shallotmux.errors import SettingsError
from shallotmux.programs._settings import ProgramSettings
from shallotmux.transport import PeerHandler, PeerNetwork

#: Interval at which the settings are read again, since they may change without a signal.
SETTINGS_CHECK_S = 1.0

#: Reads the settings anew.
LoadSettings = Callable[[], ProgramSettings]


class SettingsWatch:
    """Follows the settings; ones that cannot be read are refused and the former stay in force.

    :param apply: is given changed settings.
    """

    def __init__(
        self,
        current: ProgramSettings,
        load: LoadSettings,
        apply: Callable[[ProgramSettings], None],
    ) -> None:
        self._current = current
        self._load = load
        self._apply = apply
        self._last_error = ''

    async def run(self) -> None:
        """Check repeatedly until cancelled."""
        while True:
            await trio.sleep(SETTINGS_CHECK_S)
            self.check()

    def check(self) -> None:
        """Read the settings and apply them if they differ."""
        try:
            loaded = self._load()
        except SettingsError as error:
            if str(error) != self._last_error:
                log_message(
                    message_type='shallotmux:settings-refused', level='error', reason=str(error)
                )
            self._last_error = str(error)
            return
        self._last_error = ''
        if loaded != self._current:
            self._current = loaded
            log_message(message_type='shallotmux:settings-changed', seeds=loaded.seeds)
            self._apply(loaded)


@asynccontextmanager
async def run_beneath(network: PeerNetwork, handler: PeerHandler) -> AsyncIterator[trio.Nursery]:
    """Run a network for the tasks of a nursery, which are all ended before it.

    A call that is under way when its network ends raises an error of the network's event loop.
    """
    async with trio.open_nursery() as outer:
        await outer.start(network.run, handler)
        async with trio.open_nursery() as inner:
            yield inner
            inner.cancel_scope.cancel()
        outer.cancel_scope.cancel()


async def wait_for_stop(
    watch: SettingsWatch, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
) -> None:
    """Return at SIGTERM or SIGINT; check the settings at SIGHUP."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as received:
        task_status.started()
        async for number in received:
            log_message(message_type='shallotmux:signal', number=int(number))
            if number != signal.SIGHUP:
                return
            watch.check()
