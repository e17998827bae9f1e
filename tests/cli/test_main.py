"""Tests of the command-line tool with an instance on the loopback interface."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import click
import pytest
import trio
from click.testing import CliRunner, Result

from shallotmux.cli import main
from shallotmux.daemon import DaemonInstance
from shallotmux.http import Listener, serve_app
from shallotmux.settings import (
    GroupSettings,
    InstanceSettings,
    ListenerSettings,
    SecretSettings,
    Settings,
)
from shallotmux.standins import EngineStandin

OPERATOR_TOKEN = 'operator-token-1'
LOOPBACK = '127.0.0.1:0'


@dataclass
class ToolHarness:
    """Runs the tool with an environment that connects it to an instance.

    :param engine: address of the engine stand-in.
    """

    daemon: DaemonInstance
    engine: str
    environment: dict[str, str]

    async def run(self, *arguments: str, stdin: str = '', **environment: str) -> Result:
        """Run the tool in a worker thread."""
        invoke = partial(
            CliRunner().invoke,
            main,
            arguments,
            input=stdin,
            env={**self.environment, **environment},
        )
        return await trio.to_thread.run_sync(invoke)

    async def run_json(self, *arguments: str) -> Any:
        """Run the tool and return its JSON output."""
        result = await self.run('--output', 'json', *arguments)
        assert result.exit_code == 0, result.output
        return json.loads(result.output)


@pytest.fixture
async def tool(nursery: trio.Nursery, tmp_path: Path) -> ToolHarness:
    """Start an instance and an engine, and return a tool connected to them."""
    settings = Settings(
        instance=InstanceSettings(name='entry-1', zone='zone-a'),
        listeners=ListenerSettings(callers=LOOPBACK, operators=LOOPBACK),
        secrets=SecretSettings(pepper='p' * 16, operator_token=OPERATOR_TOKEN),
        groups=GroupSettings(standalone=True),
    )
    daemon = DaemonInstance(settings)
    addresses = await nursery.start(daemon.run)
    engine = await nursery.start(
        serve_app, EngineStandin('e1'), Listener(LOOPBACK), trio.sleep_forever
    )
    (tmp_path / 'token').write_text(OPERATOR_TOKEN)
    environment = {
        'SHALLOTMUX_ADDRESS': addresses.operators,
        'SHALLOTMUX_CALLER_ADDRESS': addresses.callers,
        'SHALLOTMUX_TOKEN_FILE': str(tmp_path / 'token'),
        'HOME': str(tmp_path),
    }
    return ToolHarness(daemon, engine, environment)


def write_configuration(folder: Path, engine: str, weight: int = 1) -> str:
    """Write a configuration file and return its path."""
    endpoints = [{'name': 'e1', 'zone': 'zone-a', 'address': engine}]
    path = folder / 'configuration.json'
    path.write_text(
        '// comment\n'
        + json.dumps(
            {
                'route': {'sorter': {'pool': 'sorting'}},
                'customer': {'tailors': {'contract': {'weight': weight}}},
                'pool': {'sorting': {'zone': 'zone-a', 'model': 'm', 'endpoints': endpoints}},
            }
        )
    )
    return str(path)


async def test_apply_shows_diff_and_sends_once(tool: ToolHarness, tmp_path: Path) -> None:
    """Guards against a dry run that sends changes, and an apply that rewrites equal objects."""
    path = write_configuration(tmp_path, tool.engine)
    dry_run = await tool.run('apply', '--dry-run', path)
    assert '3 differences, 0 changes made' in dry_run.output
    assert '+++ customer/tailors (file)' in dry_run.output
    assert tool.daemon.authority.read().revision == 0
    assert '3 differences, 3 changes made' in (await tool.run('apply', path)).output
    assert '0 differences, 0 changes made' in (await tool.run('apply', path)).output
    changed = await tool.run('apply', write_configuration(tmp_path, tool.engine, 2))
    assert '-    "weight": 1' in changed.output
    assert '1 differences, 1 changes made' in changed.output


async def test_complete_streams_with_created_key(tool: ToolHarness, tmp_path: Path) -> None:
    """Guards against a created key that is not accepted, or an incomplete answer."""
    await tool.run('apply', write_configuration(tmp_path, tool.engine))
    created = await tool.run_json('key', 'create', 'tailors')
    arguments = ('complete', 'sorter', 'Sort lot 7.', '--max-tokens', '3')
    result = await tool.run(*arguments, SHALLOTMUX_KEY=created['secret'])
    assert (result.exit_code, len(result.output.split())) == (0, 3)
    assert (await tool.run_json('explain'))['items'][0]['kind'] == 'routing'
    await tool.run('key', 'withdraw', created['key_id'])
    refused = await tool.run(*arguments, SHALLOTMUX_KEY=created['secret'])
    assert refused.exit_code == 6
    listed = await tool.run('key', 'list')
    assert created['key_id'] in listed.output
    assert created['secret'] not in listed.output


async def test_exit_codes_distinguish_kinds_of_failure(tool: ToolHarness, tmp_path: Path) -> None:
    """Guards against exit codes that do not distinguish conflicts, refusals and outages."""
    arguments = ('put', 'customer', 'tailors', '-')
    assert (await tool.run(*arguments, stdin='{}')).exit_code == 0
    assert (await tool.run(*arguments, '--revision', '9', stdin='{}')).exit_code == 4
    assert (await tool.run(*arguments, stdin='{"contract": {"weight": -1}}')).exit_code == 5
    assert (await tool.run(*arguments, stdin='{')).exit_code == 2
    assert (await tool.run('get', 'customer', 'absent')).exit_code == 3
    assert (await tool.run('delete', 'customer', 'absent')).exit_code == 3
    assert (await tool.run('status', SHALLOTMUX_TOKEN='wrong')).exit_code == 6
    assert (await tool.run('status', SHALLOTMUX_ADDRESS='127.0.0.1:1')).exit_code == 7
    assert (await tool.run('status', SHALLOTMUX_ADDRESS='host:1')).exit_code == 2
    assert (await tool.run('delete', 'customer', 'tailors')).exit_code == 0


async def test_exception_needs_written_reason(tool: ToolHarness) -> None:
    """Guards against an exception accepted without a reason."""
    arguments = ('exception', 'add', 'x', '--subject', 'customer/t', '--setting', 'cheap_share')
    blank = await tool.run(*arguments, '--amount', '0', '--reason', ' ')
    assert blank.exit_code == 5
    assert (await tool.run(*arguments, '--amount', '0')).exit_code == 2
    assert (await tool.run(*arguments, '--amount', '0', '--reason', 'audit')).exit_code == 0
    assert 'audit' in (await tool.run('get', 'exception')).output


async def test_views_print_tables(tool: ToolHarness) -> None:
    """Guards against a view that fails on an empty fleet."""
    assert 'entry-1' in (await tool.run('status')).output
    assert 'entry-1' in (await tool.run('watch', '--count', '1')).output
    for arguments in (('usage',), ('quarantine', 'list'), ('explain',)):
        assert (await tool.run(*arguments)).output == 'nothing to show\n'
    assert (await tool.run('quarantine', 'lift', 'f')).exit_code == 5


def test_profile_is_read_and_checked(tmp_path: Path) -> None:
    """Guards against a misspelt key in a profile that silently has no effect."""
    profile = tmp_path / 'profile.json'
    profile.write_text('{"adress": "127.0.0.1:1"}')
    result = CliRunner().invoke(main, ['--profile', str(profile), 'status'])
    assert (result.exit_code, 'adress' in result.output) == (2, True)
    profile.write_text('{"address": "127.0.0.1:1", "token": "t"}')
    assert CliRunner().invoke(main, ['--profile', str(profile), 'status']).exit_code == 7


def test_every_command_has_help_with_examples() -> None:
    """Guards against a command without help or examples."""
    for path, command in iterate_commands(main, ()):
        result = CliRunner().invoke(main, [*path, '--help'])
        assert result.exit_code == 0
        assert command.get_short_help_str()
        assert 'Examples:' in result.output or isinstance(command, click.Group)


def iterate_commands(
    group: click.Group, path: tuple[str, ...]
) -> Iterator[tuple[tuple[str, ...], click.Command]]:
    """Yield all commands with the arguments that invoke them."""
    for name, command in group.commands.items():
        yield (*path, name), command
        if isinstance(command, click.Group):
            yield from iterate_commands(command, (*path, name))


@pytest.mark.parametrize('shell', ['bash', 'zsh', 'fish'])
def test_completion_prints_script(shell: str) -> None:
    """Guards against a shell whose completion script cannot be printed."""
    result = CliRunner().invoke(main, ['completion', shell])
    assert result.exit_code == 0
    assert '_SHALLOTMUX_COMPLETE' in result.output
