"""A whole configuration under one version: routes, services, limits and customers."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    #: May run more than once.
    SAFE = 'safe'
    #: Runs at most once for each request.
    UNSAFE = 'unsafe'
    #: A series of events; runs at most once unless the route is resumable.
    STREAMING = 'streaming'


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Part of a route's requests that goes to a service.

    :param weight: share of the requests, relative to the other weights of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class ForwardedRoute:
    """Requests to one host under one path prefix, and how they are forwarded.

    :param prefix: beginning of the path; it starts and ends with a slash.
    :param timeout_ms: longest time for which a caller is kept waiting.
    :param latency_objective_ms: time to the answer, or to the first event of a stream.
    :param gap_objective_ms: longest pause between two events of a stream; 0 when not set.
    :param priority: rank among the routes; 0 is the most urgent.
    :param max_attempts: endpoints that may run one request.
    :param is_open: whether requests need no key.
    :param has_prompt: whether requests carry the parts of their prompt.
    :param is_resumable: whether a broken stream may be continued elsewhere.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_ms: float
    latency_objective_ms: float = 0.0
    gap_objective_ms: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    is_open: bool = False
    has_prompt: bool = False
    is_resumable: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request of this route may run more than once."""
        return self.kind is RouteKind.SAFE or self.is_resumable


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Figures of the engines of a service.

    :param slots: requests that an engine runs at once.
    :param cache_tokens: tokens that fit into an engine's KV cache.
    :param token_bytes: bytes of KV cache for each token.
    :param link_mbps: bandwidth of the links over which KV cache is moved.
    :param handle_ttl_s: time for which the KV cache of a prefill is kept for its taker.
    :param role_change_s: time for which a role change takes an engine out of service.
    """

    slots: int
    cache_tokens: int
    token_bytes: int
    link_mbps: float
    handle_ttl_s: float
    role_change_s: float


@dataclass(frozen=True, slots=True)
class FleetBounds:
    """Bounds and prices of the endpoints of a service.

    :param min_per_zone: fewest endpoints in a zone.
    :param max_per_zone: most endpoints in a zone, cheap ones included.
    :param boot_s: time from an order to the first request.
    :param cheap_price: price of a reclaimable endpoint relative to others; 0 when there are none.
    :param zone_prices: price of an endpoint for each second, by zone.
    """

    min_per_zone: int
    max_per_zone: int
    boot_s: float
    cheap_price: float = 0.0
    zone_prices: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Service:
    """Endpoints that do the same work.

    :param health_path: path of the endpoints' health check.
    :param max_connections: connections that one endpoint accepts from all instances.
    :param engine: figures of the engines; None for a plain service.
    :param bounds: bounds of the fleet; None when it cannot be ordered.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineProfile | None = None
    bounds: FleetBounds | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send and how long it may take.

    :param header_timeout_s: time for the head of a request.
    :param idle_timeout_s: time for which a connection may stay without a request.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class KeyHolder:
    """A customer with the keys that it presents.

    :param priority: replaces the priority of the route if it is set.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class RouteDocument:
    """A complete configuration; the one with the highest version is in force."""

    version: int
    routes: tuple[ForwardedRoute, ...]
    services: tuple[Service, ...]
    limits: CallerLimits = CallerLimits()
    customers: tuple[KeyHolder, ...] = ()
