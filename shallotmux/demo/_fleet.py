"""Zones of instances and stand-in back ends in one process."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random

import trio

from shallotmux.authority import FLEET_KINDS
from shallotmux.daemon import (
    FLEET_GROUP,
    ZONE_PREFIX,
    Addresses,
    DaemonInstance,
    InstanceGroups,
)
from shallotmux.http import AsgiApp, HttpClient, Listener, serve_app
from shallotmux.operators import (
    OperatorClient,
    StatusProvider,
    build_object,
    object_to_builtins,
    read_configuration,
)
from shallotmux.settings import (
    InstanceSettings,
    ListenerSettings,
    PeerSettings,
    SecretSettings,
    Settings,
)
from shallotmux.standins import EngineBehaviour, EngineStandin, ServiceStandin
from shallotmux.transport import MemoryPeerFabric
from shallotmux.world import Endpoint, EndpointKind, EndpointPool

LOOPBACK = '127.0.0.1:0'
PEPPER = 'demonstration-pepper'
TOKEN = 'demonstration-token'  # noqa: S105
TOKEN_S = 0.01

#: Instances in each zone; the first one has a disk.
INSTANCES = 3

#: Address of peers that talk through memory.
NO_ADDRESS = '127.0.0.1:1'

#: Time in which all instances must follow their groups.
READY_S = 20.0

#: Interval at which a condition is looked at.
CHECK_S = 0.05


@dataclass(frozen=True, slots=True)
class RunningInstance:
    """An instance with the addresses that it bound."""

    name: str
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

    def status(self) -> StatusProvider:
        """Return what the first instance knows of the fleet."""
        return self.instances[0].daemon.providers.status


class DemoFleet:
    """Starts and stops zones whose instances reach each other through memory.

    :param configuration: file that is applied in every zone; the addresses of its endpoints are
        replaced by those of stand-ins.
    :param folder: receives the data folders of the instances with disks.
    """

    def __init__(
        self, nursery: trio.Nursery, configuration: Path, folder: Path, zones: tuple[str, ...]
    ) -> None:
        self._nursery = nursery
        self._configuration = configuration
        self._folder = folder
        self._names = zones
        self._stop = trio.Event()
        self._fabric = MemoryPeerFabric(Random(1))  # noqa: S311
        self.zones: dict[str, DemoZone] = {}

    async def start(self, background: trio.Nursery) -> None:
        """Start all zones and wait until every instance follows its groups.

        :param background: runs the links, which must outlast the instances.
        :raises trio.TooSlowError: if the groups do not come up in time.
        """
        background.start_soon(self._fabric.run)
        for name in self._names:
            self.zones[name] = await self._start_zone(name)
        with trio.fail_after(READY_S):
            while not all(_is_ready(each) for each in self._instances()):
                await trio.sleep(CHECK_S)

    def cut_off(self, name: str) -> None:
        """Break the links between a zone and all others."""
        for own in self.zones[name].instances:
            for other in self._instances():
                if other not in self.zones[name].instances:
                    self._fabric.partition(own.name, other.name)

    def heal(self) -> None:
        """Restore all links."""
        self._fabric.heal()

    async def configure(self, zone: DemoZone, client: HttpClient) -> int:
        """Apply the configuration to a zone and return the number of objects."""
        operator = zone.operator(client)
        objects = read_configuration(self._configuration, zone.name)
        for place, plain in objects:
            if place.kind in FLEET_KINDS and zone.name != self._names[0]:
                continue
            item = build_object(place, plain)
            if isinstance(item, EndpointPool):
                item = replace(item, endpoints=await self._start_endpoints(zone, item))
            await operator.put(place, object_to_builtins(item), 0)
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

    async def _start_zone(self, name: str) -> DemoZone:
        zone = DemoZone(name)
        for number in range(1, INSTANCES + 1):
            settings = self._instance_settings(f'{name}-{number}', name)
            bootstrap = [ZONE_PREFIX + name] if number == 1 else []
            if number == 1 and name == self._names[0]:
                bootstrap.append(FLEET_GROUP)
            network = self._fabric.network(settings.instance.name)
            groups = InstanceGroups(settings, bootstrap, network)
            daemon = DaemonInstance(settings, groups=groups)
            addresses = await self._nursery.start(daemon.run)
            zone.instances.append(RunningInstance(settings.instance.name, daemon, addresses))
        return zone

    def _instances(self) -> list[RunningInstance]:
        return [each for zone in self.zones.values() for each in zone.instances]

    def _instance_settings(self, name: str, zone: str) -> Settings:
        peers = tuple(
            PeerSettings(
                name=f'{each}-{number}', zone=each, address=NO_ADDRESS, has_disk=number == 1
            )
            for each in self._names
            for number in range(1, INSTANCES + 1)
        )
        return Settings(
            instance=InstanceSettings(name=name, zone=zone, data_folder=str(self._folder / name)),
            listeners=ListenerSettings(callers=LOOPBACK, operators=LOOPBACK, metrics=LOOPBACK),
            secrets=SecretSettings(pepper=PEPPER, operator_token=TOKEN),
            peers=peers,
        )

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


def _is_ready(instance: RunningInstance) -> bool:
    groups = instance.daemon.groups
    return groups is not None and all(
        member.authority.is_fresh() for member in groups.members.values()
    )
