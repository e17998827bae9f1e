"""Entry point of the command-line tool."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from shallotmux import __version__
from shallotmux.cli import _keys, _objects, _views
from shallotmux.cli._apply import apply
from shallotmux.cli._complete import complete, completion
from shallotmux.cli._exit_codes import EXIT_CODE_HELP
from shallotmux.cli._recovery import recover
from shallotmux.cli._session import Session, with_examples

_EXIT_CODES = '\n'.join(f'  {code.value}  {text}' for code, text in EXIT_CODE_HELP.items())


@click.group(
    epilog='\n\n'.join(
        (
            f'\b\nExit codes:\n{_EXIT_CODES}',
            with_examples(
                'shallotmux --address 127.0.0.1:8081 --token-file token status',
                'shallotmux apply --dry-run configuration.json',
            ),
        )
    ),
)
@click.version_option(__version__)
@click.option(
    '--profile',
    type=click.Path(path_type=Path),
    envvar='SHALLOTMUX_PROFILE',
    help='File with address and credential; by default profile.json in the configuration folder.',
)
@click.option('--address', envvar='SHALLOTMUX_ADDRESS', help='Operator listener, IP:PORT.')
@click.option(
    '--token',
    envvar='SHALLOTMUX_TOKEN',
    help='Credential; visible to other users of the machine, so prefer --token-file.',
)
@click.option(
    '--token-file', envvar='SHALLOTMUX_TOKEN_FILE', help='File that contains the credential.'
)
@click.option(
    '--caller-address',
    envvar='SHALLOTMUX_CALLER_ADDRESS',
    help='Caller listener for `complete`, IP:PORT.',
)
@click.option('--key', envvar='SHALLOTMUX_KEY', help='Caller key for `complete`.')
@click.option('--ca', envvar='SHALLOTMUX_CA', help='PEM file of trusted certificates; implies TLS.')
@click.option('--tls', is_flag=True, envvar='SHALLOTMUX_TLS', help='Connect with TLS.')
@click.option(
    '--output',
    type=click.Choice(('table', 'json')),
    default='table',
    envvar='SHALLOTMUX_OUTPUT',
    help='Output format.',
)
@click.pass_context
def main(context: click.Context, /, profile: Path | None, output: str, **options: Any) -> None:
    """Operate a fleet of shallotmux instances."""
    context.obj = Session(profile, options, output == 'json')


def _add_commands(group: click.Group, *commands: click.Command) -> None:
    for command in commands:
        group.add_command(command)


_add_commands(
    main,
    _objects.get,
    _objects.put,
    _objects.delete,
    _objects.exception,
    apply,
    _keys.key,
    _keys.quarantine,
    _views.status,
    _views.usage,
    _views.explain,
    _views.watch,
    recover,
    complete,
    completion,
)
