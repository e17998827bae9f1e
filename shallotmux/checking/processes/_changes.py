"""Checks that changes of keys and configuration propagate to all instances of a zone."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from shallotmux.checking.processes._callers import Outcome, StreamReader
from shallotmux.checking.processes._child import POLL_INTERVAL_S, WAIT_TIMEOUT_S, wait_until
from shallotmux.checking.processes._cluster import (
    CUSTOMER,
    INSTANCE_NAMES,
    MAX_BODY_BYTES,
    MODEL,
    Cluster,
)
from shallotmux.checking.processes._report import CheckResult, format_spread
from shallotmux.errors import ShallotmuxError
from shallotmux.http import HttpRequest, fetch
from shallotmux.operators import ObjectName, OperatorError

#: Upper bound in the design document for the propagation of a key withdrawal or a change.
PROPAGATION_TARGET_S = 3.0

#: Tokens of a stream that lasts longer than the bound: 10 s at 5 ms per token of the engine.
LONG_STREAM_TOKENS = 2000


@dataclass
class KeyUsage:
    """Use of one key at all instances until all of them refuse it.

    :param last_admitted_s: clock time at which the last admitted request was answered.
    :param stream_end_times_s: clock times at which the streams ended.
    """

    cluster: Cluster
    secret: str
    last_admitted_s: float = 0.0
    stream_end_times_s: list[float] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)

    async def probe(self, name: str) -> None:
        """Send requests to an instance until it refuses the key."""
        while await self.is_admitted(name):
            self.last_admitted_s = max(self.last_admitted_s, trio.current_time())
            await trio.sleep(POLL_INTERVAL_S)

    async def is_admitted(self, name: str) -> bool:
        """Return whether an instance accepts the key."""
        return await _status_of_models(self.cluster, name, self.secret) == 200

    async def stream(self, name: str) -> None:
        """Read a long stream to its end, and record a problem if the withdrawal did not end it."""
        reader = StreamReader(
            self.cluster, f'Long sheet of {name}', self.secret, LONG_STREAM_TOKENS
        )
        outcome = await reader.attempt(name)
        self.stream_end_times_s.append(trio.current_time())
        if outcome != Outcome.ERROR or reader.problem != 'key_withdrawn':
            self.problems.append(f'{name}: stream ended with {outcome}: {reader.problem}')


async def check_keys(cluster: Cluster, rounds: int) -> CheckResult:
    """Check that new keys are accepted and withdrawn keys refused by all instances in time."""
    result = CheckResult('key created through one instance, withdrawn through another', rounds)
    created, admitted, ended = [], [], []
    for round_number in range(rounds):
        key = await cluster.operator(INSTANCE_NAMES[round_number % 3]).create_key(CUSTOMER)
        usage = KeyUsage(cluster, str(key['secret']))
        created.append(await _measure_until_everywhere(usage.is_admitted))
        started = await _withdraw_in_use(
            usage, str(key['key_id']), INSTANCE_NAMES[(round_number + 1) % 3]
        )
        admitted.append(max(usage.last_admitted_s - started, 0))
        ended.append(max(usage.stream_end_times_s) - started)
        result.violations.extend(usage.problems)
    _add_durations(
        result, {'key accepted by all': created, 'last admitted': admitted, 'streams': ended}
    )
    return result


async def _withdraw_in_use(usage: KeyUsage, key_id: str, name: str) -> float:
    """Withdraw a key in use, wait until all instances refuse it, and return the start time."""
    cluster = usage.cluster
    async with trio.open_nursery() as nursery:
        for instance_name in INSTANCE_NAMES:
            nursery.start_soon(usage.stream, instance_name)
        await wait_until(lambda: all(cluster.open_streams[each] for each in INSTANCE_NAMES))
        for probed_name in INSTANCE_NAMES:
            nursery.start_soon(usage.probe, probed_name)
        started = trio.current_time()
        await cluster.operator(name).withdraw_key(key_id)
    return started


async def check_configuration(cluster: Cluster, rounds: int) -> CheckResult:
    """Check that a new route takes effect at all instances in time."""
    result = CheckResult('configuration change in force on all instances', rounds)
    times = []
    for round_number in range(rounds):
        model = f'model-{round_number}'
        started = trio.current_time()
        object_name = ObjectName('route', model)
        await cluster.operator(INSTANCE_NAMES[round_number % 3]).put(
            object_name, {'pool': 'sorting'}, 0
        )

        async def is_listed(name: str, model: str = model) -> bool:
            return f'"{model}"'.encode() in (await _models(cluster, name, cluster.secret))[1]

        await _measure_until_everywhere(is_listed)
        times.append(trio.current_time() - started)
    _add_durations(result, {'in force': times})
    return result


async def check_leader(cluster: Cluster, rounds: int) -> CheckResult:
    """Check that changes are accepted again after the leader was killed."""
    result = CheckResult('leader killed', rounds)
    times = []
    for round_number in range(rounds):
        leader = await cluster.leader()
        await cluster.stop(leader, signal.SIGKILL)
        started = trio.current_time()
        with trio.fail_after(WAIT_TIMEOUT_S):
            await _change_through_first(
                cluster, [each for each in INSTANCE_NAMES if each != leader], round_number
            )
        times.append(trio.current_time() - started)
        await cluster.start(leader)
        await cluster.wait_until_ready()
    result.figures.append(format_spread('next accepted change', times))
    return result


async def _change_through_first(cluster: Cluster, names: list[str], round_number: int) -> None:
    async with trio.open_nursery() as nursery:
        for name in names:
            nursery.start_soon(
                _change_until_accepted, cluster, name, round_number, nursery.cancel_scope
            )


async def _change_until_accepted(
    cluster: Cluster, name: str, round_number: int, scope: trio.CancelScope
) -> None:
    """Send a change until it is accepted, then cancel the attempts through other instances."""
    while True:
        try:
            await cluster.operator(name).put(
                ObjectName('customer', f'{name}-{round_number}'), {}, None
            )
        except OperatorError as error:
            if error.status < 500:
                raise
        except ShallotmuxError:
            await trio.sleep(POLL_INTERVAL_S)
        else:
            scope.cancel()
            return
        await trio.sleep(POLL_INTERVAL_S)


async def _measure_until_everywhere(holds: Callable[[str], Awaitable[bool]]) -> float:
    """Return the seconds until a condition has held at each instance."""
    started = trio.current_time()
    with trio.fail_after(WAIT_TIMEOUT_S):
        for name in INSTANCE_NAMES:
            while not await holds(name):
                await trio.sleep(POLL_INTERVAL_S)
    return trio.current_time() - started


async def _models(cluster: Cluster, name: str, secret: str) -> tuple[int, bytes]:
    headers = {'authorization': f'Bearer {secret}'}
    request = HttpRequest('GET', cluster.daemons[name].callers, '/v1/models', b'', headers)
    return await fetch(cluster.client, request, MAX_BODY_BYTES)


async def _status_of_models(cluster: Cluster, name: str, secret: str) -> int:
    status, body = await _models(cluster, name, secret)
    return status if MODEL.encode() in body else max(status, 400)


def _add_durations(result: CheckResult, measured: dict[str, list[float]]) -> None:
    for name, times in measured.items():
        result.figures.append(format_spread(name, times))
        result.violations.extend(
            f'{name}: {each:.2f} s exceeds {PROPAGATION_TARGET_S} s'
            for each in times
            if each > PROPAGATION_TARGET_S
        )
