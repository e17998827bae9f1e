"""Encode what the platform sends to the programs, for stand-ins of it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from shallotmux.fleet import ListedEndpoint
from shallotmux.platform._settings import PlatformFile

#: Ports of every instance, and the first and last one for messages between instances.
CALLER_PORT, READY_PORT, OPERATOR_PORT = 8368, 8369, 8367
PEER_PORTS = (7780, 7795)


@dataclass(frozen=True, slots=True)
class SampleInstance:
    """What the platform tells one instance.

    :param host: IP address.
    :param seeds: IP addresses of control instances.
    :param folder: data folder; empty for an entry instance.
    :param platform: address of the platform.
    :param tolerated: number of control instances that may be lost at once.
    :param replacement_s: time after which a lost one does not count any more.
    """

    name: str
    host: str
    seeds: tuple[str, ...]
    platform: str
    folder: str = ''
    bootstrap: bool = False
    grace_s: float = 8.0
    tolerated: int = 1
    replacement_s: float = 4.0

    @property
    def callers(self) -> str:
        """Return the address for callers."""
        return f'{self.host}:{CALLER_PORT}'

    @property
    def peers(self) -> str:
        """Return the address for other instances."""
        return f'{self.host}:{PEER_PORTS[0]}'

    @property
    def readiness(self) -> str:
        """Return the address of the readiness page."""
        return f'{self.host}:{READY_PORT}'

    @property
    def operators(self) -> str:
        """Return the address for operators."""
        return f'{self.host}:{OPERATOR_PORT}'


def encode_settings(instance: SampleInstance) -> bytes:
    """Return the settings file of an instance."""
    listen: dict[str, str] = {'front': instance.callers, 'ready': instance.readiness}
    if instance.folder:
        listen = {'control': instance.operators}
    fields: dict[str, Any] = {
        'node-name': instance.name,
        'ip': instance.host,
        'zone': 'a',
        'serves': ['control' if instance.folder else 'front'],
        'listen': listen,
        'port-range': PEER_PORTS,
        'seeds': [f'{host}:{OPERATOR_PORT}' for host in instance.seeds],
        'cloud': {'address': instance.platform, 'duties': ['usage_report']},
        'bootstrap': instance.bootstrap,
        'data-dir': instance.folder or None,
        'bounds': {'grace-s': instance.grace_s, 'catch-up-s': instance.replacement_s},
        'tolerate': {'machines': instance.tolerated},
    }
    return msgspec.json.encode(msgspec.convert(fields, PlatformFile))


def encode_listing(endpoints: tuple[ListedEndpoint, ...], odd: tuple[bytes, ...] = ()) -> bytes:
    """Return the platform's list of endpoints, on one page.

    :param odd: encoded entries of other writers, which come first.
    """
    entries = [
        {
            'id': each.identity,
            'service': each.service,
            'address': each.address,
            'zone': each.zone,
            'version': each.software_version,
            'slots': each.slots,
            'state': 'draining' if each.is_leaving else 'ready',
            'cold-remaining-ms': 0,
        }
        for each in endpoints
    ]
    content = b','.join((*odd, *(msgspec.json.encode(each) for each in entries)))
    return b'{"instances":[%b],"next-token":null}' % content


def encode_document(
    version: int,
    service: str,
    padding_routes: int = 0,
    prefixes: tuple[str, ...] = (),
    keys: tuple[str, ...] = (),
) -> bytes:
    """Return a configuration with a route for each kind, ``/safe/``, ``/unsafe/`` and ``/stream/``.

    A fourth route, ``/keyed/``, needs one of the keys.

    :param padding_routes: further routes, which nobody uses.
    :param prefixes: further routes, for safe requests.
    """
    routes = [
        _sample_route('safe', '/safe/', service),
        _sample_route('unsafe', '/unsafe/', service),
        {**_sample_route('streaming', '/stream/', service), 'target-gap-ms': 2000},
        {**_sample_route('safe', '/keyed/', service), 'public': False},
        *(_sample_route('safe', prefix, service) for prefix in prefixes),
        *(
            _sample_route('safe', '/safe/', service, f'padding-{number}.example')
            for number in range(padding_routes)
        ),
    ]
    services = [{'name': service, 'health-path': '/healthz', 'max-conns': 400}]
    customers = [{'name': 'customer-1', 'api-keys': keys}] if keys else []
    return msgspec.json.encode(
        {'version': version, 'routes': routes, 'services': services, 'tenants': customers}
    )


def _sample_route(
    kind: str, prefix: str, service: str, host: str = 'checks.example'
) -> dict[str, Any]:
    return {
        'name': f'r-{host}{prefix}',
        'host': host,
        'path-prefix': prefix,
        'kind': kind,
        'timeout-ms': 3000,
        'target-latency-ms': 1000,
        'max-attempts': 3,
        'public': True,
        'service': service,
    }


def encode_invalid_documents(version: int, service: str, prefix: str) -> list[bytes]:
    """Return configurations that must be refused; each one would add a route."""
    valid: dict[str, Any] = msgspec.json.decode(encode_document(version, service, 0, (prefix,)))
    route = valid['routes'][-1]
    customer = {'name': 'customer-1', 'api-keys': ['key-shared']}

    def replace_route(**fields: Any) -> bytes:
        changed = {name.replace('_', '-'): value for name, value in fields.items()}
        return msgspec.json.encode(
            {**valid, 'routes': [*valid['routes'][:-1], {**route, **changed}]}
        )

    return [
        msgspec.json.encode(valid)[:-9],
        replace_route(service='missing'),
        replace_route(timeout_ms=0),
        replace_route(split=[{'service': service, 'weight': 0}]),
        msgspec.json.encode({**valid, 'routes': [*valid['routes'], {**route, 'name': 'r-other'}]}),
        msgspec.json.encode({**valid, 'tenants': [customer, {**customer, 'name': 'customer-2'}]}),
    ]


def read_document_version(content: bytes) -> int:
    """Return the version of a configuration."""
    return int(msgspec.json.decode(content)['version'])


def read_document_items(content: bytes) -> frozenset[str]:
    """Return the keys of a configuration, and the prefixes of its routes apart from padding."""
    document = msgspec.json.decode(content)
    routes = (each for each in document['routes'] if each['host'] == 'checks.example')
    customers = document.get('tenants') or ()
    keys = (key for each in customers for key in each['api-keys'])
    return frozenset((*(each['path-prefix'] for each in routes), *keys))
