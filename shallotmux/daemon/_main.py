"""Entry point of the daemon."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import trio
from eliot import log_message

from shallotmux import __version__
from shallotmux.daemon._groups import InstanceGroups
from shallotmux.daemon._instance import DaemonInstance
from shallotmux.daemon._listeners import read_certificates
from shallotmux.errors import SettingsError
from shallotmux.observability import write_logs
from shallotmux.settings import Settings, load_settings
from shallotmux.signals import ProcessSignals

#: Exit code for invalid settings, the same as for invalid options.
EXIT_SETTINGS = 2


@click.command()
@click.version_option(__version__)
@click.option(
    '--settings',
    'path',
    type=click.Path(path_type=Path),
    required=True,
    help='Settings file, JSON with comments.',
)
@click.option('--check', is_flag=True, help='Validate the settings and stop.')
@click.option(
    '--bootstrap',
    multiple=True,
    metavar='GROUP',
    help='Start an empty group: fleet or zone/NAME. On one instance, at the first start only.',
)
@click.option(
    '--recover',
    multiple=True,
    metavar='GROUP',
    help='Restore a group from this disk alone, after its other voters have lost the log.',
)
def main(path: Path, check: bool, bootstrap: tuple[str, ...], recover: tuple[str, ...]) -> None:
    """Run one entry instance of shallotmux in the foreground.

    SIGTERM or SIGINT: readiness fails, then no request is accepted, open requests are finished,
    leadership is transferred, and the exit code is 0. SIGHUP: certificates are reloaded. Invalid
    settings: exit code 2.
    """
    try:
        _start(path, check, bootstrap, recover)
    except SettingsError as error:
        click.echo(error.message, err=True)
        sys.exit(EXIT_SETTINGS)


def _start(path: Path, check: bool, bootstrap: tuple[str, ...], recover: tuple[str, ...]) -> None:
    settings = load_settings(path)
    if check:
        read_certificates(settings)
        click.echo(f'{path}: ok')
        return
    signals = ProcessSignals()
    signals.install()
    trio.run(_run, settings, signals, bootstrap, recover)
    signals.ignore()


async def _run(
    settings: Settings,
    signals: ProcessSignals,
    bootstrap: tuple[str, ...],
    recover: tuple[str, ...],
) -> None:
    groups = InstanceGroups(settings, bootstrap, recover=recover) if settings.peers else None
    daemon = DaemonInstance(settings, groups=groups)
    logging = settings.logging
    on_redaction = daemon.metrics.log_redactions.inc
    with write_logs(logging.destination, logging.level, logging.sections, on_redaction):
        await _serve(settings, signals, daemon)


async def _serve(settings: Settings, signals: ProcessSignals, daemon: DaemonInstance) -> None:
    def drain(number: int) -> None:
        log_message(message_type='shallotmux:daemon:draining', signal=number)
        daemon.shut_down()

    async with trio.open_nursery() as watching:
        watching.start_soon(signals.watch, drain, daemon.reload_certificates)
        async with trio.open_nursery() as nursery:
            addresses = await nursery.start(daemon.run)
            log_message(
                message_type='shallotmux:daemon:started',
                instance=settings.instance.name,
                zone=settings.instance.zone,
                version=__version__,
                callers=addresses.callers,
                peers=daemon.peer_address,
                operators=addresses.operators,
                metrics=addresses.metrics,
            )
        watching.cancel_scope.cancel()
    log_message(message_type='shallotmux:daemon:stopped', instance=settings.instance.name)
