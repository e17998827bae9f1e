"""Run the demonstration with ``python -m shallotmux.demo``."""

from __future__ import annotations

import os
import sys

import click
import trio

from shallotmux.demo import run_demo
from shallotmux.observability import write_logs


@click.command()
@click.option('--serve', is_flag=True, help='Keep all zones running until interrupted.')
@click.option('--log', default=os.devnull, help='File for the log lines of all instances.')
def main(serve: bool, log: str) -> None:
    """Run three zones of instances with stand-in endpoints under a mixed load."""
    with write_logs(log, 'info', {}):
        report = trio.run(run_demo, serve)
    sys.exit(0 if report.passed else 1)


main()
