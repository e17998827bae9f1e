"""Real programs under traffic while the platform's list contains odd entries."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterator
from contextlib import ExitStack, asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from itertools import count, cycle
from pathlib import Path
from random import Random

import httpcore
import trio

from shallotmux.checking.programs._records import Records
from shallotmux.checking.programs._standins import SERVICE, StandInEndpoint
from shallotmux.forwarding import CallerRequest, HttpListener, Reply, send_response
from shallotmux.platform import HEADERS, PUT_PATH
from shallotmux.platform._samples import (
    SampleInstance,
    encode_document,
    encode_listing,
    encode_settings,
)
from tests.platform.test_listing import ODD_ENTRIES, encode_worker
from tests.support.networks import private_network
from tests.support.processes import Process, start_process

LAUNCHER = 'shallotmux.launcher'
NETWORK = private_network(93)
CONTROLS = tuple(f'{NETWORK}.{number}' for number in (1, 2, 3))
ENTRIES = tuple(f'{NETWORK}.{number}' for number in (11, 12))
PLATFORM = f'{NETWORK}.99:8362'

TEST_TIMEOUT_S = 80

#: Time for which each odd entry stays: all instances that poll the list read it at least once.
ODD_S = 2.5

#: Odd entries, two at a time.
ODD_PAIRS = (
    (ODD_ENTRIES['nested lists'], encode_worker(id='x', slots=10**400)),
    (ODD_ENTRIES['field of nested objects'], encode_worker(id='x', address=f'{"a" * 70}:80')),
    (ODD_ENTRIES['objects without end'], encode_worker(id='x\r\ny: z', service=SERVICE)),
)


@dataclass(slots=True)
class OddPlatform:
    """A platform whose list has odd entries before those of the endpoints."""

    endpoints: list[StandInEndpoint]
    odd: tuple[bytes, ...] = ()
    reads: int = 0

    async def handle(self, request: CallerRequest, reply: Reply) -> None:
        """Answer a read of the list; all other calls are accepted."""
        content = b'{}'
        if request.method == b'GET':
            self.reads += 1
            content = encode_listing(tuple(each.listed() for each in self.endpoints))
            odd = b''.join(b'%b,' % each for each in self.odd)
            content = content.replace(b'"instances":[', b'"instances":[%b' % odd)
        await send_response(reply, 200, content, ())


@dataclass(slots=True)
class Site:
    """Programs of a deployment, and what callers saw."""

    platform: OddPlatform
    records: Records
    processes: dict[str, Process]
    statuses: list[int] = field(default_factory=list)

    def ended(self) -> list[str]:
        """Return the hosts whose process has ended."""
        return [host for host, each in self.processes.items() if each.child.poll() is not None]

    async def put_document(self, version: int) -> None:
        """Submit a configuration until it is acknowledged."""
        content = encode_document(version, SERVICE)
        for host in cycle(CONTROLS):
            if await call(f'http://{host}:8367{PUT_PATH}', 'r', content) == 200:
                return
            await trio.sleep(0.2)

    async def send_traffic(self) -> None:
        """Send requests to the entry instances in turn until cancelled."""
        numbers = count()
        for host in cycle(ENTRIES):
            status = await call(f'http://{host}:8368/safe/x', f'{next(numbers):016x}', b'work')
            self.statuses.append(status)
            await trio.sleep(0.02)


async def call(url: str, request_id: str, content: bytes) -> int:
    """Send a request on a new connection and return the status; 0 if there is no answer."""
    headers = {'Host': 'checks.example', HEADERS.request_id.decode(): request_id}
    timeouts = dict.fromkeys(('connect', 'read', 'write', 'pool'), 5.0)
    async with httpcore.AsyncConnectionPool() as pool:
        try:
            response = await pool.request(
                'POST', url, content=content, headers=headers, extensions={'timeout': timeouts}
            )
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            return 0
        return response.status


@contextmanager
def start_programs(folder: Path) -> Iterator[dict[str, Process]]:
    """Start all programs."""
    processes: dict[str, Process] = {}
    with ExitStack() as stack:
        for host in (*CONTROLS, *ENTRIES):
            data = folder / host
            data.mkdir()
            is_control = host in CONTROLS
            instance = SampleInstance(
                f'n-{host}',
                host,
                CONTROLS,
                PLATFORM,
                folder=str(data / 'data') if is_control else '',
                bootstrap=True,
                grace_s=2,
            )
            path = data / 'boot.json'
            path.write_bytes(encode_settings(instance))
            variables = {'SHALLOTMUX_SETTINGS': str(path)}
            processes[host] = stack.enter_context(start_process(LAUNCHER, environment=variables))
        yield processes


def make_endpoint(number: int, records: Records) -> StandInEndpoint:
    """Return an endpoint that causes no trouble."""
    return StandInEndpoint(f'i-{number}', f'{NETWORK}.{100 + number}:8080', records, Random(number))


@asynccontextmanager
async def run_site(folder: Path) -> AsyncIterator[tuple[Site, trio.Nursery]]:
    """Run a deployment with one endpoint, and traffic once it serves."""
    records = Records()
    platform = OddPlatform([make_endpoint(1, records)])
    with start_programs(folder) as processes:
        async with trio.open_nursery() as nursery:
            await nursery.start(HttpListener(PLATFORM, platform.handle).run)
            await nursery.start(platform.endpoints[0].run)
            site = Site(platform, records, processes)
            await site.put_document(1)
            for host in ENTRIES:
                while await call(f'http://{host}:8368/safe/x', 'first', b'work') != 200:
                    await trio.sleep(0.1)
            nursery.start_soon(site.send_traffic)
            yield site, nursery
            nursery.cancel_scope.cancel()


async def test_programs_serve_while_the_list_has_odd_entries(tmp_path: Path) -> None:
    """Guards against an entry of another writer that ends processes or hides new endpoints."""
    with trio.fail_after(TEST_TIMEOUT_S):
        async with run_site(tmp_path) as (site, nursery):
            for number, odd in enumerate(ODD_PAIRS, start=2):
                site.platform.odd = odd
                await trio.sleep(ODD_S)
                joined = make_endpoint(number, site.records)
                await nursery.start(joined.run)
                site.platform.endpoints.append(joined)
                while not any(each.endpoint == joined.identity for each in site.records.arrivals):
                    assert not site.ended()
                    await trio.sleep(0.1)
                await site.put_document(number)
            assert not site.ended()
            assert set(site.statuses) == {200}
