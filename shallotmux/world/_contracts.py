"""Customers with their contracts and keys, routes, defaults and exceptions."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """Kind of back end that a route leads to."""

    MODEL = 'model'
    SERVICE = 'service'


@dataclass(frozen=True, slots=True)
class Contract:
    """Limits and weight of one customer in one zone.

    :param weight: share of contended capacity relative to other customers.
    :param requests_per_s: sustained request rate, or 0 for no limit.
    :param tokens_per_s: sustained token rate, or 0 for no limit.
    :param connections: maximum number of requests in progress on one instance.
    """

    weight: float = 1.0
    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    connections: int = 256


@dataclass(frozen=True, slots=True)
class Customer:
    """An organisation or department whose requests are accounted together."""

    name: str
    contract: Contract = field(default_factory=Contract)


@dataclass(frozen=True, slots=True)
class CustomerKey:
    """A stored caller key.

    :param digest: hexadecimal keyed hash of the secret; the secret itself is never stored.
    """

    key_id: str
    customer: str
    digest: str
    withdrawn: bool = False


@dataclass(frozen=True, slots=True)
class Route:
    """A name under which callers address a pool.

    :param name: model name, or path segment of a plain service.
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
    """Fleet-wide defaults of operating targets and weights.

    :param first_token_target_s: target time to the first token in seconds.
    :param token_gap_target_s: target time between tokens in seconds.
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
    """An override of a default for one object.

    :param subject: object it applies to, for example ``customer/tailors``.
    :param setting: name of the overridden default.
    :param amount: value that replaces the default.
    :param reason: reason given by the operator; never empty.
    """

    name: str
    subject: str
    setting: str
    amount: float
    reason: str
