"""Entry point of the daemon."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

import click
import trio
from eliot import log_message, to_file

from shallotmux.daemon._groups import InstanceGroups
from shallotmux.daemon._instance import DaemonInstance
from shallotmux.errors import SettingsError
from shallotmux.settings import Settings, load_settings


@click.command()
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
    help='Start a group again from this disk alone, after its other voters have lost the log.',
)
def main(path: Path, check: bool, bootstrap: tuple[str, ...], recover: tuple[str, ...]) -> None:
    """Run one entry instance of shallotmux."""
    try:
        settings = load_settings(path)
    except SettingsError as error:
        click.echo(error.message, err=True)
        sys.exit(2)
    if check:
        click.echo(f'{path}: ok')
        return
    to_file(sys.stdout)
    try:
        trio.run(_run, settings, bootstrap, recover)
    except SettingsError as error:
        click.echo(error.message, err=True)
        sys.exit(2)


async def _run(settings: Settings, bootstrap: tuple[str, ...], recover: tuple[str, ...]) -> None:
    groups = InstanceGroups(settings, bootstrap, recover=recover) if settings.peers else None
    daemon = DaemonInstance(settings, groups=groups)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_signals, daemon)
        addresses = await nursery.start(daemon.run)
        log_message(
            message_type='shallotmux:started',
            instance=settings.instance.name,
            callers=addresses.callers,
            operators=addresses.operators,
        )


async def _watch_signals(daemon: DaemonInstance) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            daemon.shut_down()
            return
