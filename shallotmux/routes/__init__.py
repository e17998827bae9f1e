"""Configuration document with its routes, and route look-up by host and path prefix."""

from __future__ import annotations

from shallotmux.routes._checks import check_document
from shallotmux.routes._document import (
    CallerLimits,
    CustomerQuota,
    DocumentCustomer,
    EngineProfile,
    FleetBounds,
    ForwardedRoute,
    QuotaUnit,
    RouteDocument,
    RouteKind,
    Service,
    ServiceShare,
)
from shallotmux.routes._table import RouteTable, choose_service

__all__ = (
    'CallerLimits',
    'CustomerQuota',
    'EngineProfile',
    'FleetBounds',
    'ForwardedRoute',
    'DocumentCustomer',
    'QuotaUnit',
    'RouteDocument',
    'RouteKind',
    'RouteTable',
    'Service',
    'ServiceShare',
    'check_document',
    'choose_service',
)
