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
    """

    name: str
    host: str
    seeds: tuple[str, ...]
    platform: str
    folder: str = ''
    bootstrap: bool = False
    grace_s: float = 8.0

    @property
    def callers(self) -> str:
        """Return the address for callers."""
        return f'{self.host}:{CALLER_PORT}'

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
        'bounds': {'grace-s': instance.grace_s},
    }
    return msgspec.json.encode(msgspec.convert(fields, PlatformFile))


def encode_listing(endpoints: tuple[ListedEndpoint, ...]) -> bytes:
    """Return the platform's list of endpoints, on one page."""
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
    return msgspec.json.encode({'instances': entries, 'next-token': None})


def encode_document(version: int, service: str, padding_routes: int = 0) -> bytes:
    """Return a configuration with a route for each kind, ``/safe/`` and ``/unsafe/``.

    :param padding_routes: further routes, which nobody uses.
    """
    kinds = ['safe', 'unsafe', *('safe' for _ in range(padding_routes))]
    routes = [
        {
            'name': f'r-{number}',
            'host': 'checks.example' if number < 2 else f'padding-{number}.example',
            'path-prefix': f'/{kind}/',
            'kind': kind,
            'timeout-ms': 3000,
            'target-latency-ms': 1000,
            'max-attempts': 3,
            'public': True,
            'service': service,
        }
        for number, kind in enumerate(kinds)
    ]
    services = [{'name': service, 'health-path': '/healthz', 'max-conns': 400}]
    return msgspec.json.encode({'version': version, 'routes': routes, 'services': services})


def read_document_version(content: bytes) -> int:
    """Return the version of a configuration."""
    return int(msgspec.json.decode(content)['version'])
