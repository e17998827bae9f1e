"""A zone of three daemon processes with stand-in back ends on loopback."""

from __future__ import annotations

import json
import re
import signal
from collections import Counter
from collections.abc import AsyncIterator, Iterator, Sequence
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from secrets import randbelow
from typing import Any

import msgspec
import trio

from shallotmux.checking.processes._child import (
    POLL_INTERVAL_S,
    WAIT_TIMEOUT_S,
    Child,
    ProcessEnded,
    start_child,
    wait_until,
)
from shallotmux.errors import EndpointError
from shallotmux.http import HttpcoreClient, HttpRequest, fetch
from shallotmux.operators import ObjectName, OperatorClient

ZONE = 'zone-a'
GROUP_NAMES = ('fleet', f'zone/{ZONE}')
INSTANCE_NAMES = ('entry-1', 'entry-2', 'entry-3')
INSTANCES_WITH_DISK = frozenset(INSTANCE_NAMES[:2])
ENGINE_NAMES = ('e1', 'e2', 'e3')
OPERATOR_TOKEN = 'operator-token-of-the-checks'  # noqa: S105
CUSTOMER = 'tailors'
MODEL = 'sorter'
SERVICE = 'booking'
MAX_BODY_BYTES = 10_000_000

#: Prefix of customers that are created to test whether changes are accepted.
READY_PREFIX = 'ready-'

#: Number of values of an address byte; the first and the last value are not used.
BYTE_VALUES = 256

#: Port of the first instance for its peers, below the range from which systems choose ports.
FIRST_PEER_PORT = 17_700

#: Attempts to start a daemon before its ports are considered unavailable.
START_ATTEMPTS = 5

#: Matches the log line ``shallotmux:membership-change`` for a learner that becomes a voter.
PROMOTION_PATTERN = re.compile(r"PromoteLearner\([^')]*'([^']+)'")


def choose_host() -> str:
    """Return a random loopback address that no other cluster is likely to use.

    On a shared address, the port of a stopped daemon could be reused by a daemon of another
    cluster or by an outgoing connection, and callers would reach the wrong process.
    """
    parts = (randbelow(BYTE_VALUES - 2) + 1 for _ in range(3))
    return '127.{0}.{1}.{2}'.format(*parts)


def choose_peer_addresses(host: str, names: Sequence[str]) -> dict[str, str]:
    """Return the address of each instance for its peers.

    Daemons choose their other ports by the system. If a peer port came from the same range, a daemon
    that starts earlier could take the one of a later daemon, which then could not start.
    """
    return {name: f'{host}:{FIRST_PEER_PORT + number}' for number, name in enumerate(names)}


@dataclass(frozen=True, slots=True)
class Daemon:
    """A running daemon and the addresses of its listeners."""

    child: Child
    callers: str
    operators: str
    metrics: str


@dataclass
class Cluster:
    """Daemons and stand-in back ends of one zone.

    :param host: loopback address of all processes.
    :param engines: addresses of the engine stand-ins.
    :param service: address of the plain service stand-in.
    :param secret: secret of the customer's key.
    :param open_streams: number of streams that callers are reading, by instance.
    """

    nursery: trio.Nursery
    folder: Path
    host: str = field(default_factory=choose_host)
    engines: list[str] = field(default_factory=list)
    service: str = ''
    secret: str = ''
    client: HttpcoreClient = field(default_factory=HttpcoreClient)
    daemons: dict[str, Daemon] = field(default_factory=dict)
    peers: dict[str, str] = field(default_factory=dict)
    children: list[Child] = field(default_factory=list)
    #: Promotions to expect: one for the second instance with a disk, and one for each start
    #: of an instance without a disk.
    expected_voters: int = 1
    change_numbers: Iterator[int] = field(default_factory=count)
    open_streams: Counter[str] = field(default_factory=Counter)

    def operator(self, name: str) -> OperatorClient:
        """Return a client of the operator API of an instance."""
        return OperatorClient(self.client, self.daemons[name].operators, OPERATOR_TOKEN)

    async def start_standins(self) -> None:
        """Start the engines and the plain service."""
        kinds = (*('engine' for _ in ENGINE_NAMES), 'service')
        children = [
            await start_child(self.nursery, 'shallotmux.standins', kind, '--bind', f'{self.host}:0')
            for kind in kinds
        ]
        addresses = [await child.read_first_line() for child in children]
        self.service = addresses.pop()
        self.engines = addresses

    async def start_daemons(self) -> None:
        """Start all daemons with empty data folders."""
        self.peers = choose_peer_addresses(self.host, INSTANCE_NAMES)
        await self.start(INSTANCE_NAMES[0], *GROUP_NAMES)
        for name in INSTANCE_NAMES[1:]:
            await self.start(name)
        await self.wait_until_ready()

    async def start(self, name: str, *bootstrap: str) -> None:
        """Start a daemon, with retries while its peer port is in use."""
        arguments = ['--settings', self._write_settings(name)]
        for group in bootstrap:
            arguments.extend(('--bootstrap', group))
        for _ in range(START_ATTEMPTS):
            child = await start_child(self.nursery, 'shallotmux.daemon', *arguments)
            try:
                started = await child.wait_for_message('shallotmux:daemon:started')
            except ProcessEnded:
                continue
            self.children.append(child)
            self.expected_voters += name not in INSTANCES_WITH_DISK
            self.daemons[name] = Daemon(
                child, started['callers'], started['operators'], started['metrics']
            )
            return
        raise ProcessEnded(f'{name} did not start in {START_ATTEMPTS} attempts', step='start')

    async def stop(self, name: str, signum: signal.Signals) -> tuple[float, int]:
        """Send a signal to a daemon; return the seconds until its exit and the exit code."""
        return await self.daemons[name].child.stop(signum)

    async def wait_until_ready(self) -> None:
        """Wait until all instances are ready and are voters, so that any one of them may fail.

        An instance without a disk becomes a voter under a new identity after each start. Leaders
        log a promotion when they propose it; a change accepted afterwards shows it is committed.
        """
        await wait_until(lambda: len(self.promoted_identities()) >= self.expected_voters)
        with trio.fail_after(WAIT_TIMEOUT_S):
            for name in INSTANCE_NAMES:
                while not await self.is_ready(name):
                    await trio.sleep(POLL_INTERVAL_S)
            object_name = ObjectName('customer', f'{READY_PREFIX}{next(self.change_numbers)}')
            await self.operator(INSTANCE_NAMES[0]).put(object_name, {}, 0)

    def promoted_identities(self) -> frozenset[str]:
        """Return the identities that leaders have promoted to voters of the zone group."""
        return frozenset(
            match[1]
            for child in self.children
            for line in child.lines
            if GROUP_NAMES[1] in line.decode()
            and (match := PROMOTION_PATTERN.search(line.decode()))
        )

    @contextmanager
    def count_stream(self, name: str) -> Iterator[None]:
        """Count a stream as open through an instance."""
        self.open_streams[name] += 1
        try:
            yield
        finally:
            self.open_streams[name] -= 1

    async def is_ready(self, name: str) -> bool:
        """Return whether an instance is ready."""
        request = HttpRequest('GET', self.daemons[name].metrics, '/readyz')
        try:
            return (await fetch(self.client, request, MAX_BODY_BYTES))[0] == 200
        except EndpointError:
            return False

    async def leader(self) -> str:
        """Return the name of the zone group's leader, once all instances agree on it."""
        leaders = {''}
        with trio.fail_after(WAIT_TIMEOUT_S):
            while len(leaders) > 1 or not all(leaders):
                leaders = {await self._read_known_leader(name) for name in INSTANCE_NAMES}
                await trio.sleep(POLL_INTERVAL_S)
        return leaders.pop()

    async def configure(self) -> None:
        """Create the customer, its key, and routes to the engines and to the service."""
        operator = self.operator(INSTANCE_NAMES[0])
        await operator.put(ObjectName('customer', CUSTOMER), {}, 0)
        engines = list(zip(ENGINE_NAMES, self.engines, strict=True))
        await self._put_pool('sorting', engines, {'model': MODEL})
        await self._put_pool('bookings', [('s1', self.service)], {})
        await operator.put(ObjectName('route', MODEL), {'pool': 'sorting'}, 0)
        service = {'pool': 'bookings', 'kind': 'service', 'repeatable': False}
        await operator.put(ObjectName('route', SERVICE), service, 0)
        self.secret = str((await operator.create_key(CUSTOMER))['secret'])

    async def _read_known_leader(self, name: str) -> str:
        status = await self.operator(name).view('status')
        return str(status['zones'][0]['leader'])

    async def _put_pool(
        self, name: str, endpoints: list[tuple[str, str]], extra: dict[str, Any]
    ) -> None:
        kind = 'engine' if extra else 'service'
        listed = [
            {'name': each, 'zone': ZONE, 'address': address, 'kind': kind}
            for each, address in endpoints
        ]
        pool = {'zone': ZONE, 'endpoints': listed, **extra}
        await self.operator(INSTANCE_NAMES[0]).put(ObjectName('pool', name), pool, 0)

    def _write_settings(self, name: str) -> str:
        listeners = dict.fromkeys(('callers', 'operators', 'metrics'), f'{self.host}:0')
        peers = [
            {
                'name': each,
                'zone': ZONE,
                'address': address,
                'has_disk': each in INSTANCES_WITH_DISK,
            }
            for each, address in self.peers.items()
        ]
        instance = {'name': name, 'zone': ZONE}
        if name in INSTANCES_WITH_DISK:
            instance['data_folder'] = str(self.folder / name)
        settings = {
            'instance': instance,
            'listeners': listeners,
            'secrets': {'pepper': 'pepper-of-the-checks', 'operator_token': OPERATOR_TOKEN},
            'logging': {'sections': {'decision': 'off'}},
            'peers': peers,
        }
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        return str(path)


@asynccontextmanager
async def start_cluster(folder: Path) -> AsyncIterator[Cluster]:
    """Start and configure a zone; its processes are killed when the context exits."""
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery, folder)
        await cluster.start_standins()
        await cluster.start_daemons()
        await cluster.configure()
        yield cluster
        await cluster.client.close()
        nursery.cancel_scope.cancel()


def read_error(body: bytes) -> dict[str, Any]:
    """Return the error object of a response body, or an empty one if there is none."""
    try:
        error = msgspec.json.decode(body)['error']
    except (msgspec.DecodeError, KeyError, TypeError):
        return {}
    return dict(error)
