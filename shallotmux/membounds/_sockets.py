"""What the kernel knows of a TCP connection without reading from it."""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import termios

import trio

#: Interval at which a connection with unread bytes is checked for its end. Work for a caller that has
#: disconnected ends within 0.5 s.
END_CHECK_INTERVAL_S = 0.1

#: Value of ``SO_LINGER`` with which closing a connection resets it.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)

#: First byte of ``TCP_INFO`` of a connection whose other end has closed it in order (Linux, tcp_states.h).
_TCP_CLOSE_WAIT = 8

_ENDS = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


def has_ended(sock: trio.socket.SocketType) -> bool:
    """Return whether the other end has closed its sending side, or the connection is broken.

    Unread bytes before the end do not matter.
    """
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return any(events & _ENDS for _, events in poll.poll(0))


async def wait_for_end(sock: trio.socket.SocketType) -> None:
    """Wait until a connection has ended, without reading from it.

    The socket is readable at its end, but also while bytes are unread; then its state is polled.

    :raises ClosedResourceError: if the socket is closed here.
    """
    await trio.lowlevel.wait_readable(sock)
    while not has_ended(sock):
        await trio.sleep(END_CHECK_INTERVAL_S)
        await trio.lowlevel.wait_readable(sock)


def count_unacknowledged(sock: trio.socket.SocketType) -> int:
    """Return the sent bytes that the other end has not acknowledged; 0 if that is not known.

    A closed socket has the descriptor -1, for which the call raises a ValueError.
    """
    if sock.fileno() < 0:
        return 0
    try:
        content = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0
    return int(struct.unpack('i', content)[0])


def is_closed_in_order(sock: trio.socket.SocketType) -> bool:
    """Return whether the other end has closed its sending side, and the connection was not reset.

    An error of a connection is reported once. If the task that sends has got it, the one that receives
    finds an end that looks orderly; the state of the connection still tells them apart.
    """
    if sock.fileno() < 0:
        return False
    state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    return bytes(state)[0] == _TCP_CLOSE_WAIT


def reset_on_close(sock: trio.socket.SocketType) -> None:
    """Let closing a connection reset it and discard what was not sent."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    except OSError:
        return
