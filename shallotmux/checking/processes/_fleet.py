"""A zone of three daemon processes with stand-ins on loopback."""

from __future__ import annotations

import json
import re
import signal
import socket
from collections import Counter
from collections.abc import AsyncIterator, Iterator
from contextlib import ExitStack, asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from secrets import randbelow
from typing import Any

import msgspec
import trio

from shallotmux.checking.processes._child import (
    DEADLINE_S,
    POLL_S,
    Child,
    ProcessEnded,
    start_child,
    until,
)
from shallotmux.errors import EndpointError
from shallotmux.http import HttpcoreClient, HttpRequest, fetch
from shallotmux.operators import ObjectName, OperatorClient

ZONE = 'zone-a'
GROUPS = ('fleet', f'zone/{ZONE}')
NAMES = ('entry-1', 'entry-2', 'entry-3')
DISKS = frozenset(NAMES[:2])
ENGINE_NAMES = ('e1', 'e2', 'e3')
TOKEN = 'operator-token-of-the-checks'  # noqa: S105
CUSTOMER = 'tailors'
MODEL = 'sorter'
SERVICE = 'booking'
LIMIT_BYTES = 10_000_000

#: Customers that are created to see whether changes are accepted.
READY_PREFIX = 'ready-'

#: Values of a byte of an address; the first and the last are not used.
BYTE_VALUES = 256

#: Starts of a process before its ports count as unavailable.
START_ATTEMPTS = 5

#: A change of the log line ``shallotmux:membership-change`` that makes a learner a voter.
PROMOTION = re.compile(r"PromoteLearner\([^')]*'([^']+)'")


def choose_host() -> str:
    """Return a loopback address that no other fleet is likely to have.

    Were hosts shared, a port that an ended daemon gave up could be bound by a daemon of another
    fleet or by an outgoing connection, and callers would meet the wrong process.
    """
    parts = (randbelow(BYTE_VALUES - 2) + 1 for _ in range(3))
    return '127.{0}.{1}.{2}'.format(*parts)


def reserve_addresses(host: str, count: int) -> list[str]:
    """Return addresses with ports that are free at the moment."""
    with ExitStack() as stack:
        found = []
        for _ in range(count):
            reserved = stack.enter_context(socket.socket())
            reserved.bind((host, 0))
            found.append('{0}:{1}'.format(*reserved.getsockname()))
        return found


@dataclass(frozen=True, slots=True)
class Daemon:
    """A running daemon and the addresses that it has bound."""

    child: Child
    callers: str
    operators: str
    metrics: str


@dataclass
class Fleet:
    """Processes of one zone.

    :param host: loopback address of all its processes.
    :param engines: addresses of the engine stand-ins.
    :param service: address of the plain service stand-in.
    :param secret: key of the customer.
    :param open_streams: streams that callers are reading, by instance.
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
    #: Voters that have been added: the second disk, and each start without a disk.
    expected_voters: int = 1
    changes: Iterator[int] = field(default_factory=count)
    open_streams: Counter[str] = field(default_factory=Counter)

    def operator(self, name: str) -> OperatorClient:
        """Return a client of an instance's operator API."""
        return OperatorClient(self.client, self.daemons[name].operators, TOKEN)

    async def start_standins(self) -> None:
        """Start the engines and the plain service."""
        kinds = (*('engine' for _ in ENGINE_NAMES), 'service')
        children = [
            await start_child(self.nursery, 'shallotmux.standins', kind, '--bind', f'{self.host}:0')
            for kind in kinds
        ]
        addresses = [await child.line() for child in children]
        self.service = addresses.pop()
        self.engines = addresses

    async def start_first(self) -> None:
        """Start all daemons with empty data folders, on other ports after a collision."""
        self.peers = dict(zip(NAMES, reserve_addresses(self.host, len(NAMES)), strict=True))
        await self.start(NAMES[0], *GROUPS)
        for name in NAMES[1:]:
            await self.start(name)
        await self.until_ready()

    async def start(self, name: str, *bootstrap: str) -> None:
        """Start a daemon, again if its peer port is taken at the moment."""
        words = ['--settings', self._write_settings(name)]
        for group in bootstrap:
            words.extend(('--bootstrap', group))
        for _ in range(START_ATTEMPTS):
            child = await start_child(self.nursery, 'shallotmux.daemon', *words)
            try:
                started = await child.message('shallotmux:daemon:started')
            except ProcessEnded:
                continue
            self.children.append(child)
            self.expected_voters += name not in DISKS
            self.daemons[name] = Daemon(
                child, started['callers'], started['operators'], started['metrics']
            )
            return
        raise ProcessEnded(f'{name}: no start in {START_ATTEMPTS} attempts', step='start')

    async def end(self, name: str, number: signal.Signals) -> tuple[float, int]:
        """End a daemon by a signal, and return the seconds until its exit and the exit code."""
        return await self.daemons[name].child.end(number)

    async def until_ready(self) -> None:
        """Wait until all instances are ready and vote, so that any one may fail.

        An instance without a disk votes under another identity after each start. Leaders log
        a promotion when they propose it; a change that is accepted afterwards shows that it holds.
        """
        await until(lambda: len(self.promoted()) >= self.expected_voters)
        with trio.fail_after(DEADLINE_S):
            for name in NAMES:
                while not await self.is_ready(name):
                    await trio.sleep(POLL_S)
            place = ObjectName('customer', f'{READY_PREFIX}{next(self.changes)}')
            await self.operator(NAMES[0]).put(place, {}, 0)

    def promoted(self) -> frozenset[str]:
        """Return the identities that leaders have made voters of the zone group."""
        return frozenset(
            found[1]
            for child in self.children
            for line in child.lines
            if GROUPS[1] in line.decode() and (found := PROMOTION.search(line.decode()))
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
        """Tell whether an instance is ready."""
        request = HttpRequest('GET', self.daemons[name].metrics, '/readyz')
        try:
            return (await fetch(self.client, request, LIMIT_BYTES))[0] == 200
        except EndpointError:
            return False

    async def leader(self) -> str:
        """Return the name of the zone group's leader, once all instances agree on it."""
        found = {''}
        with trio.fail_after(DEADLINE_S):
            while len(found) > 1 or not all(found):
                found = {await self._known_leader(name) for name in NAMES}
                await trio.sleep(POLL_S)
        return found.pop()

    async def configure(self) -> None:
        """Create the customer, its key, and routes to the engines and to the service."""
        operator = self.operator(NAMES[0])
        await operator.put(ObjectName('customer', CUSTOMER), {}, 0)
        engines = list(zip(ENGINE_NAMES, self.engines, strict=True))
        await self._put_pool('sorting', engines, {'model': MODEL})
        await self._put_pool('bookings', [('s1', self.service)], {})
        await operator.put(ObjectName('route', MODEL), {'pool': 'sorting'}, 0)
        service = {'pool': 'bookings', 'kind': 'service', 'repeatable': False}
        await operator.put(ObjectName('route', SERVICE), service, 0)
        self.secret = str((await operator.create_key(CUSTOMER))['secret'])

    async def _known_leader(self, name: str) -> str:
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
        await self.operator(NAMES[0]).put(ObjectName('pool', name), pool, 0)

    def _write_settings(self, name: str) -> str:
        listeners = dict.fromkeys(('callers', 'operators', 'metrics'), f'{self.host}:0')
        peers = [
            {'name': each, 'zone': ZONE, 'address': address, 'has_disk': each in DISKS}
            for each, address in self.peers.items()
        ]
        instance = {'name': name, 'zone': ZONE}
        if name in DISKS:
            instance['data_folder'] = str(self.folder / name)
        settings = {
            'instance': instance,
            'listeners': listeners,
            'secrets': {'pepper': 'pepper-of-the-checks', 'operator_token': TOKEN},
            'logging': {'sections': {'decision': 'off'}},
            'peers': peers,
        }
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        return str(path)


@asynccontextmanager
async def start_fleet(folder: Path) -> AsyncIterator[Fleet]:
    """Start and configure a zone; its processes end with the block."""
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, folder)
        await fleet.start_standins()
        await fleet.start_first()
        await fleet.configure()
        yield fleet
        await fleet.client.close()
        nursery.cancel_scope.cancel()


def read_error(body: bytes) -> dict[str, Any]:
    """Return the error object of an answer; empty when it holds none."""
    try:
        error = msgspec.json.decode(body)['error']
    except (msgspec.DecodeError, KeyError, TypeError):
        return {}
    return dict(error)
