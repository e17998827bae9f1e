"""Run a stand-in as a separate process: ``python -m shallotmux.standins engine --name e1``."""

from __future__ import annotations

import signal

import click
import trio

from shallotmux.http import AsgiApp, Listener, serve_app
from shallotmux.standins import EngineBehaviour, EngineStandin, ServiceStandin

LOOPBACK = '127.0.0.1:0'


@click.group()
def main() -> None:
    """Run stand-ins for external systems; each prints its address on its first line."""


@main.command()
@click.option('--bind', default=LOOPBACK, help='IP address and port; port 0 selects a free port.')
@click.option('--name', default='engine', help='Name of the engine in its error messages.')
@click.option('--token-s', type=click.FloatRange(0), default=0.005, help='Seconds between tokens.')
def engine(bind: str, name: str, token_s: float) -> None:
    """Run a stand-in engine."""
    trio.run(_serve, EngineStandin(name, EngineBehaviour(token_s=token_s)), bind)


@main.command()
@click.option('--bind', default=LOOPBACK, help='IP address and port; port 0 selects a free port.')
@click.option('--name', default='service', help='Name of the service in its error messages.')
def service(bind: str, name: str) -> None:
    """Run a stand-in plain service."""
    trio.run(_serve, ServiceStandin(name), bind)


async def _serve(app: AsgiApp, bind: str) -> None:
    stop = trio.Event()
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            address = await nursery.start(serve_app, app, Listener(bind, drain_s=1), stop.wait)
            click.echo(address)
            await anext(aiter(signals))
            stop.set()


if __name__ == '__main__':
    main()
