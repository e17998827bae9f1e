"""Addresses of the form ``HOST:PORT``."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ('HostPort', 'is_address', 'split_address')


#: Digits of the largest port; more would be read as a number first.
MAX_PORT_DIGITS = 5


class HostPort(NamedTuple):
    """A host and a port, in the order of socket addresses."""

    host: str
    port: int


def split_address(address: str) -> HostPort:
    """Return the host and port of an address; an IPv6 host may be enclosed in brackets.

    :raises ValueError: if the host is missing or the port is not from 0 to 65535.
    """
    host, _, port = address.rpartition(':')
    is_number = port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS
    if not host or not is_number or int(port) > 65535:
        raise ValueError(f'address {address!r} is not of the form HOST:PORT')
    return HostPort(host.strip('[]'), int(port))


def is_address(text: str) -> bool:
    """Return whether a text is of the form HOST:PORT."""
    try:
        split_address(text)
    except ValueError:
        return False
    return True
