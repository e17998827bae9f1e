"""Command that restarts a control group which has lost its majority for good."""

from __future__ import annotations

from pathlib import Path

import click

from shallotmux.addresses import is_address
from shallotmux.cli._exit_codes import CliError
from shallotmux.cli._session import Session, pass_session, with_examples
from shallotmux.control import DataFolders
from shallotmux.errors import SettingsError, ShallotmuxError, StorageError
from shallotmux.replication import DiskSurvey

LOSS = (
    'Changes that were acknowledged after the newest of these logs ended may be on the missing disks'
    ' alone. Going on loses them: configuration documents, usage windows that were fixed, and which'
    ' of them the platform has accepted, so that these are reported again. The missing disks must'
    ' never be used again.'
)


@click.command(
    epilog=with_examples(
        'shallotmux recover --dry-run /data/core-1 /data/core-2',
        'shallotmux recover --at 10.0.0.9:7400 /data/core-1 /data/core-2 /data/core-3',
        'shallotmux recover --accept-loss /data/core-1 /data/core-2',
    )
)
@click.argument(
    'folders',
    nargs=-1,
    required=True,
    type=click.Path(exists=True, file_okay=False, path_type=Path),
)
@click.option('--dry-run', is_flag=True, help='Show what the folders hold, and change nothing.')
@click.option('--at', 'address', help='Peer address, IP:PORT, at which the first member will run.')
@click.option(
    '--accept-loss', is_flag=True, help='Go on although acknowledged changes may be lost.'
)
@pass_session
def recover(
    session: Session, folders: tuple[Path, ...], dry_run: bool, address: str, accept_loss: bool
) -> None:
    """Restart a control group without a majority from its data FOLDERS.

    Give the folders of all control instances that are left; none of them may run. The member with
    the newest log becomes the only voter. Start it first, then the others, which join it.
    """
    try:
        _recover(session, folders, dry_run, address, accept_loss)
    except ShallotmuxError as error:
        raise CliError(error) from error


def _recover(
    session: Session, paths: tuple[Path, ...], dry_run: bool, address: str, accept_loss: bool
) -> None:
    if address and not is_address(address):
        raise SettingsError(f'--at {address!r} is not IP:PORT', step='recover')
    try:
        folders = DataFolders(paths)
    except StorageError as error:
        raise SettingsError(f'{error.message}; is its instance stopped?', step='recover') from error
    try:
        survey = folders.survey()
        _show(session, folders, survey)
        if not dry_run:
            identity = folders.recover(address=address, accepts_loss=accept_loss)
            click.echo(f'start {identity} first, then the others, all with bootstrap off', err=True)
    finally:
        folders.close()


def _show(session: Session, folders: DataFolders, survey: DiskSurvey) -> None:
    rows = [
        {
            'folder': str(each.path),
            'identity': identity,
            'votes': identity in survey.voters,
            'is_newest': identity == survey.newest,
        }
        for identity, each in sorted(folders.folders.items())
    ]
    missing = sorted(survey.voters - folders.folders.keys())
    response = {
        'items': rows,
        'last_term': survey.last_term,
        'last_index': survey.last_index,
        'voters': sorted(survey.voters),
        'missing_voters': missing,
        'has_majority': survey.has_majority,
        'is_complete': survey.is_complete,
    }
    session.show(response, rows)
    voters = len(survey.voters)
    click.echo(
        f'{voters - len(missing)} of {voters} voters are left; missing: {", ".join(missing) or "none"};'
        + f' the newest log ends at term {survey.last_term}, index {survey.last_index}',
        err=True,
    )
    if not survey.is_complete:
        click.echo(LOSS, err=True)
