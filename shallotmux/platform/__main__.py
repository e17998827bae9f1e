"""Run the control or entry program that the platform's settings select."""

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
    ProgramLifecycle,
    ProgramRole,
    ProgramSettings,
    log_fatal_errors,
    read_when_complete,
    run_control,
    write_log_lines,
)
from shallotmux.signals import ProcessSignals


def load_settings() -> ProgramSettings:
    """Return the present settings of the platform's settings file."""
    return build_settings(read_settings_file())


async def run(signals: ProcessSignals) -> None:
    """Run the program that the settings select until it has stopped."""
    file = await read_when_complete(read_settings_file)
    settings = build_settings(file)
    platform = PlatformClient(file.cloud.address)
    lifecycle = ProgramLifecycle(load_settings)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(signals.watch, lifecycle.request_stop, lifecycle.request_reload)
        if settings.role is ProgramRole.CONTROL:
            control = ControlAdapter(decode_document, platform, PUT_PATH, GET_PATH)
            await run_control(settings, control, lifecycle)
        else:
            entry = EntryAdapter(DIALECT, decode_document, platform)
            await EntryProgram(settings, entry).run(lifecycle)
        nursery.cancel_scope.cancel()


def main() -> int:
    """Run until SIGTERM or SIGINT, and return the exit code: 2 for invalid settings."""
    signals = ProcessSignals()
    signals.install()
    exit_code = 0
    with write_log_lines(sys.stdout.fileno()):
        try:
            with log_fatal_errors():
                trio.run(run, signals)
        except* SettingsError as errors:
            sys.stderr.write(f'{errors.exceptions[0]}\n')
            exit_code = 2
    signals.ignore()
    return exit_code


if __name__ == '__main__':
    sys.exit(main())
