"""Endpoints and endpoint pools."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class EndpointKind(StrEnum):
    """Kind of back end."""

    ENGINE = 'engine'
    SERVICE = 'service'


class EngineRole(StrEnum):
    """Phases of a request that an engine is assigned to."""

    PREFILL = 'prefill'
    DECODE = 'decode'
    MIXED = 'mixed'


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A back end that runs requests.

    :param address: IP address and port of the HTTP listener.
    :param cheap: whether the platform may reclaim it at a few seconds' notice.
    :param checks_fencing: whether it refuses orders with an outdated fencing token.
    """

    name: str
    zone: str
    address: str
    kind: EndpointKind = EndpointKind.ENGINE
    cheap: bool = False
    checks_fencing: bool = True


@dataclass(frozen=True, slots=True)
class EndpointPool:
    """Endpoints of one zone that serve the same routes.

    :param model: model loaded by the engines; empty for plain services.
    """

    name: str
    zone: str
    endpoints: tuple[Endpoint, ...] = ()
    model: str = ''
