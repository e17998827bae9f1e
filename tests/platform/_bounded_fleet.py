"""A control and an entry program with lowered limits, beside a platform and endpoints that misbehave."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator
from contextlib import ExitStack, asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import h11
import msgspec
import trio

from shallotmux.checking.programs._exchange import (
    FAILURES,
    Answer,
    connect,
    encode_request,
    exchange,
    read_answer,
)
from shallotmux.checking.programs._standins import StandInPlatform
from shallotmux.fleet import ListedEndpoint
from shallotmux.platform import HEADERS, PUT_PATH
from shallotmux.platform._samples import SampleInstance, encode_document, encode_settings
from tests.support.crowds import SMALL_BUFFER_BYTES
from tests.support.processes import TIMEOUT_S, Process, start_process

LAUNCHER = 'shallotmux.launcher'
SERVICE = 'desk'
HOST = b'checks.example'

#: Memory in MB and descriptors of the machine that the settings of the programs name.
ENTRY_LIMITS = {'memory-mb': 96, 'max-fds': 160}
CONTROL_LIMITS = {'memory-mb': 128, 'max-fds': 160}

#: Length of the answers to requests whose path contains ``long``.
LONG_ANSWER_BYTES = 8 << 20


def request_head(path: str, length: int = 0, method: str = 'GET') -> bytes:
    """Return the head of a request to a route of the sample document."""
    names = f'Host: {HOST.decode()}\r\n{HEADERS.request_id.decode()}: r-1\r\n'
    return f'{method} {path} HTTP/1.1\r\n{names}Content-Length: {length}\r\n\r\n'.encode()


@dataclass(slots=True)
class CrowdedEndpoint:
    """An endpoint that answers as the path says: ``unread`` reads no body, ``long`` answers at length."""

    address: str
    identity: str = 'e-1'

    def listed(self) -> ListedEndpoint:
        """Return the entry of this endpoint in the platform's list."""
        return ListedEndpoint(self.identity, SERVICE, self.address, 'a', 64, software_version='v1')

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        host, _, port = self.address.rpartition(':')
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        # The kernel must not take whole bodies that the endpoint does not read.
        listeners[0].socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        try:
            while await self._serve_one(stream):
                await trio.lowlevel.checkpoint()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            await trio.aclose_forcefully(stream)

    async def _serve_one(self, stream: trio.SocketStream) -> bool:
        content = bytearray()
        while b'\r\n\r\n' not in content:
            part = await stream.receive_some(4096)
            if not part:
                return False
            content += part
        head, _, rest = bytes(content).partition(b'\r\n\r\n')
        first, *lines = head.split(b'\r\n')
        if b'unread' in first:
            await trio.sleep_forever()
        headers = dict(line.lower().split(b': ', 1) for line in lines)
        missing = int(headers.get(b'content-length', b'0')) - len(rest)
        while missing > 0:
            part = await stream.receive_some(65_536)
            if not part:
                return False
            missing -= len(part)
        length = LONG_ANSWER_BYTES if b'long' in first else 4
        identity = headers.get(HEADERS.request_id, b'r-1')
        await stream.send_all(
            b'HTTP/1.1 200 OK\r\n%b: %b\r\nContent-Length: %d\r\n\r\n'
            % (HEADERS.request_id, identity, length)
        )
        for start in range(0, length, 65_536):
            await stream.send_all(bytes(min(65_536, length - start)))
        return True


@dataclass(slots=True)
class BoundedFleet:
    """The programs, and where they listen.

    :param other_entry: IP address of a second entry program; empty if there is none.
    """

    control: Process
    entry: Process
    control_instance: SampleInstance
    entry_instance: SampleInstance
    other_entry: str = ''

    @property
    def relayed(self) -> str:
        """Return the address for relayed requests."""
        host, _, port = self.entry_instance.peers.rpartition(':')
        return f'{host}:{int(port) + 1}'

    def metrics(self, instance: SampleInstance) -> str:
        """Return the address of a program's metrics."""
        return f'{instance.host}:9464'


def write_limited_settings(path: Path, instance: SampleInstance) -> None:
    """Write the settings of an instance, with the lowered limits of its machine."""
    fields = msgspec.json.decode(encode_settings(instance))
    fields['limits'] = CONTROL_LIMITS if instance.folder else ENTRY_LIMITS
    path.write_bytes(msgspec.json.encode(fields))


@asynccontextmanager
async def run_bounded_fleet(
    network: str, folder: Path, *, entries: int = 1
) -> AsyncIterator[BoundedFleet]:
    """Start the programs, and wait until the entry program answers requests.

    :param network: first three numbers of the loopback addresses.
    """
    endpoint = CrowdedEndpoint(f'{network}.9:18400')
    platform = StandInPlatform(f'{network}.8:18401', [endpoint])  # type: ignore[list-item]
    seeds = (f'{network}.1',)
    control = SampleInstance(
        'core-1', seeds[0], seeds, platform.address, str(folder / 'data'), True, tolerated=0
    )
    instances = [
        SampleInstance(f'front-{number}', f'{network}.{number + 2}', seeds, platform.address)
        for number in range(entries)
    ]
    with ExitStack() as stack:
        async with trio.open_nursery() as nursery:
            await nursery.start(endpoint.run)
            await nursery.start(platform.run)
            processes = [start(stack, folder, each) for each in (control, *instances)]
            fleet = BoundedFleet(processes[0], processes[1], control, instances[0])
            fleet.other_entry = instances[1].host if entries > 1 else ''
            await put_document(fleet, encode_document(1, SERVICE))
            await ask_until_answered(fleet.entry_instance.callers, '/safe/1')
            yield fleet
            nursery.cancel_scope.cancel()


def start(stack: ExitStack, folder: Path, instance: SampleInstance) -> Process:
    """Start the program of an instance; its output goes to a file, since a full pipe would block it."""
    settings, output = folder / f'{instance.name}.json', folder / f'{instance.name}.log'
    write_limited_settings(settings, instance)
    return stack.enter_context(
        start_process(
            LAUNCHER,
            environment={'SHALLOTMUX_SETTINGS': str(settings)},
            output=stack.enter_context(output.open('w')),
        )
    )


async def put_document(fleet: BoundedFleet, body: bytes) -> None:
    """Submit a document until it is acknowledged."""
    with trio.fail_after(TIMEOUT_S):
        while True:
            operators = fleet.control_instance.operators
            answer = await exchange(operators, b'POST', PUT_PATH, body, TIMEOUT_S)
            if answer is not None and answer.status == 200:
                return
            await trio.sleep(0.2)


async def ask(address: str, path: str) -> Answer | None:
    """Send one request on a connection of its own; returns None without a complete answer."""
    headers = [(b'host', HOST), (HEADERS.request_id, b'r-2')]
    head = h11.Request(method='GET', target=path, headers=headers)
    try:
        connection = await connect(address)
        async with connection.stream:
            await connection.stream.send_all(encode_request(connection, head, b''))
            return await read_answer(connection)
    except FAILURES:
        return None


async def ask_until_answered(address: str, path: str, status: int = 200) -> None:
    """Send an ordinary request, and again after a refusal, until it is answered with a status."""
    with trio.fail_after(TIMEOUT_S):
        while True:
            answer = await ask(address, path)
            if answer is not None and answer.status == status:
                return
            await trio.sleep(0.2)


def peak_mb(process: Process) -> float:
    """Return the largest resident memory that a process has had, in MB."""
    lines = Path(f'/proc/{process.child.pid}/status').read_text(encoding='ascii').splitlines()
    sizes = [line.split()[1] for line in lines if line.startswith('VmHWM:')]
    return int(sizes[0]) * 1024 / 1e6


def count_descriptors(process: Process) -> int:
    """Return the number of open descriptors of a process."""
    return len(list(Path(f'/proc/{process.child.pid}/fd').iterdir()))
