"""Tests of daemons that form a fleet over loopback sockets."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import pytest
import trio

from shallotmux.daemon import FLEET_GROUP, ZONE_PREFIX, Addresses, DaemonInstance, InstanceGroups
from shallotmux.errors import SettingsError
from shallotmux.http import HttpcoreClient, HttpRequest, fetch
from shallotmux.replication import ReplicaOptions
from shallotmux.settings import (
    InstanceSettings,
    ListenerSettings,
    PeerSettings,
    SecretSettings,
    Settings,
)
from shallotmux.transport import GrpcPeerNetwork

LOOPBACK = '127.0.0.1:0'
OPERATOR_TOKEN = 'operators-of-the-fleet'
TEST_TIMEOUT_S = 40
MAX_BODY_BYTES = 100_000
ZONE = 'zone-a'
INSTANCE_NAMES = ('entry-1', 'entry-2', 'entry-3')


def fleet_settings(name: str, folder: Path) -> Settings:
    """Return the settings of one instance of a zone of three."""
    peers = tuple(
        PeerSettings(name=each, zone=ZONE, address=LOOPBACK, has_disk=True)
        for each in INSTANCE_NAMES
    )
    return Settings(
        instance=InstanceSettings(name=name, zone=ZONE, data_folder=str(folder / name)),
        listeners=ListenerSettings(callers=LOOPBACK, operators=LOOPBACK),
        secrets=SecretSettings(pepper='p' * 16, operator_token=OPERATOR_TOKEN),
        peers=peers,
    )


@dataclass
class Fleet:
    """Daemons in one process; their addresses are known once the ports are bound."""

    nursery: trio.Nursery
    folder: Path
    ports: dict[str, str] = field(
        default_factory=lambda: dict.fromkeys(INSTANCE_NAMES, '127.0.0.1:1')
    )
    daemons: dict[str, DaemonInstance] = field(default_factory=dict)
    addresses: dict[str, Addresses] = field(default_factory=dict)
    scopes: dict[str, trio.CancelScope] = field(default_factory=dict)
    client: HttpcoreClient = field(default_factory=HttpcoreClient)

    async def start(self, name: str, *bootstrap: str) -> None:
        """Start a daemon."""
        await self.nursery.start(self._run, name, bootstrap)

    def leader(self) -> str:
        """Return the name of the zone group's leader, or an empty string."""
        for name, daemon in self.daemons.items():
            if daemon.authority.leadership().is_leader:
                return name
        return ''

    def has_voters(self, count: int) -> bool:
        """Return whether all instances agree that the zone group has that many voters."""
        members = [each.groups.members[ZONE_PREFIX + ZONE] for each in self.daemons.values()]
        configurations = {each.driver.status().configuration for each in members}
        return (
            bool(self.leader())
            and len(configurations) == 1
            and len(configurations.pop().voters) == count
        )

    async def wait_until(self, condition: Callable[[], object]) -> None:
        """Wait for a condition."""
        while not condition():
            await trio.sleep(0.02)

    async def call(self, name: str, method: str, path: str, content: object = None) -> object:
        """Send a request to an instance's operator interface."""
        headers = {
            'authorization': f'Bearer {OPERATOR_TOKEN}',
            'shallotmux-operation-id': f'{method}{path}',
            'if-match': '0',
        }
        body = b'' if content is None else msgspec.json.encode(content)
        request = HttpRequest(method, self.addresses[name].operators, path, body, headers)
        status, response_body = await fetch(self.client, request, MAX_BODY_BYTES)
        assert status == 200, response_body
        return msgspec.json.decode(response_body)

    async def request_completion(self, name: str, secret: str) -> int:
        """Send a caller's request, and return the status of the response."""
        headers = {'authorization': f'Bearer {secret}'}
        body = msgspec.json.encode(
            {'model': 'none', 'messages': [{'role': 'user', 'content': 'x'}]}
        )
        path = '/v1/chat/completions'
        request = HttpRequest('POST', self.addresses[name].callers, path, body, headers)
        return (await fetch(self.client, request, MAX_BODY_BYTES))[0]

    async def _run(
        self, name: str, bootstrap: tuple[str, ...], task_status: trio.TaskStatus[None]
    ) -> None:
        settings = fleet_settings(name, self.folder)
        network = GrpcPeerNetwork(name, LOOPBACK, self.ports, None)
        groups = InstanceGroups(settings, bootstrap, network)
        daemon = DaemonInstance(settings, groups=groups)
        with trio.CancelScope() as scope:
            self.scopes[name] = scope
            async with trio.open_nursery() as nursery:
                self.addresses[name] = await nursery.start(daemon.run)
                self.ports[name] = daemon.peer_address
                self.daemons[name] = daemon
                task_status.started()
        self.daemons.pop(name)


async def test_three_daemons_share_keys_and_survive_loss_of_leader(tmp_path: Path) -> None:
    """Guards against daemons that do not form one zone over real sockets."""
    with trio.fail_after(TEST_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, tmp_path)
            await fleet.start('entry-1', FLEET_GROUP, ZONE_PREFIX + ZONE)
            await fleet.start('entry-2')
            await fleet.start('entry-3')
            await fleet.wait_until(lambda: fleet.has_voters(3))
            await fleet.call('entry-2', 'PUT', '/v1/customer/tailors', {'name': 'tailors'})
            created = await fleet.call('entry-3', 'POST', '/v1/customer/tailors/keys')
            revision = created['revision']
            await fleet.wait_until(
                lambda: all(
                    each.authority.read().revision >= revision for each in fleet.daemons.values()
                )
            )
            # With a valid key the response is 404 for the missing route, with an invalid one 401.
            assert [
                await fleet.request_completion(name, created['secret']) for name in INSTANCE_NAMES
            ] == [
                404,
                404,
                404,
            ]
            fleet.scopes[fleet.leader()].cancel()
            await fleet.wait_until(lambda: len(fleet.daemons) == 2)
            survivor = min(fleet.daemons)
            await fleet.call(survivor, 'DELETE', f'/v1/key/{created["key_id"]}')
            assert await fleet.request_completion(survivor, created['secret']) == 401
            await fleet.client.close()
            nursery.cancel_scope.cancel()


async def test_shutdown_transfers_leadership(tmp_path: Path) -> None:
    """Guards against a planned restart of the leader that blocks changes until an election."""
    with trio.fail_after(TEST_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, tmp_path)
            await fleet.start('entry-1', FLEET_GROUP, ZONE_PREFIX + ZONE)
            await fleet.start('entry-2')
            await fleet.start('entry-3')
            await fleet.wait_until(lambda: fleet.has_voters(3))
            leader = fleet.leader()
            zone = fleet.daemons[leader].groups.members[ZONE_PREFIX + ZONE]
            await fleet.wait_until(lambda: len(zone.table.members(trio.current_time())) == 2)
            fleet.daemons[leader].shut_down()
            await fleet.wait_until(lambda: leader not in fleet.daemons)
            # The successor leads once a voter has answered its first heartbeat, which an election would
            # not start within this time.
            with trio.fail_after(ReplicaOptions().election_min_s):
                await fleet.wait_until(fleet.leader)
            nursery.cancel_scope.cancel()


async def test_settings_without_peers_require_standalone() -> None:
    """Guards against an instance that silently starts a fleet of its own."""
    settings = Settings(
        instance=InstanceSettings(name='entry-1', zone=ZONE),
        secrets=SecretSettings(pepper='p' * 16, operator_token=OPERATOR_TOKEN),
    )
    with pytest.raises(SettingsError, match='standalone'):
        DaemonInstance(settings)


async def test_bootstrap_of_unknown_group_is_refused(tmp_path: Path) -> None:
    """Guards against a misspelt group name that leaves the intended group not bootstrapped."""
    with pytest.raises(SettingsError, match='zone/zone-b'):
        InstanceGroups(fleet_settings('entry-1', tmp_path), ('zone/zone-b',))
