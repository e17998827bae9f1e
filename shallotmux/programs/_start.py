"""Read the settings with which a program starts."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import trio
from eliot import log_message

from shallotmux.errors import SettingsError

#: Time for which settings that cannot be read are read again. A file that is being written is complete
#: a moment later; one that stays invalid has to end the process soon, so that its cause is seen.
START_TIMEOUT_S = 2.0
START_INTERVAL_S = 0.1

Settings = TypeVar('Settings')


async def read_when_complete(read: Callable[[], Settings]) -> Settings:
    """Return what a function reads, and repeat it for a time while that is invalid.

    :raises SettingsError: if the settings are still invalid after :data:`START_TIMEOUT_S`.
    """
    deadline = trio.current_time() + START_TIMEOUT_S
    last_reason = ''
    while True:
        try:
            return read()
        except SettingsError as error:
            if trio.current_time() >= deadline:
                raise
            if str(error) != last_reason:
                log_message(
                    message_type='shallotmux:settings-refused', level='error', reason=str(error)
                )
            last_reason = str(error)
        await trio.sleep(START_INTERVAL_S)
