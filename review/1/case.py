"""A manifest with many routes has changed often; then all processes of the core are killed at once."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import BOUNDS, CannotRun, Deployment, Node, Operator, run_case  # noqa: E402

#: Routes of the manifest: some forty, and 1,400 more.
ROUTES, TENANTS = 1440, 88

#: Versions that are sent, in storms of at most 25 changes with at least 0.06 s between two, and a pause after each
#: storm. The last one is followed by the kill.
VERSIONS = 238
STORM, MIN_GAP_S, PAUSE_S = 25, 0.06, 1.0

#: ``memory-mb`` of a core machine.
MEMORY_BYTES = 296 << 20
RESTART_DELAY_S = 0.5


def build_route(number: int) -> dict[str, Any]:
    """Return a route like those in the example of the pages, in turn with one service and with two."""
    route = {
        'name': f'r-{number:07d}', 'host': f'f{number % 40:05d}.example', 'path-prefix': f'/p{number:06d}/',
        'kind': 'streaming', 'timeout-ms': 4000, 'target-latency-ms': 500, 'priority': 1,
    }  # fmt: skip
    if number % 2:
        route['split'] = [{'service': 'huvo11a', 'weight': 90}, {'service': 'wuno96b', 'weight': 10}]
    else:
        route['service'] = 'huvo11a'
    return {**route, 'max-attempts': 1, 'public': False, 'sticky': True, 'resumable': False, 'target-gap-ms': 150}


def build_manifest() -> dict[str, Any]:
    """Return the manifest, with services like those in the example of the pages."""
    engine = {
        'slots': 64, 'kv-capacity-tokens': 517069, 'kv-token-bytes': 163840, 'link-mbps': 1700000.0,
        'moves': True, 'backups': True, 'stride': 7, 'most': 12, 'handle-ttl-s': 5.0,
        'role-switch-s': 3.0, 'pin-ms': 4000.0, 'hold-ms': 2000.0, 'models': [{'name': 'm'}],
    }  # fmt: skip
    services = [
        {'name': 'huvo11a', 'health-path': '/healthz', 'max-conns': 370, 'protocol': 'h1', 'tls': False, 'engine': engine},
        {'name': 'wuno96b', 'health-path': '/healthz', 'max-conns': 110, 'protocol': 'h1', 'tls': False},
    ]
    return {
        'version': 1,
        'routes': [build_route(number) for number in range(ROUTES)],
        'services': services,
        'limits': {'max-header-bytes': 16384, 'max-body-bytes': 4194304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15000},
        'tenants': [
            {'name': f'hule{n:03d}', 'api-keys': [f'3fexd9dnn2ctnfzs{n:04d}', f'nu6wsjnbanfqasnm{n:04d}'], 'priority': 1}
            for n in range(TENANTS)
        ],
    }


def memory_of(node: Node) -> int:
    """Return the largest memory that a process has used, without the files that it has mapped."""
    if not node.is_running or node.process is None:
        return 0
    try:
        lines = Path(f'/proc/{node.process.pid}/status').read_text().splitlines()
    except OSError:
        return 0
    sizes = {name: int(text.split()[0]) << 10 for name, _, text in (each.partition(':') for each in lines) if text.endswith('kB')}
    return max(0, sizes.get('VmHWM', 0) - sizes.get('RssFile', 0) - sizes.get('RssShmem', 0))


class Machine:
    """Kills a process over the limit of memory and restarts one that has ended, as the platform does."""

    def __init__(self, deployment: Deployment, node: Node) -> None:
        self._deployment, self.node = deployment, node
        self.peak, self.kills = 0, 0

    async def watch(self) -> None:
        """Watch until cancelled."""
        while True:
            used = memory_of(self.node)
            self.peak = max(self.peak, used)
            if used > MEMORY_BYTES:
                self.kills += 1
                self._deployment.record.write(f'{self.node.name}: uses {used >> 20} MB of {MEMORY_BYTES >> 20}')
                self._deployment.send_signal(self.node, signal.SIGKILL)
                await self._deployment.wait_end(self.node, 5)
            if not self.node.is_running:
                await asyncio.sleep(RESTART_DELAY_S)
                await self._deployment.start(self.node, bootstrap=False)
            await asyncio.sleep(0.01)


async def case(deployment: Deployment, has_trouble: bool) -> bool:
    """Return whether the manifest can't be read back."""
    record = deployment.record
    core = [deployment.add(f'core-{n}', 'control', n) for n in (1, 2, 3)]
    deployment.seeds = [each.control for each in core]
    for node in core:
        await deployment.start(node, bootstrap=True)
    machines = [Machine(deployment, node) for node in core]
    watching = [asyncio.create_task(each.watch()) for each in machines]
    try:
        return await change_and_kill(deployment, machines, has_trouble)
    finally:
        for task in watching:
            task.cancel()
        await asyncio.gather(*watching, return_exceptions=True)


async def change_and_kill(deployment: Deployment, machines: list[Machine], has_trouble: bool) -> bool:
    """Send the changes, kill the processes, and read back."""
    record = deployment.record
    core = [each.node for each in machines]
    operator = Operator(record, lambda: [each.control for each in core])
    document = build_manifest()
    size = len(json.dumps(document, separators=(',', ':')))
    record.write(f'the manifest has {ROUTES} routes and {size} bytes')
    for version in range(1, VERSIONS + 1):
        began_at = time.monotonic()
        document['version'] = version
        document['limits']['idle-timeout-ms'] = 15000 + version
        if not await operator.put(document, 20):
            raise CannotRun(f'version {version} was not acknowledged')
        await asyncio.sleep(max(0.0, began_at + MIN_GAP_S - time.monotonic()))
        if version % STORM == 0:
            await asyncio.sleep(PAUSE_S)
    record.write(f'peaks until then, in MB: {[each.peak >> 20 for each in machines]}')
    if any(each.kills for each in machines):
        raise CannotRun('a process used too much memory before the disruption')
    if has_trouble:
        for node in core:
            deployment.send_signal(node, signal.SIGKILL)
    await asyncio.sleep(BOUNDS['recovery-s'])
    end = time.monotonic() + 12
    found: list[int] = []
    while not found and time.monotonic() < end:
        answers = [await operator.get(each.control) for each in core]
        found = [each for each in answers if each is not None]
        await asyncio.sleep(0.5)
    kills = [each.kills for each in machines]
    record.write(f'read back: {found}, acknowledged: {operator.acknowledged}')
    record.write(f'peaks in MB: {[each.peak >> 20 for each in machines]}; killed for memory: {kills}')
    return not found or max(found) < operator.acknowledged


if __name__ == '__main__':
    sys.exit(run_case(HERE, case))
