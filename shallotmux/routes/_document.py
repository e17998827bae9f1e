"""Configuration document: routes, services, limits and customers under one version."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field


class RouteKind(enum.Enum):
    """Whether the requests of a route may be retried."""

    #: A request may run more than once.
    SAFE = 'safe'
    #: A request runs at most once.
    UNSAFE = 'unsafe'
    #: The answer is an event stream; a request runs at most once unless the route is resumable.
    STREAMING = 'streaming'


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Share of a route's requests that is forwarded to a service.

    :param weight: weight relative to the other shares of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class ForwardedRoute:
    """Forwarding rules for the requests to one host under one path prefix.

    :param prefix: path prefix; it starts and ends with a slash.
    :param timeout_ms: maximum time until a caller gets an answer.
    :param latency_objective_ms: objective for the time to the answer, or to the first event of a
        stream; 0 when not set.
    :param gap_objective_ms: objective for the time between two events of a stream; 0 when not set.
    :param priority: priority of the requests; 0 is the highest.
    :param max_attempts: maximum number of endpoints that may run one request.
    :param is_open: whether requests need no key.
    :param has_prompt: whether requests carry the parts of their prompt.
    :param is_resumable: whether a broken stream may be resumed at another endpoint.
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

    @property
    def has_resumable_streams(self) -> bool:
        """Return whether its answers are streams that another endpoint may continue."""
        return self.kind is RouteKind.STREAMING and self.is_resumable


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Properties of the engines of a service.

    :param slots: maximum number of concurrent requests of an engine.
    :param cache_tokens: capacity of an engine's KV cache in tokens.
    :param token_bytes: bytes of KV cache per token.
    :param link_mbps: bandwidth of the links over which KV cache is transferred.
    :param handle_ttl_s: time for which the KV cache of a prefill is kept for the decode engine.
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

    :param min_per_zone: minimum number of endpoints in a zone.
    :param max_per_zone: maximum number of endpoints in a zone, including cheap ones.
    :param boot_s: time from an order until the endpoint can serve requests.
    :param cheap_price: price of a cheap endpoint, which the platform may reclaim, relative to a
        regular one; 0 when there are none.
    :param zone_prices: price of a regular endpoint per second, by zone.
    """

    min_per_zone: int
    max_per_zone: int
    boot_s: float
    cheap_price: float = 0.0
    zone_prices: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Service:
    """Interchangeable endpoints.

    :param health_path: path of the endpoints' health check.
    :param max_connections: connections that one endpoint accepts from all instances together.
    :param engine: properties of the engines; None for a plain service.
    :param bounds: bounds of the fleet; None when its size is fixed.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineProfile | None = None
    bounds: FleetBounds | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits for the size and duration of callers' requests.

    :param header_bytes: maximum size of the header section.
    :param body_bytes: maximum size of the body.
    :param header_timeout_s: timeout for the header section.
    :param idle_timeout_s: timeout for connections without a request.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class QuotaUnit(enum.Enum):
    """What a quota counts."""

    TOKENS = 'tokens'
    REQUESTS = 'requests'


@dataclass(frozen=True, slots=True)
class CustomerQuota:
    """What a customer may use, over all instances together.

    :param rate_per_s: tokens or requests per second; positive.
    :param burst: tokens or requests beyond the rate.
    :param uncounted_tokens: tokens of a request that names no token counts.
    """

    rate_per_s: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    uncounted_tokens: float = 0.0

    def amount_of(self, tokens: int | None) -> float:
        """Return what a request counts as.

        :param tokens: tokens that the request names; None if it names none.
        """
        if self.unit is QuotaUnit.REQUESTS:
            return 1
        return self.uncounted_tokens if tokens is None else tokens


@dataclass(frozen=True, slots=True)
class DocumentCustomer:
    """A customer and its keys.

    :param priority: overrides the priority of the route if it is set.
    :param quota: what it may use; None without a limit.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    quota: CustomerQuota | None = None


@dataclass(frozen=True, slots=True)
class RouteDocument:
    """A complete configuration; the document with the highest version is current."""

    version: int
    routes: tuple[ForwardedRoute, ...]
    services: tuple[Service, ...]
    limits: CallerLimits = CallerLimits()
    customers: tuple[DocumentCustomer, ...] = ()
