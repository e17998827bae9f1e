"""Endpoints of plain numbers, as estimates see them."""

from __future__ import annotations

from dataclasses import dataclass, field

from shallotmux.estimates import EndpointModel
from shallotmux.fleet import EngineRole, ListedEndpoint


@dataclass(slots=True)
class PlainEndpoint:
    """An endpoint without a network."""

    listed: ListedEndpoint
    in_flight: int = 0
    queued_prefill_tokens: float = 0.0
    model: EndpointModel = field(default_factory=EndpointModel)


def endpoint(
    identity: str, role: EngineRole = EngineRole.MIXED, slots: int = 4, zone: str = 'a'
) -> PlainEndpoint:
    """Return an endpoint of the service ``s``."""
    return PlainEndpoint(ListedEndpoint(identity, 's', '10.0.0.1:1', zone, slots=slots, role=role))
