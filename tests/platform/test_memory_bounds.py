"""Tests of the memory and the descriptors of the programs beside crowds of clients.

The tests are in one file, since the worker that runs a file runs its tests one after another.
"""

from __future__ import annotations

import logging
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

import pytest
import trio

from shallotmux.platform import GET_PATH, PUT_PATH
from shallotmux.platform._samples import encode_document
from tests.platform._bounded_daemon import BODY_BYTES as DAEMON_BODY_BYTES
from tests.platform._bounded_daemon import DAEMON_MB, DESCRIPTORS, BoundedDaemon, run_bounded_daemon
from tests.platform._bounded_daemon import HEADER_BYTES as DAEMON_HEADER_BYTES
from tests.platform._bounded_fleet import (
    CONTROL_LIMITS,
    ENTRY_LIMITS,
    SERVICE,
    BoundedFleet,
    ask_until_answered,
    count_descriptors,
    peak_mb,
    put_document,
    request_head,
    run_bounded_fleet,
)
from tests.platform._peer_messages import forge_load, send_long_message
from tests.support.crowds import CROWD, gather_crowd
from tests.support.networks import private_network

#: Shows peak memory in MB and open descriptors with ``--log-cli-level=INFO``.
LOG = logging.getLogger(__name__)

#: Bytes that a connection of a crowd sends in small requests.
AHEAD_BYTES = 8 << 20

#: Length of the largest body, and what is sent of an upload that stops in the middle.
BODY_BYTES = 4 << 20
STOPPED_BYTES = BODY_BYTES - 65_536

#: Connections of a crowd that only holds them: more than the descriptors of the machine.
HOLDING = 240

PART_OF_HEAD = b'GET / HTTP/1.1\r\nHost:'

#: First bytes of an HTTP/2 connection, and the head of a frame that claims to be long.
HTTP2_PREFACE = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00'
LONG_FRAME = b'\x00\x40\x00\x00\x00\x00\x00\x00\x01'


async def check_entry(fleet: BoundedFleet) -> None:
    """Check that the entry program is within its limits and answers an ordinary request."""
    await ask_until_answered(fleet.entry_instance.callers, '/safe/1')
    await ask_until_answered(fleet.entry_instance.readiness, '/')
    assert fleet.entry.child.poll() is None
    figures = (peak_mb(fleet.entry), count_descriptors(fleet.entry))
    LOG.info('entry: %s', figures)
    assert figures[0] <= ENTRY_LIMITS['memory-mb'], figures
    assert figures[1] <= ENTRY_LIMITS['max-fds'], figures


async def check_control(fleet: BoundedFleet) -> None:
    """Check that the control program is within its limits and returns the document."""
    await ask_until_answered(fleet.control_instance.operators, GET_PATH)
    assert fleet.control.child.poll() is None
    figures = (peak_mb(fleet.control), count_descriptors(fleet.control))
    LOG.info('control: %s', figures)
    assert figures[0] <= CONTROL_LIMITS['memory-mb'], figures
    assert figures[1] <= CONTROL_LIMITS['max-fds'], figures


async def test_small_requests_ahead_at_the_readiness_page(tmp_path: Path) -> None:
    """Guards against a readiness page that holds 64 KiB for each request whose answer is not read."""
    async with run_bounded_fleet(private_network(161), tmp_path) as fleet:
        async with gather_crowd(fleet.entry_instance.readiness) as crowd:
            await crowd.send(request_head('/'), AHEAD_BYTES)
            await check_entry(fleet)


@pytest.mark.parametrize('path', ['/safe/1', '/no-route/'], ids=['served', 'refused'])
async def test_small_requests_ahead_at_the_listener_for_callers(tmp_path: Path, path: str) -> None:
    """Guards against small requests, answered by an endpoint or refused, that are held without limit."""
    async with run_bounded_fleet(private_network(162), tmp_path) as fleet:
        async with gather_crowd(fleet.entry_instance.callers) as crowd:
            await crowd.send(request_head(path), AHEAD_BYTES)
            await check_entry(fleet)


async def test_long_answers_that_are_not_read(tmp_path: Path) -> None:
    """Guards against long answers of endpoints that are held for callers who do not read them."""
    async with run_bounded_fleet(private_network(163), tmp_path) as fleet:
        async with gather_crowd(fleet.entry_instance.callers) as crowd:
            await crowd.send(request_head('/safe/long'), AHEAD_BYTES)
            await check_entry(fleet)


async def test_uploads_that_stop_in_the_middle(tmp_path: Path) -> None:
    """Guards against the bodies of many clients that are held at once."""
    async with run_bounded_fleet(private_network(164), tmp_path) as fleet:
        async with gather_crowd(fleet.entry_instance.callers) as crowd:
            head = request_head('/safe/1', BODY_BYTES, 'POST')
            await crowd.send(head, len(head))
            await crowd.send(bytes(65_536), STOPPED_BYTES)
            await check_entry(fleet)


async def test_bodies_that_no_endpoint_reads(tmp_path: Path) -> None:
    """Guards against bodies that are held several times while endpoints do not read them."""
    async with run_bounded_fleet(private_network(165), tmp_path) as fleet:
        async with gather_crowd(fleet.entry_instance.callers) as crowd:
            head = request_head('/unsafe/unread', BODY_BYTES, 'POST')
            await crowd.send(head, len(head))
            await crowd.send(bytes(65_536), BODY_BYTES)
            await check_entry(fleet)


async def test_small_requests_ahead_at_the_metrics(tmp_path: Path) -> None:
    """Guards against metrics pages that are held for clients who do not read them."""
    async with run_bounded_fleet(private_network(166), tmp_path) as fleet:
        async with gather_crowd(fleet.metrics(fleet.entry_instance)) as crowd:
            await crowd.send(request_head('/metrics'), AHEAD_BYTES)
            await check_entry(fleet)
        async with gather_crowd(fleet.metrics(fleet.control_instance)) as crowd:
            await crowd.send(request_head('/metrics'), AHEAD_BYTES)
            await check_control(fleet)


async def test_large_documents_at_once(tmp_path: Path) -> None:
    """Guards against documents that are held without limit while they are read and checked."""
    async with run_bounded_fleet(private_network(167), tmp_path) as fleet:
        async with gather_crowd(fleet.control_instance.operators) as crowd:
            body = encode_document(1, SERVICE).ljust(BODY_BYTES)
            head = request_head(PUT_PATH, BODY_BYTES, 'POST')
            await crowd.send(head + body, len(head) + len(body))
            await check_control(fleet)


async def test_documents_that_are_not_read(tmp_path: Path) -> None:
    """Guards against copies of a large document for clients who ask for it and do not read it."""
    async with run_bounded_fleet(private_network(168), tmp_path) as fleet:
        await put_document(fleet, encode_document(2, SERVICE).ljust(BODY_BYTES))
        async with gather_crowd(fleet.control_instance.operators) as crowd:
            await crowd.send(request_head(GET_PATH), AHEAD_BYTES)
            await check_control(fleet)


async def test_small_requests_ahead_at_the_listener_for_relayed_requests(tmp_path: Path) -> None:
    """Guards against requests of a faulty instance that are held without limit."""
    async with run_bounded_fleet(private_network(169), tmp_path, entries=2) as fleet:
        await wait_until_relayed(fleet)
        async with gather_crowd(fleet.relayed, fleet.other_entry) as crowd:
            await crowd.send(request_head('/safe/1'), AHEAD_BYTES)
            await check_entry(fleet)


async def wait_until_relayed(fleet: BoundedFleet) -> None:
    """Wait until an instance takes connections from the host of another one."""
    received = b''
    with trio.fail_after(20):
        while not received:
            await trio.sleep(0.2)
            async with gather_crowd(fleet.relayed, fleet.other_entry, 1) as crowd:
                with suppress(OSError):
                    await crowd.sockets[0].send(request_head('/safe/1'))
                    received = await crowd.sockets[0].recv(1)


@pytest.mark.parametrize('program', ['entry', 'control'])
@pytest.mark.parametrize(
    'start',
    [b'', HTTP2_PREFACE[:9], HTTP2_PREFACE + LONG_FRAME],
    ids=['nothing', 'part-of-preface', 'part-of-frame'],
)
async def test_connections_held_at_the_port_for_instances(
    tmp_path: Path, start: bytes, program: str
) -> None:
    """Guards against foreign clients whose connections use up the descriptors, or are read for ever."""
    async with run_bounded_fleet(private_network(170), tmp_path) as fleet:
        address, check = peer_port(fleet, program)
        async with gather_crowd(address, count=HOLDING) as crowd:
            if start:
                await crowd.send(start, len(start))
            await check(fleet)
            await crowd.send(bytes(65_536), AHEAD_BYTES // 8)
            await check(fleet)


@pytest.mark.parametrize('program', ['entry', 'control'])
async def test_long_messages_at_the_port_for_instances(tmp_path: Path, program: str) -> None:
    """Guards against a message of any claimed length that is gathered in memory."""
    async with run_bounded_fleet(private_network(171), tmp_path) as fleet:
        address, check = peer_port(fleet, program)
        async with trio.open_nursery() as nursery:
            for _ in range(CROWD):
                nursery.start_soon(send_long_message, address, AHEAD_BYTES)
        await check(fleet)


def peer_port(
    fleet: BoundedFleet, program: str
) -> tuple[str, Callable[[BoundedFleet], Awaitable[None]]]:
    """Return where a program takes messages of other instances, and the check of its limits."""
    if program == 'entry':
        return fleet.entry_instance.peers, check_entry
    return fleet.control_instance.peers, check_control


async def test_datagrams_at_the_port_for_instances(tmp_path: Path) -> None:
    """Guards against datagrams with forged senders that are remembered without limit."""
    async with run_bounded_fleet(private_network(172), tmp_path) as fleet:
        host, _, port = fleet.entry_instance.peers.rpartition(':')
        with trio.socket.socket(type=socket.SOCK_DGRAM) as sock:
            for number in range(20_000):
                await sock.sendto(forge_load(number), (host, int(port)))
        await check_entry(fleet)


@pytest.mark.parametrize('listener', ['callers', 'readiness', 'metrics', 'operators'])
@pytest.mark.parametrize('start', [b'', PART_OF_HEAD], ids=['nothing', 'part-of-head'])
async def test_connections_that_are_only_held(tmp_path: Path, listener: str, start: bytes) -> None:
    """Guards against connections without a request that use up the descriptors."""
    async with run_bounded_fleet(private_network(173), tmp_path) as fleet:
        addresses = {
            'callers': fleet.entry_instance.callers,
            'readiness': fleet.entry_instance.readiness,
            'metrics': fleet.metrics(fleet.entry_instance),
            'operators': fleet.control_instance.operators,
        }
        async with gather_crowd(addresses[listener], count=HOLDING) as crowd:
            if start:
                await crowd.send(start, len(start))
            await (check_control if listener == 'operators' else check_entry)(fleet)


async def check_daemon(daemon: BoundedDaemon) -> None:
    """Check that the daemon is within its limits and answers on each listener."""
    await ask_until_answered(daemon.metrics, '/healthz')
    await ask_until_answered(daemon.callers, '/v1/models')
    await ask_until_answered(daemon.operators, '/v1/status', 401)
    assert daemon.process.child.poll() is None
    figures = (peak_mb(daemon.process), count_descriptors(daemon.process))
    LOG.info('daemon: %s', figures)
    bound = DAEMON_MB + CROWD * (2 * DAEMON_BODY_BYTES + DAEMON_HEADER_BYTES) / 1e6
    assert figures[0] <= bound, figures
    assert figures[1] <= DESCRIPTORS, figures


@pytest.mark.parametrize(
    ('listener', 'path'),
    [('callers', '/v1/models'), ('operators', '/v1/status'), ('metrics', '/metrics')],
    ids=['callers', 'operators', 'metrics'],
)
async def test_small_requests_ahead_at_the_daemon(tmp_path: Path, listener: str, path: str) -> None:
    """Guards against small requests that the daemon holds while their answers are not read."""
    async with run_bounded_daemon(tmp_path) as daemon:
        async with gather_crowd(getattr(daemon, listener)) as crowd:
            await crowd.send(request_head(path), AHEAD_BYTES)
            await check_daemon(daemon)


@pytest.mark.parametrize(
    ('listener', 'path'),
    [('callers', '/v1/chat/completions'), ('operators', '/v1/keys')],
    ids=['callers', 'operators'],
)
async def test_uploads_to_the_daemon_that_stop_in_the_middle(
    tmp_path: Path, listener: str, path: str
) -> None:
    """Guards against the bodies of many clients that the daemon holds at once."""
    async with run_bounded_daemon(tmp_path) as daemon:
        async with gather_crowd(getattr(daemon, listener)) as crowd:
            head = request_head(path, 2 * BODY_BYTES, 'POST')
            await crowd.send(head, len(head))
            await crowd.send(bytes(65_536), STOPPED_BYTES)
            await check_daemon(daemon)


@pytest.mark.parametrize('listener', ['callers', 'operators', 'metrics'])
@pytest.mark.parametrize('start', [b'', PART_OF_HEAD], ids=['nothing', 'part-of-head'])
async def test_connections_that_are_only_held_at_the_daemon(
    tmp_path: Path, listener: str, start: bytes
) -> None:
    """Guards against connections without a request that use up the descriptors of the daemon."""
    async with run_bounded_daemon(tmp_path) as daemon:
        async with gather_crowd(getattr(daemon, listener), count=HOLDING) as crowd:
            if start:
                await crowd.send(start, len(start))
            await check_daemon(daemon)
