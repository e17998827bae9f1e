"""Validation of configuration objects beyond the types of their fields."""

from __future__ import annotations

import dataclasses
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

#: Largest amount. Floats hold all smaller integers exactly, and commands those of 64 bits.
MAX_AMOUNT = 1 << 53

#: Path of a field and a description of the error.
FieldError = tuple[str, str]

_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._:-]{0,99}')
#: Model routes have the names of models, which often contain a slash.
_ROUTE_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._:/-]{0,199}')
_NAME_HELP = 'letters, digits and . _ : - are allowed, at most 100'
_AMOUNT_HELP = 'must be a finite number of at least 0 and at most 2**53'
_SUBJECT = re.compile('(customer|route|pool|zone)/.+')

#: Defaults that an exception may override.
OVERRIDABLE = tuple(each.name for each in dataclasses.fields(Defaults) if each.name != 'name')


def check_item(item: ConfigItem) -> Iterator[FieldError]:
    """Yield the errors of an object, field by field."""
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


def _check_amounts(item: Contract | Defaults, prefix: str) -> Iterator[FieldError]:
    for each in dataclasses.fields(item):
        amount = getattr(item, each.name)
        if isinstance(amount, (int, float)) and not _is_valid_amount(amount):
            yield f'{prefix}{each.name}', f'{_AMOUNT_HELP}, not {amount}'


def _check_defaults(item: Defaults) -> Iterator[FieldError]:
    if item.name != 'fleet':
        yield 'name', "there is one object of defaults, named 'fleet'"
    yield from _check_amounts(item, '')
    if item.cheap_share > 1:
        yield 'cheap_share', f'must be between 0 and 1, not {item.cheap_share}'


def _check_pool(item: EndpointPool) -> Iterator[FieldError]:
    endpoint_names: set[str] = set()
    for index, endpoint in enumerate(item.endpoints):
        for field, problem in _check_endpoint(item, endpoint):
            yield f'endpoints.{index}.{field}', problem
        if endpoint.name in endpoint_names:
            yield f'endpoints.{index}.name', f'{endpoint.name!r} is listed twice'
        endpoint_names.add(endpoint.name)


def _check_endpoint(pool: EndpointPool, endpoint: Endpoint) -> Iterator[FieldError]:
    if not _NAME.fullmatch(endpoint.name):
        yield 'name', _NAME_HELP
    if endpoint.zone != pool.zone:
        yield 'zone', f'must be the zone of the pool, {pool.zone!r}, not {endpoint.zone!r}'
    if not is_address(endpoint.address):
        yield 'address', f'must be an IP address and port, not {endpoint.address!r}'


def _check_exception(item: PolicyException) -> Iterator[FieldError]:
    if not item.reason.strip():
        yield 'reason', 'a written reason is mandatory'
    if item.setting not in OVERRIDABLE:
        yield 'setting', f'allowed are {", ".join(OVERRIDABLE)}; found {item.setting!r}'
    if not _SUBJECT.fullmatch(item.subject):
        yield 'subject', 'must be customer/NAME, route/NAME, pool/NAME or zone/NAME'
    if not _is_valid_amount(item.amount):
        yield 'amount', f'must be a finite number of at least 0, not {item.amount}'


def _is_valid_amount(amount: float) -> bool:
    return 0 <= amount <= MAX_AMOUNT
