"""Requests to stop and to reload, changed settings, and the order of shutdown."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import trio
from eliot import log_message

from shallotmux.errors import SettingsError
from shallotmux.programs._settings import ProgramSettings
from shallotmux.transport import PeerHandler, PeerNetwork

#: Interval at which the settings are reloaded, since they may change without a signal.
SETTINGS_POLL_INTERVAL_S = 1.0

#: Loads the present settings.
LoadSettings = Callable[[], ProgramSettings]


class ProgramLifecycle:
    """Requests to the program of a process, which may be rebuilt while the process runs.

    :param load: returns the present settings, or raises :class:`SettingsError`.
    """

    def __init__(self, load: LoadSettings) -> None:
        self.load = load
        #: Set once the program is asked to stop.
        self.stop = trio.Event()
        #: Called when the program is asked to reload its settings.
        self.on_reload: Callable[[], None] = _do_nothing

    def request_stop(self, number: int) -> None:
        """Ask the program to stop.

        :param number: number of the signal, for the log.
        """
        log_message(message_type='shallotmux:signal', number=number)
        self.stop.set()

    def request_reload(self) -> None:
        """Ask the program to reload its settings."""
        log_message(message_type='shallotmux:signal', number=int(signal.SIGHUP))
        self.on_reload()


def _do_nothing() -> None:
    """Serve as the reload of a program that is not running."""


class SettingsWatcher:
    """Reloads the settings periodically; the previous ones stay in force if new ones are invalid.

    :param load: returns the present settings, or raises :class:`SettingsError`.
    :param apply: called with changed settings.
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
        """Check the settings periodically until cancelled."""
        while True:
            await trio.sleep(SETTINGS_POLL_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Load the settings and apply them if they have changed."""
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
async def run_with_network(
    network: PeerNetwork, handler: PeerHandler
) -> AsyncIterator[trio.Nursery]:
    """Run a network and yield a nursery whose tasks are cancelled before the network shuts down.

    A call in flight when its network shuts down raises an error of the network's event loop.
    """
    async with trio.open_nursery() as outer:
        await outer.start(network.run, handler)
        async with trio.open_nursery() as inner:
            yield inner
            inner.cancel_scope.cancel()
        outer.cancel_scope.cancel()
