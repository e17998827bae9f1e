"""Entry point of the command-line tool."""

from __future__ import annotations

import click

from shallotmux import __version__


@click.group()
@click.version_option(__version__)
def main() -> None:
    """Operate a fleet of shallotmux instances."""
