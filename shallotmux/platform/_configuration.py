"""Decode the platform's configuration format."""

from __future__ import annotations

import math
from typing import TypeVar

import msgspec

from shallotmux.decoding import DECODE_ERRORS
from shallotmux.errors import DocumentInvalid
from shallotmux.platform._prompts import MAX_TOKENS
from shallotmux.routes import (
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

#: Scale of weights whose sum is not finite.
MAX_WEIGHT = 1e308

_Number = TypeVar('_Number', int, float)


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
    # Without a rate, there is no limit.
    rate_per_s: float = 0.0
    burst: float = 0.0
    unit: str | None = None
    # Tokens of a request without token counts.
    plain_tokens: float = 0.0


class _Configuration(msgspec.Struct, rename='kebab'):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


#: Largest numbers that have an effect; larger ones are valid and taken as these. A day is longer than any
#: request and any connection, and no service, fleet or limit comes near the others.
MAX_MS = 86_400_000.0
MAX_COUNT = 1 << 31
MAX_SIZE = 1 << 53
MAX_RATE = 1e12

#: Smallest bandwidth of a link, since times of transfers are divided by it.
MIN_LINK_MBPS = 1e-3

#: Smallest rate of a quota, since times of waiting are divided by it.
MIN_QUOTA_RATE = 1e-6

#: Unit of quotas that count tokens; with any other one they count requests.
TOKEN_UNIT = 'token_stream'

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
            _bound(parsed.limits.max_header_bytes, MAX_COUNT),
            _bound(parsed.limits.max_body_bytes, MAX_COUNT),
            _bound(parsed.limits.header_timeout_ms, MAX_MS) / 1000,
            _bound(parsed.limits.idle_timeout_ms, MAX_MS) / 1000,
        ),
        tuple(
            DocumentCustomer(
                each.name,
                tuple(each.api_keys),
                None if each.priority is None else _bound(each.priority, MAX_COUNT),
                _build_quota(each),
            )
            for each in parsed.tenants
        ),
    )


def _build_quota(tenant: _Tenant) -> CustomerQuota | None:
    if tenant.rate_per_s <= 0:
        return None
    return CustomerQuota(
        _bound(tenant.rate_per_s, MAX_RATE, MIN_QUOTA_RATE),
        _bound(tenant.burst, MAX_RATE),
        QuotaUnit.TOKENS if tenant.unit == TOKEN_UNIT else QuotaUnit.REQUESTS,
        _bound(tenant.plain_tokens, MAX_TOKENS),
    )


def _bound(number: _Number, most: _Number, least: _Number | None = None) -> _Number:
    """Return a number, or the nearest one in a range that begins with 0 unless ``least`` is given."""
    return min(max(number, type(number)(0) if least is None else least), most)


def _build_shares(split: list[_Split]) -> tuple[ServiceShare, ...]:
    """Return the shares of a route; only the ratios of their weights matter."""
    total = sum(each.weight for each in split)
    # Weights near the largest number add up to infinity.
    scale = 1.0 if math.isfinite(total) else 1 / MAX_WEIGHT
    return tuple(ServiceShare(each.service, each.weight * scale) for each in split)


def _build_route(route: _Route) -> ForwardedRoute:
    kind = KINDS.get(route.kind)
    if kind is None:
        raise DocumentInvalid(f'route {route.name!r}: kind {route.kind!r}', step='read document')
    shares = _build_shares(route.split)
    return ForwardedRoute(
        route.name,
        route.host,
        route.path_prefix,
        kind,
        shares or (ServiceShare(route.service, 1),),
        min(route.timeout_ms, MAX_MS),
        _bound(route.target_latency_ms, MAX_MS),
        _bound(route.target_gap_ms, MAX_MS),
        _bound(route.priority, MAX_COUNT),
        _bound(route.max_attempts, MAX_COUNT),
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
            _bound(engine.slots, MAX_COUNT),
            _bound(engine.kv_capacity_tokens, MAX_SIZE),
            _bound(engine.kv_token_bytes, MAX_SIZE),
            _bound(engine.link_mbps, MAX_RATE, MIN_LINK_MBPS),
            _bound(engine.handle_ttl_s, MAX_MS / 1000),
            _bound(engine.role_switch_s, MAX_MS / 1000),
        )
    if scaling is not None:
        bounds = FleetBounds(
            _bound(scaling.min, MAX_COUNT),
            _bound(scaling.max, MAX_COUNT),
            _bound(scaling.boot_s, MAX_MS / 1000),
            _bound(scaling.spot_price, MAX_RATE),
            {zone: _bound(price, MAX_RATE) for zone, price in scaling.zone_prices.items()},
        )
    return Service(
        service.name, service.health_path, _bound(service.max_conns, MAX_COUNT), profile, bounds
    )
