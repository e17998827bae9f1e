"""Addresses of the form ``HOST:PORT``."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ('HostPort', 'split_address')


class HostPort(NamedTuple):
    """A host and a port, in the order in which sockets take them."""

    host: str
    port: int


def split_address(address: str) -> HostPort:
    """Return the parts of an address; an IPv6 host may stand in brackets.

    :raises ValueError: if there is no host, or no port from 0 to 65535.
    """
    host, _, port = address.rpartition(':')
    if not host or not port.isdecimal() or int(port) > 65535:
        raise ValueError(f'address {address!r} is not of the form HOST:PORT')
    return HostPort(host.strip('[]'), int(port))
