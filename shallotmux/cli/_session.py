"""State shared by all commands: connection, output format and running the client."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import click
import trio

from shallotmux.cli._connection import Connection, check_address, read_connection
from shallotmux.cli._exit_codes import CliError
from shallotmux.cli._output import Row, print_json, print_rows
from shallotmux.errors import ShallotmuxError
from shallotmux.http import HttpcoreClient
from shallotmux.operators import OperatorClient

Answer = TypeVar('Answer')


@dataclass(frozen=True, slots=True)
class Session:
    """One invocation of the tool.

    :param options: options and environment variables for the connection.
    :param as_json: whether output is JSON rather than a table.
    """

    profile: Path | None
    options: dict[str, str | bool | None]
    as_json: bool

    def connection(self) -> Connection:
        """Return addresses and credentials.

        :raises CliError: if the profile file is invalid.
        """
        try:
            return read_connection(self.profile, self.options)
        except ShallotmuxError as error:
            raise CliError(error) from error

    def call(self, action: Callable[[OperatorClient], Awaitable[Answer]]) -> Answer:
        """Run an action with an operator API client and return its result.

        :raises CliError: with the exit code of the failure.
        """
        connection = self.connection()

        async def act(client: HttpcoreClient) -> Answer:
            address = check_address(connection.address, '--address')
            return await action(OperatorClient(client, address, connection.credential()))

        return self.run(connection, act)

    def run(
        self, connection: Connection, action: Callable[[HttpcoreClient], Awaitable[Answer]]
    ) -> Answer:
        """Run an action with an HTTP client that is closed afterwards, and return its result.

        :raises CliError: with the exit code of the failure.
        """

        async def act() -> Answer:
            client = connection.open()
            try:
                return await action(client)
            finally:
                with trio.CancelScope(shield=True):
                    await client.close()

        try:
            return trio.run(act)
        except ShallotmuxError as error:
            raise CliError(error) from error

    def show(self, content: Any, rows: Sequence[Row], *columns: str) -> None:
        """Print a response in the selected output format.

        :param content: value printed as JSON.
        :param rows: rows of the table.
        :param columns: columns of the table; by default the keys of the first row.
        """
        if self.as_json:
            print_json(content)
        else:
            print_rows(rows, columns)

    def show_change(self, subject: str, response: dict[str, Any]) -> None:
        """Print the revision of a change and the zones in which it is in force or pending."""
        if self.as_json:
            print_json({'subject': subject, **response})
            return
        in_force = ', '.join(response['in_force']) or 'no zone yet'
        click.echo(f'{subject}: revision {response["revision"]}, in force in {in_force}')
        if response['pending']:
            click.echo(f'{subject}: pending in {", ".join(response["pending"])}')


pass_session = click.make_pass_decorator(Session)


def with_examples(*examples: str) -> str:
    """Return the examples section of a help text."""
    return '\n'.join(('\b', 'Examples:', *(f'  {example}' for example in examples)))
