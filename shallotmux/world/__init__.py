"""Domain objects: instances, zones, links, customers, contracts, routes and endpoints."""

from __future__ import annotations

from shallotmux.world._contracts import (
    Contract,
    Customer,
    CustomerKey,
    Defaults,
    PolicyException,
    Route,
    RouteKind,
)
from shallotmux.world._endpoints import Endpoint, EndpointKind, EndpointPool, EngineRole
from shallotmux.world._zones import AvailabilityZone, Instance, Link

__all__ = (
    'AvailabilityZone',
    'Contract',
    'Customer',
    'CustomerKey',
    'Defaults',
    'Endpoint',
    'EndpointKind',
    'EndpointPool',
    'EngineRole',
    'Instance',
    'Link',
    'PolicyException',
    'Route',
    'RouteKind',
)
