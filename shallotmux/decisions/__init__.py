"""Decisions as pure functions over typed snapshots."""

from __future__ import annotations

from shallotmux.decisions._routing import (
    EndpointView,
    RoutingDecision,
    estimate_load,
    route_request,
)

__all__ = ('EndpointView', 'RoutingDecision', 'estimate_load', 'route_request')
