"""A daemon with lowered limits."""

from __future__ import annotations

import json
import resource
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from tests.support.processes import Process, start_process

LOOPBACK = '127.0.0.1:0'

#: Descriptors of the daemon, and the largest head and body that its settings allow.
DESCRIPTORS = 160
HEADER_BYTES = 16_384
BODY_BYTES = 1 << 20

#: Memory of a daemon at rest, with what its libraries take.
DAEMON_MB = 80


@dataclass(slots=True)
class BoundedDaemon:
    """A daemon, and where it listens."""

    process: Process
    callers: str
    operators: str
    metrics: str


@asynccontextmanager
async def run_bounded_daemon(folder: Path) -> AsyncIterator[BoundedDaemon]:
    """Start a daemon and wait until it listens."""
    path = folder / 'settings.json'
    settings = {
        'instance': {'name': 'entry-1', 'zone': 'zone-a'},
        'listeners': {'callers': LOOPBACK, 'operators': LOOPBACK, 'metrics': LOOPBACK},
        'secrets': {'pepper': 'p' * 16, 'operator_token': 'operator-token-1'},
        'groups': {'standalone': True},
        'limits': {'header_bytes': HEADER_BYTES},
        'operators': {'body_bytes': BODY_BYTES},
        'logging': {'level': 'warning', 'sections': {'daemon': 'info'}},
    }
    path.write_text(json.dumps(settings), encoding='utf-8')
    with start_process('shallotmux.daemon', '--settings', str(path)) as process:
        hard = resource.prlimit(process.child.pid, resource.RLIMIT_NOFILE)[1]
        resource.prlimit(process.child.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))
        started = await process.read_message('shallotmux:daemon:started')
        yield BoundedDaemon(process, started['callers'], started['operators'], started['metrics'])
