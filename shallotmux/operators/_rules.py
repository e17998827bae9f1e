"""Rules that a configuration object obeys beyond the types of its fields."""

from __future__ import annotations

import dataclasses
import math
import re
from collections.abc import Iterator

from shallotmux.authority import ConfigItem
from shallotmux.settings import is_address
from shallotmux.world import (
    Contract,
    Customer,
    Defaults,
    Endpoint,
    EndpointPool,
    PolicyException,
    Route,
    RouteKind,
)

#: A field and what is wrong with it.
Problem = tuple[str, str]

_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._:-]{0,99}')
#: Routes bear the names of models, which often contain a slash.
_ROUTE_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._:/-]{0,199}')
_NAME_HELP = 'letters, digits and . _ : - are allowed, at most 100'
_SUBJECT = re.compile('(customer|route|pool|zone)/.+')

#: Settings that an exception may override.
OVERRIDABLE = tuple(each.name for each in dataclasses.fields(Defaults) if each.name != 'name')


def check_item(item: ConfigItem) -> Iterator[Problem]:
    """Yield what is wrong with an object, field by field."""
    is_model = isinstance(item, Route) and item.kind == RouteKind.MODEL
    pattern = _ROUTE_NAME if is_model else _NAME
    if not pattern.fullmatch(item.name):
        yield 'name', _NAME_HELP
    match item:
        case Customer(contract=contract):
            yield from _check_amounts(contract, 'contract.')
        case Defaults():
            yield from _check_defaults(item)
        case EndpointPool():
            yield from _check_pool(item)
        case PolicyException():
            yield from _check_exception(item)
        case Route(pool=pool) if not _NAME.fullmatch(pool):
            yield 'pool', _NAME_HELP


def _check_amounts(holder: Contract | Defaults, where: str) -> Iterator[Problem]:
    for each in dataclasses.fields(holder):
        amount = getattr(holder, each.name)
        if isinstance(amount, (int, float)) and not _is_amount(amount):
            yield f'{where}{each.name}', f'must be a finite number of at least 0, not {amount}'


def _check_defaults(item: Defaults) -> Iterator[Problem]:
    if item.name != 'fleet':
        yield 'name', "there is one object of defaults, named 'fleet'"
    yield from _check_amounts(item, '')
    if item.cheap_share > 1:
        yield 'cheap_share', f'must be between 0 and 1, not {item.cheap_share}'


def _check_pool(item: EndpointPool) -> Iterator[Problem]:
    seen: set[str] = set()
    for number, endpoint in enumerate(item.endpoints):
        for field, problem in _check_endpoint(item, endpoint):
            yield f'endpoints.{number}.{field}', problem
        if endpoint.name in seen:
            yield f'endpoints.{number}.name', f'{endpoint.name!r} is listed twice'
        seen.add(endpoint.name)


def _check_endpoint(pool: EndpointPool, endpoint: Endpoint) -> Iterator[Problem]:
    if not _NAME.fullmatch(endpoint.name):
        yield 'name', _NAME_HELP
    if endpoint.zone != pool.zone:
        yield 'zone', f'must be the zone of the pool, {pool.zone!r}, not {endpoint.zone!r}'
    if not is_address(endpoint.address):
        yield 'address', f'must be an IP address and port, not {endpoint.address!r}'


def _check_exception(item: PolicyException) -> Iterator[Problem]:
    if not item.reason.strip():
        yield 'reason', 'a written reason is mandatory'
    if item.setting not in OVERRIDABLE:
        yield 'setting', f'allowed are {", ".join(OVERRIDABLE)}; found {item.setting!r}'
    if not _SUBJECT.fullmatch(item.subject):
        yield 'subject', 'must be customer/NAME, route/NAME, pool/NAME or zone/NAME'
    if not _is_amount(item.amount):
        yield 'amount', f'must be a finite number of at least 0, not {item.amount}'


def _is_amount(amount: float) -> bool:
    return math.isfinite(amount) and amount >= 0
