"""Zones of instances and stand-in endpoints in one process."""

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
OPERATOR_TOKEN = 'demonstration-token'  # noqa: S105
TOKEN_INTERVAL_S = 0.01

#: Number of instances in each zone; only the first one has a disk.
INSTANCES_PER_ZONE = 3

#: Placeholder for the peer addresses, which the in-memory transport does not use.
UNUSED_PEER_ADDRESS = '127.0.0.1:1'

#: Timeout for all instances to catch up with their groups, in seconds.
READY_TIMEOUT_S = 20.0

#: Interval between checks for readiness, in seconds.
READY_POLL_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class RunningInstance:
    """An instance with the addresses that it is bound to."""

    name: str
    daemon: DaemonInstance
    addresses: Addresses


@dataclass(slots=True)
class DemoZone:
    """One availability zone.

    :param instances: instances, used in turn as by the load balancer of the zone.
    :param engines: stand-in engines by endpoint name.
    :param services: stand-in services by endpoint name.
    """

    name: str
    instances: list[RunningInstance] = field(default_factory=list)
    engines: dict[str, EngineStandin] = field(default_factory=dict)
    services: dict[str, ServiceStandin] = field(default_factory=dict)

    def caller_address(self, index: int) -> str:
        """Return the address for callers of the next instance in round-robin order."""
        return self.instances[index % len(self.instances)].addresses.callers

    def operator_client(self, client: HttpClient) -> OperatorClient:
        """Return a client for the operator API of the first instance."""
        return OperatorClient(client, self.instances[0].addresses.operators, OPERATOR_TOKEN)

    def status(self) -> StatusProvider:
        """Return the status of the fleet as seen by the first instance."""
        return self.instances[0].daemon.providers.status


class DemoFleet:
    """Starts and stops zones whose instances communicate through memory.

    :param configuration: file that is applied in every zone, with the addresses of its endpoints
        replaced by those of stand-ins.
    :param folder: parent of the data folders of the instances.
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
        """Start all zones and wait until every instance has caught up with its groups.

        :param background: nursery of the links, which must outlive the instances.
        :raises trio.TooSlowError: if the instances are not ready before the timeout.
        """
        background.start_soon(self._fabric.run)
        for name in self._names:
            self.zones[name] = await self._start_zone(name)
        with trio.fail_after(READY_TIMEOUT_S):
            while not all(_is_ready(each) for each in self._instances()):
                await trio.sleep(READY_POLL_INTERVAL_S)

    def isolate(self, name: str) -> None:
        """Partition a zone from all others."""
        for inside in self.zones[name].instances:
            for outside in self._instances():
                if outside not in self.zones[name].instances:
                    self._fabric.partition(inside.name, outside.name)

    def heal(self) -> None:
        """Restore all links."""
        self._fabric.heal()

    async def configure(self, zone: DemoZone, client: HttpClient) -> int:
        """Apply the configuration to a zone and return the number of its objects."""
        operator_client = zone.operator_client(client)
        objects = read_configuration(self._configuration, zone.name)
        for object_name, fields in objects:
            if object_name.kind in FLEET_KINDS and zone.name != self._names[0]:
                continue
            built_object = build_object(object_name, fields)
            if isinstance(built_object, EndpointPool):
                built_object = replace(
                    built_object, endpoints=await self._start_endpoints(zone, built_object)
                )
            await operator_client.put(object_name, object_to_builtins(built_object), 0)
        return len(objects)

    async def create_keys(self, zone: DemoZone, client: HttpClient) -> dict[str, tuple[str, str]]:
        """Create a key for each customer and return the key id and secret by customer."""
        operator_client = zone.operator_client(client)
        keys = {}
        for customer in (await operator_client.view('customer'))['items']:
            created = await operator_client.create_key(customer['name'])
            keys[customer['name']] = (created['key_id'], created['secret'])
        return keys

    def stop(self) -> None:
        """Start the graceful shutdown of all instances and stop the stand-ins."""
        for zone in self.zones.values():
            for instance in zone.instances:
                instance.daemon.shut_down()
        self._stop.set()

    async def _start_zone(self, name: str) -> DemoZone:
        zone = DemoZone(name)
        for number in range(1, INSTANCES_PER_ZONE + 1):
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
                name=f'{each}-{number}',
                zone=each,
                address=UNUSED_PEER_ADDRESS,
                has_disk=number == 1,
            )
            for each in self._names
            for number in range(1, INSTANCES_PER_ZONE + 1)
        )
        return Settings(
            instance=InstanceSettings(name=name, zone=zone, data_folder=str(self._folder / name)),
            listeners=ListenerSettings(callers=LOOPBACK, operators=LOOPBACK, metrics=LOOPBACK),
            secrets=SecretSettings(pepper=PEPPER, operator_token=OPERATOR_TOKEN),
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
        zone.engines[endpoint.name] = EngineStandin(
            endpoint.name, EngineBehaviour(token_s=TOKEN_INTERVAL_S)
        )
        return zone.engines[endpoint.name]


def _is_ready(instance: RunningInstance) -> bool:
    groups = instance.daemon.groups
    return groups is not None and all(
        member.authority.is_fresh() for member in groups.members.values()
    )
