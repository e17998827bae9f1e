"""Start a program of a deployment on the platform."""

from __future__ import annotations

import sys

import trio

from shallotmux.errors import SettingsError
from shallotmux.platform import (
    DIALECT,
    GET_PATH,
    PUT_PATH,
    PlatformClient,
    build_settings,
    decode_configuration,
    read_file,
)
from shallotmux.programs import (
    ControlAdapter,
    EntryAdapter,
    EntryProgram,
    ProgramRole,
    ProgramSettings,
    run_control,
    write_log_lines,
)


def load_settings() -> ProgramSettings:
    """Return the settings that the platform's file holds now."""
    return build_settings(read_file())


async def run() -> None:
    """Run the program that the settings ask for."""
    file = read_file()
    settings = build_settings(file)
    platform = PlatformClient(file.cloud.address)
    if settings.role is ProgramRole.CONTROL:
        adapter = ControlAdapter(decode_configuration, platform, PUT_PATH, GET_PATH)
        await run_control(settings, adapter, load_settings)
    else:
        await EntryProgram(settings, EntryAdapter(DIALECT, decode_configuration, platform)).run(
            load_settings
        )


def main() -> int:
    """Run until told to stop; returns the exit code."""
    with write_log_lines(sys.stdout.fileno()):
        try:
            trio.run(run)
        except SettingsError as error:
            sys.stderr.write(f'{error}\n')
            return 2
    return 0


if __name__ == '__main__':
    sys.exit(main())
