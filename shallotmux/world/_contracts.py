"""What customers have agreed: contracts, keys, routes, defaults and exceptions."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """What stands behind a route."""

    MODEL = 'model'
    SERVICE = 'service'


@dataclass(frozen=True, slots=True)
class Contract:
    """Limits and weight of one customer in one zone.

    :param weight: share of contended capacity relative to other customers.
    :param requests_per_s: sustained request rate, or 0 for no limit.
    :param tokens_per_s: sustained token rate, or 0 for no limit.
    :param connections: requests in progress on one instance.
    """

    weight: float = 1.0
    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    connections: int = 256


@dataclass(frozen=True, slots=True)
class Customer:
    """A firm or department whose requests are accounted together."""

    name: str
    contract: Contract = field(default_factory=Contract)


@dataclass(frozen=True, slots=True)
class CustomerKey:
    """A caller's key as it is stored.

    :param digest: keyed hash of the secret, in hexadecimal; the secret itself is never stored.
    """

    key_id: str
    customer: str
    digest: str
    withdrawn: bool = False


@dataclass(frozen=True, slots=True)
class Route:
    """A name under which callers reach a pool.

    :param name: the model name, or the path segment of a plain service.
    :param pool: name of the endpoint pool that serves the route.
    :param open_to_all: whether requests without a key are accepted.
    :param repeatable: whether a request may run more than once.
    """

    name: str
    pool: str
    kind: RouteKind = RouteKind.MODEL
    open_to_all: bool = False
    repeatable: bool = True


@dataclass(frozen=True, slots=True)
class Defaults:
    """Fleet-wide defaults that operators steer by.

    :param weight_goodput: relative weight of goodput in decisions.
    :param weight_worst_customer: relative weight of the worst-served customer.
    :param weight_spend: relative weight of endpoint spend.
    :param cheap_share: target share of repeatable tokens on cheap endpoints.
    """

    name: str = 'fleet'
    first_token_target_s: float = 0.74
    token_gap_target_s: float = 0.065
    weight_goodput: float = 1.0
    weight_worst_customer: float = 1.0
    weight_spend: float = 1.0
    cheap_share: float = 0.5


@dataclass(frozen=True, slots=True)
class PolicyException:
    """A deviation from the defaults for one object.

    :param subject: object it applies to, for example ``customer/tailors``.
    :param setting: name of the default that is overridden.
    :param reason: why, in the operator's words; never empty.
    """

    name: str
    subject: str
    setting: str
    amount: float
    reason: str
