"""Tests of the clusters of real daemons."""

from __future__ import annotations

import socket
from contextlib import ExitStack
from pathlib import Path

from shallotmux.checking.processes._cluster import (
    INSTANCE_NAMES,
    choose_host,
    choose_peer_addresses,
)

#: Rounds and listeners of a round, with ports that the system chooses.
ROUNDS, LISTENERS = 300, 20


def test_peer_port_is_not_taken_by_another_daemon() -> None:
    """Guards against a daemon that cannot start, as one that started earlier has its peer port."""
    path = Path('/proc/sys/net/ipv4/ip_local_port_range')
    lowest = int(path.read_text(encoding='ascii').split()[0])
    for _ in range(ROUNDS):
        host = choose_host()
        peers = choose_peer_addresses(host, INSTANCE_NAMES)
        ports = {int(each.rpartition(':')[2]) for each in peers.values()}
        assert len(ports) == len(INSTANCE_NAMES)
        assert max(ports) < lowest
        with ExitStack() as stack:
            for _ in range(LISTENERS):
                listener = stack.enter_context(socket.socket())
                listener.bind((host, 0))
                assert listener.getsockname()[1] not in ports
