"""Zones of instances and stand-in back ends in one process."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from pathlib import Path

import trio

from shallotmux.authority import Authority
from shallotmux.daemon import Addresses, DaemonInstance
from shallotmux.http import AsgiApp, HttpClient, Listener, serve_app
from shallotmux.operators import (
    OperatorClient,
    build_object,
    plain_object,
    read_configuration,
)
from shallotmux.settings import (
    GroupSettings,
    InstanceSettings,
    ListenerSettings,
    SecretSettings,
    Settings,
)
from shallotmux.standins import EngineBehaviour, EngineStandin, ServiceStandin
from shallotmux.world import Endpoint, EndpointKind, EndpointPool

LOOPBACK = '127.0.0.1:0'
PEPPER = 'demonstration-pepper'
TOKEN = 'demonstration-token'  # noqa: S105
TOKEN_S = 0.01


@dataclass(frozen=True, slots=True)
class RunningInstance:
    """An instance with the addresses that it bound."""

    daemon: DaemonInstance
    addresses: Addresses


@dataclass(slots=True)
class DemoZone:
    """One availability zone.

    :param instances: instances behind the zone's load balancer, which takes them in turn.
    """

    name: str
    instances: list[RunningInstance] = field(default_factory=list)
    engines: dict[str, EngineStandin] = field(default_factory=dict)
    services: dict[str, ServiceStandin] = field(default_factory=dict)

    def entry(self, turn: int) -> str:
        """Return the caller address of the instance whose turn it is."""
        return self.instances[turn % len(self.instances)].addresses.callers

    def operator(self, client: HttpClient) -> OperatorClient:
        """Return a client of the operator API of the first instance."""
        return OperatorClient(client, self.instances[0].addresses.operators, TOKEN)


class DemoFleet:
    """Starts and stops zones.

    :param configuration: file that is applied in every zone; the addresses of its endpoints are
        replaced by those of stand-ins.
    """

    def __init__(self, nursery: trio.Nursery, configuration: Path) -> None:
        self._nursery = nursery
        self._configuration = configuration
        self._stop = trio.Event()
        self.zones: dict[str, DemoZone] = {}

    async def start_zone(
        self, name: str, instances: int = 1, authorities: list[Authority] | None = None
    ) -> DemoZone:
        """Start the instances of a zone.

        :param authorities: one for each instance; by default each has its own in memory, which is
            consistent for a single instance only.
        """
        zone = DemoZone(name)
        for number in range(instances):
            settings = _instance_settings(f'{name}-{number + 1}', name)
            authority = authorities[number] if authorities else None
            daemon = DaemonInstance(settings, authority=authority)
            addresses = await self._nursery.start(daemon.run)
            zone.instances.append(RunningInstance(daemon, addresses))
        self.zones[name] = zone
        return zone

    async def configure(self, zone: DemoZone, client: HttpClient) -> int:
        """Apply the configuration to a zone and return the number of objects."""
        operator = zone.operator(client)
        objects = read_configuration(self._configuration, zone.name)
        for place, plain in objects:
            item = build_object(place, plain)
            if isinstance(item, EndpointPool):
                item = replace(item, endpoints=await self._start_endpoints(zone, item))
            await operator.put(place, plain_object(item), 0)
        return len(objects)

    async def create_keys(self, zone: DemoZone, client: HttpClient) -> dict[str, tuple[str, str]]:
        """Create a key for each customer and return key id and secret by customer."""
        operator = zone.operator(client)
        keys = {}
        for customer in (await operator.view('customer'))['items']:
            created = await operator.create_key(customer['name'])
            keys[customer['name']] = (created['key_id'], created['secret'])
        return keys

    def stop(self) -> None:
        """Shut all instances down gracefully, and the stand-ins."""
        for zone in self.zones.values():
            for instance in zone.instances:
                instance.daemon.shut_down()
        self._stop.set()

    async def _start_endpoints(self, zone: DemoZone, pool: EndpointPool) -> tuple[Endpoint, ...]:
        started = []
        for endpoint in pool.endpoints:
            app = self._build_standin(zone, endpoint)
            listener = Listener(LOOPBACK, drain_s=1)
            address = await self._nursery.start(serve_app, app, listener, self._stop.wait)
            started.append(replace(endpoint, address=address))
        return tuple(started)

    def _build_standin(self, zone: DemoZone, endpoint: Endpoint) -> AsgiApp:
        if endpoint.kind == EndpointKind.SERVICE:
            zone.services[endpoint.name] = ServiceStandin(endpoint.name)
            return zone.services[endpoint.name]
        zone.engines[endpoint.name] = EngineStandin(endpoint.name, EngineBehaviour(token_s=TOKEN_S))
        return zone.engines[endpoint.name]


def _instance_settings(name: str, zone: str) -> Settings:
    return Settings(
        instance=InstanceSettings(name=name, zone=zone),
        listeners=ListenerSettings(callers=LOOPBACK, operators=LOOPBACK, metrics=LOOPBACK),
        secrets=SecretSettings(pepper=PEPPER, operator_token=TOKEN),
        groups=GroupSettings(standalone=True),
    )
