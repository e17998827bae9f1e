"""Copies bytes between connections without parsing them: the lower bound of any relay's cost."""

from __future__ import annotations

import os
import select
import socket

import click

from shallotmux.addresses import split_address

MAX_READ_BYTES = 65_536
BACKLOG = 1024


class BytePipe:
    """Forwards each accepted connection over a new connection to a fixed address."""

    def __init__(self, target: str) -> None:
        self._target = split_address(target)
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=BACKLOG)
        self._poller = select.epoll()
        self._poller.register(self._listener.fileno(), select.EPOLLIN)
        self._sockets: dict[int, socket.socket] = {}
        self._peer_descriptors: dict[int, int] = {}

    def address(self) -> str:
        """Return the address of the listener."""
        return '127.0.0.1:{1}'.format(*self._listener.getsockname())

    def forward_once(self) -> None:
        """Wait until sockets are readable, and copy the bytes that have arrived."""
        for descriptor, _ in self._poller.poll():
            if descriptor == self._listener.fileno():
                self._connect_pair(self._listener.accept()[0])
            elif descriptor in self._peer_descriptors:
                self._copy(descriptor)

    def _connect_pair(self, incoming: socket.socket) -> None:
        outgoing = socket.create_connection(self._target)
        for readable, opposite in ((incoming, outgoing), (outgoing, incoming)):
            readable.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sockets[readable.fileno()] = readable
            self._peer_descriptors[readable.fileno()] = opposite.fileno()
            self._poller.register(readable.fileno(), select.EPOLLIN)

    def _copy(self, descriptor: int) -> None:
        peer = self._peer_descriptors[descriptor]
        try:
            received = os.read(descriptor, MAX_READ_BYTES)
            if received:
                os.write(peer, received)
                return
        except ConnectionError:
            received = b''
        for each in (descriptor, peer):
            self._poller.unregister(each)
            self._peer_descriptors.pop(each)
            self._sockets.pop(each).close()


@click.command()
@click.option('--to', 'target', required=True, help='Address that connections are forwarded to.')
def main(target: str) -> None:
    """Copy bytes to an address; the first line of output is the address of the listener."""
    pipe = BytePipe(target)
    click.echo(pipe.address())
    running = True
    while running:
        pipe.forward_once()


if __name__ == '__main__':
    main()
