"""Tests of valid configurations with numbers far out of the usual."""

from __future__ import annotations

import copy
import json
import math
from collections.abc import Iterator
from dataclasses import asdict
from typing import Any

import msgspec
import pytest

from shallotmux.platform import decode_document
from shallotmux.routes import RouteTable, check_document, choose_service
from tests.platform.test_adapter import CONFIGURATION

#: Paths of the numbers of a configuration, except those for which there are rules of their own.
NUMBERS = (
    ('routes', 0, 'target-latency-ms'),
    ('routes', 0, 'target-gap-ms'),
    ('routes', 0, 'priority'),
    ('routes', 0, 'max-attempts'),
    ('services', 0, 'max-conns'),
    *(
        ('services', 0, 'engine', name)
        for name in (
            *('slots', 'kv-capacity-tokens', 'kv-token-bytes'),
            *('link-mbps', 'handle-ttl-s', 'role-switch-s'),
        )
    ),
    *(('services', 0, 'scaling', name) for name in ('min', 'max', 'boot-s', 'spot-price')),
    ('services', 0, 'scaling', 'zone-prices', 'a'),
    *(
        ('limits', name)
        for name in ('max-header-bytes', 'max-body-bytes', 'header-timeout-ms', 'idle-timeout-ms')
    ),
    *(('tenants', 0, name) for name in ('priority', 'rate-per-s', 'burst', 'plain-tokens')),
)

FLOATS = frozenset(
    (
        *('timeout-ms', 'target-latency-ms', 'target-gap-ms', 'link-mbps', 'handle-ttl-s'),
        *('role-switch-s', 'boot-s', 'spot-price', 'a', 'header-timeout-ms', 'idle-timeout-ms'),
        *('rate-per-s', 'burst', 'plain-tokens'),
    )
)


def encode_with(path: tuple[Any, ...], number: float) -> bytes:
    """Return a configuration with one number set."""
    changed: Any = copy.deepcopy(CONFIGURATION)
    place = changed
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = number
    return json.dumps(changed).encode()


def list_numbers(tree: object) -> Iterator[float]:
    """Yield all numbers in nested containers."""
    match tree:
        case bool():
            return
        case int() | float():
            yield tree
        case dict():
            for each in tree.values():
                yield from list_numbers(each)
        case list() | tuple():
            for each in tree:
                yield from list_numbers(each)


@pytest.mark.parametrize('path', NUMBERS, ids=lambda path: '.'.join(map(str, path)))
@pytest.mark.parametrize('number', [10**300, -(10**300), 2**64, -1, 0])
def test_number_far_out_of_the_usual_can_be_used(path: tuple[Any, ...], number: float) -> None:
    """Guards against a configuration that is acknowledged and then fails where its numbers are used.

    A negative time limit of the head closed each connection without an answer.
    """
    document = decode_document(encode_with(path, float(number) if path[-1] in FLOATS else number))
    check_document(document)
    numbers = tuple(list_numbers(asdict(document)))
    assert all(0 <= each < 2**63 and math.isfinite(each) for each in numbers)
    assert msgspec.msgpack.encode(numbers)
    engine = document.services[0].engine
    assert engine is None or engine.link_mbps > 0


@pytest.mark.parametrize('number', [5e-324, 2**64, 10**300, 1.7e308])
def test_timeout_far_out_of_the_usual_can_be_used(number: float) -> None:
    """Guards against a valid timeout that is refused, or too long to be passed on to endpoints."""
    document = decode_document(encode_with(('routes', 0, 'timeout-ms'), number))
    check_document(document)
    assert 0 < document.routes[0].timeout_ms <= 86_400_000


def test_weights_whose_sum_is_not_finite_keep_their_ratio() -> None:
    """Guards against a split of a route that sends everything to one service."""
    changed = copy.deepcopy(CONFIGURATION)
    changed['services'].append({'name': 'other'})
    changed['routes'][0].pop('service')
    changed['routes'][0]['split'] = [
        {'service': changed['services'][0]['name'], 'weight': 1.5e308},
        {'service': 'other', 'weight': 0.5e308},
    ]
    document = decode_document(json.dumps(changed).encode())
    check_document(document)
    route = RouteTable(document).document.routes[0]
    chosen = [choose_service(route, draw / 100) for draw in range(100)]
    assert 74 <= chosen.count(changed['services'][0]['name']) <= 76
