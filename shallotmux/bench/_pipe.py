"""Copy bytes between connections without reading them: the least that any relay costs."""

from __future__ import annotations

import os
import select
import socket

import click

from shallotmux.addresses import split_address

READ_BYTES = 65_536
BACKLOG = 1024


class BytePipe:
    """Accepts connections and joins each to one of its own to a fixed address."""

    def __init__(self, target: str) -> None:
        self._target = split_address(target)
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=BACKLOG)
        self._poller = select.epoll()
        self._poller.register(self._listener.fileno(), select.EPOLLIN)
        self._sockets: dict[int, socket.socket] = {}
        self._others: dict[int, int] = {}

    def address(self) -> str:
        """Return the address that was bound."""
        return '127.0.0.1:{1}'.format(*self._listener.getsockname())

    def step(self) -> None:
        """Wait for bytes and copy all that have arrived."""
        for descriptor, _ in self._poller.poll():
            if descriptor == self._listener.fileno():
                self._join(self._listener.accept()[0])
            elif descriptor in self._others:
                self._copy(descriptor)

    def _join(self, accepted: socket.socket) -> None:
        opened = socket.create_connection(self._target)
        for near, far in ((accepted, opened), (opened, accepted)):
            near.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sockets[near.fileno()] = near
            self._others[near.fileno()] = far.fileno()
            self._poller.register(near.fileno(), select.EPOLLIN)

    def _copy(self, descriptor: int) -> None:
        other = self._others[descriptor]
        try:
            received = os.read(descriptor, READ_BYTES)
            if received:
                os.write(other, received)
                return
        except ConnectionError:
            received = b''
        for each in (descriptor, other):
            self._poller.unregister(each)
            self._others.pop(each)
            self._sockets.pop(each).close()


@click.command()
@click.option('--to', 'target', required=True, help='Address that connections are joined to.')
def main(target: str) -> None:
    """Copy bytes to an address; the first line of output is the address bound."""
    pipe = BytePipe(target)
    click.echo(pipe.address())
    running = True
    while running:
        pipe.step()


if __name__ == '__main__':
    main()
