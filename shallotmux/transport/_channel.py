"""Connections to peers."""

from __future__ import annotations

import socket
import ssl
from typing import Any

from grpclib.client import Channel
from grpclib.config import Configuration

from shallotmux.addresses import split_address

#: The kernel closes a connection whose data stays unacknowledged for this time. Without it, the
#: retransmission interval grows to minutes and delays the stream after a partition heals.
USER_TIMEOUT_MS = 3000

#: Limit for opening a connection. A peer that is powered off or partitioned does not answer, and
#: the system's default limit is minutes.
CONNECT_TIMEOUT_S = 1.0


class PeerChannel(Channel):
    """gRPC channel whose connection is closed early if the peer is unresponsive.

    A channel may be closed because of one call while another call is still connecting. The
    connection must not outlive the channel: grpclib raises an error when an unclosed one is
    garbage-collected.
    """

    def __init__(self, *address: Any, **options: Any) -> None:
        super().__init__(*address, **options)
        self._is_closed = False

    def close(self) -> None:
        """Close the channel permanently, including a connection that is still being opened."""
        self._is_closed = True
        super().close()

    @property
    def is_connected(self) -> bool:
        """Return whether the connection is open, as far as this side knows."""
        return self._connected

    async def _create_connection(self) -> Any:
        protocol = await super()._create_connection()
        if self._is_closed:
            protocol.processor.close()
            raise ConnectionAbortedError('the channel was closed')
        if protocol.connection.is_closing():
            # A connection that has ended does not have a transport any more.
            raise ConnectionResetError('the connection ended while it was opened')
        sock = protocol.connection.get_peer()._transport.get_extra_info('socket')  # noqa: SLF001
        set_user_timeout(sock)
        return protocol


def set_user_timeout(sock: socket.socket) -> None:
    """Set ``TCP_USER_TIMEOUT``, so that the kernel closes connections to unresponsive peers."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def make_channel(address: str, peer: str, context: ssl.SSLContext | None) -> PeerChannel:
    """Return a channel that connects on first use; with TLS, it verifies the peer's name."""
    target = split_address(address)
    config = Configuration(ssl_target_name_override=peer if context else None)
    return PeerChannel(target.host, target.port, ssl=context, config=config)
