"""Decode the platform's configuration format."""

from __future__ import annotations

import msgspec

from shallotmux.decoding import DECODE_ERRORS
from shallotmux.errors import DocumentInvalid
from shallotmux.routes import (
    CallerLimits,
    DocumentCustomer,
    EngineProfile,
    FleetBounds,
    ForwardedRoute,
    RouteDocument,
    RouteKind,
    Service,
    ServiceShare,
)


class _Split(msgspec.Struct, rename='kebab'):
    service: str
    weight: float


class _Route(msgspec.Struct, rename='kebab'):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    service: str = ''
    split: list[_Split] = []
    target_latency_ms: float = 0.0
    target_gap_ms: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    # Public routes need no key.
    public: bool = False
    # Requests carry the parts of their prompt; this does not mean session affinity.
    sticky: bool = False
    resumable: bool = False


class _Engine(msgspec.Struct, rename='kebab'):
    slots: int = 1
    kv_capacity_tokens: int = 0
    kv_token_bytes: int = 0
    link_mbps: float = 1.0
    handle_ttl_s: float = 5.0
    role_switch_s: float = 3.0


class _Scaling(msgspec.Struct, rename='kebab'):
    min: int
    max: int
    boot_s: float = 0.0
    spot_price: float = 0.0
    zone_prices: dict[str, float] = {}


class _Service(msgspec.Struct, rename='kebab'):
    name: str
    health_path: str = '/'
    max_conns: int = 1
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Limits(msgspec.Struct, rename='kebab'):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(msgspec.Struct, rename='kebab'):
    name: str
    api_keys: list[str]
    priority: int | None = None


class _Configuration(msgspec.Struct, rename='kebab'):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


#: Kinds of route by their name in the configuration.
KINDS = {'safe': RouteKind.SAFE, 'unsafe': RouteKind.UNSAFE, 'streaming': RouteKind.STREAMING}


def decode_document(content: bytes) -> RouteDocument:
    """Return the document that the body of an operator's request holds.

    :raises DocumentInvalid: naming the invalid field.
    """
    try:
        parsed = msgspec.json.decode(content, type=_Configuration)
    except DECODE_ERRORS as error:
        raise DocumentInvalid(str(error), step='read document') from error
    return RouteDocument(
        parsed.version,
        tuple(_build_route(each) for each in parsed.routes),
        tuple(_build_service(each) for each in parsed.services),
        CallerLimits(
            parsed.limits.max_header_bytes,
            parsed.limits.max_body_bytes,
            parsed.limits.header_timeout_ms / 1000,
            parsed.limits.idle_timeout_ms / 1000,
        ),
        tuple(
            DocumentCustomer(each.name, tuple(each.api_keys), each.priority)
            for each in parsed.tenants
        ),
    )


def _build_route(route: _Route) -> ForwardedRoute:
    kind = KINDS.get(route.kind)
    if kind is None:
        raise DocumentInvalid(f'route {route.name!r}: kind {route.kind!r}', step='read document')
    shares = tuple(ServiceShare(each.service, each.weight) for each in route.split)
    return ForwardedRoute(
        route.name,
        route.host,
        route.path_prefix,
        kind,
        shares or (ServiceShare(route.service, 1),),
        route.timeout_ms,
        route.target_latency_ms,
        route.target_gap_ms,
        route.priority,
        route.max_attempts,
        route.public,
        route.sticky,
        route.resumable,
    )


def _build_service(service: _Service) -> Service:
    engine, scaling = service.engine, service.scaling
    profile: EngineProfile | None = None
    bounds: FleetBounds | None = None
    if engine is not None:
        profile = EngineProfile(
            engine.slots,
            engine.kv_capacity_tokens,
            engine.kv_token_bytes,
            engine.link_mbps,
            engine.handle_ttl_s,
            engine.role_switch_s,
        )
    if scaling is not None:
        bounds = FleetBounds(
            scaling.min, scaling.max, scaling.boot_s, scaling.spot_price, scaling.zone_prices
        )
    return Service(service.name, service.health_path, service.max_conns, profile, bounds)
