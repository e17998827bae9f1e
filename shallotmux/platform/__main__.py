"""Run a control or entry program with ``python -m shallotmux.platform``."""

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
    decode_document,
    read_settings_file,
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
    """Return the present settings of the platform's settings file."""
    return build_settings(read_settings_file())


async def run() -> None:
    """Run the program that the settings select."""
    file = read_settings_file()
    settings = build_settings(file)
    platform = PlatformClient(file.cloud.address)
    if settings.role is ProgramRole.CONTROL:
        adapter = ControlAdapter(decode_document, platform, PUT_PATH, GET_PATH)
        await run_control(settings, adapter, load_settings)
    else:
        await EntryProgram(settings, EntryAdapter(DIALECT, decode_document, platform)).run(
            load_settings
        )


def main() -> int:
    """Run until SIGTERM or SIGINT, and return the exit code: 2 for invalid settings."""
    with write_log_lines(sys.stdout.fileno()):
        try:
            trio.run(run)
        except SettingsError as error:
            sys.stderr.write(f'{error}\n')
            return 2
    return 0


if __name__ == '__main__':
    sys.exit(main())
