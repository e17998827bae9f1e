"""Build the HTTP requests that carry orders."""

from __future__ import annotations

import msgspec

from shallotmux.authority import (
    ChangeRole,
    Intent,
    LoadAdapter,
    LoadModel,
    OrderEndpoints,
    ReleaseEndpoint,
)
from shallotmux.http import JSON_TYPE, HttpRequest

_HEADERS = {'content-type': JSON_TYPE}


def order_id(intent: Intent) -> str:
    """Return the id of an order, which is the same in all attempts."""
    return f'{intent.target}/{intent.sequence}'


def build_order(intent: Intent, address: str, term: int) -> HttpRequest:
    """Return the HTTP request for an order.

    :param address: address of the engine, or of the platform.
    :param term: term of the sender, which is the first part of the fencing token.
    """
    fencing = {'order_id': order_id(intent), 'term': term, 'sequence': intent.sequence}
    match intent.content:
        case ChangeRole(role):
            content = {'kind': 'role', 'content': {'role': role.value}}
        case LoadModel(model, version):
            content = {'kind': 'model', 'content': {'model': model, 'version': version}}
        case LoadAdapter(adapter):
            content = {'kind': 'adapter', 'content': {'adapter': adapter}}
        case OrderEndpoints(pool, count, cheap):
            zone = intent.target.partition('/')[2]
            order = {'zone': zone, 'pool': pool, 'count': count, 'cheap': cheap}
            return _post(address, '/endpoints', {**fencing, **order})
        case ReleaseEndpoint(endpoint):
            return HttpRequest(
                'DELETE',
                address,
                f'/endpoints/{endpoint}?operation_id={order_id(intent)}'
                f'&term={term}&sequence={intent.sequence}',
            )
    return _post(address, '/orders', {**fencing, **content})


def _post(address: str, path: str, content: dict[str, object]) -> HttpRequest:
    return HttpRequest('POST', address, path, msgspec.json.encode(content), _HEADERS)
