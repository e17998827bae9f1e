"""Availability zones, instances and the links between them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AvailabilityZone:
    """A failure domain with its own instances and endpoints."""

    name: str
    region: str = ''


@dataclass(frozen=True, slots=True)
class Instance:
    """An entry instance that runs one daemon.

    :param address: IP address and port of the listener for other instances.
    :param has_disk: whether its data folder survives a restart.
    """

    name: str
    zone: str
    address: str
    has_disk: bool = False


@dataclass(frozen=True, slots=True)
class Link:
    """A network path between two instances.

    :param delay_s: one-way delay in seconds.
    """

    source: str
    target: str
    delay_s: float = 0.001
