"""Checks of keys and changes across the instances of a zone."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from shallotmux.checking.processes._callers import Outcome, StreamReader
from shallotmux.checking.processes._child import DEADLINE_S, POLL_S, until
from shallotmux.checking.processes._fleet import CUSTOMER, LIMIT_BYTES, MODEL, NAMES, Fleet
from shallotmux.checking.processes._report import Row, spread
from shallotmux.errors import ShallotmuxError
from shallotmux.http import HttpRequest, fetch
from shallotmux.operators import ObjectName, OperatorError

#: Bound of the design page on the reach of a withdrawal or a change.
TARGET_S = 3.0

#: Tokens of a stream that lasts longer than the bound: 10 s at the engine's 5 ms.
LONG_TOKENS = 2000


@dataclass
class Withdrawal:
    """Use of one key at all instances until it is refused everywhere.

    :param admitted_s: time of the last admitted request, which was sent before that.
    :param ended_s: times at which streams ended.
    """

    fleet: Fleet
    secret: str
    admitted_s: float = 0.0
    ended_s: list[float] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)

    async def probe(self, name: str) -> None:
        """Send requests until the key is refused."""
        while await self.is_admitted(name):
            self.admitted_s = max(self.admitted_s, trio.current_time())
            await trio.sleep(POLL_S)

    async def is_admitted(self, name: str) -> bool:
        """Tell whether an instance accepts the key."""
        return await _status_of_models(self.fleet, name, self.secret) == 200

    async def stream(self, name: str) -> None:
        """Read a long stream until it ends."""
        reader = StreamReader(self.fleet, f'Long sheet of {name}', self.secret, LONG_TOKENS)
        outcome = await reader.attempt(name)
        self.ended_s.append(trio.current_time())
        if outcome != Outcome.ERROR or reader.problem != 'key_withdrawn':
            self.problems.append(f'{name}: stream ended with {outcome}: {reader.problem}')


async def check_keys(fleet: Fleet, rounds: int) -> Row:
    """Check that keys work and stop working at all instances."""
    row = Row('key created through one instance, withdrawn through another', rounds)
    created, admitted, ended = [], [], []
    for turn in range(rounds):
        key = await fleet.operator(NAMES[turn % 3]).create_key(CUSTOMER)
        use = Withdrawal(fleet, str(key['secret']))
        created.append(await _time_everywhere(use.is_admitted))
        started = await _withdraw(use, str(key['key_id']), NAMES[(turn + 1) % 3])
        admitted.append(max(use.admitted_s - started, 0))
        ended.append(max(use.ended_s) - started)
        row.violations.extend(use.problems)
    _add_times(row, {'key accepted by all': created, 'last admitted': admitted, 'streams': ended})
    return row


async def _withdraw(use: Withdrawal, key_id: str, name: str) -> float:
    """Withdraw a key in use, return the time, and wait until it is refused everywhere."""
    fleet = use.fleet
    async with trio.open_nursery() as nursery:
        for streaming in NAMES:
            nursery.start_soon(use.stream, streaming)
        await until(lambda: all(fleet.open_streams[each] for each in NAMES))
        for probed in NAMES:
            nursery.start_soon(use.probe, probed)
        started = trio.current_time()
        await fleet.operator(name).withdraw_key(key_id)
    return started


async def check_configuration(fleet: Fleet, rounds: int) -> Row:
    """Check that a new route is in force at all instances."""
    row = Row('configuration change in force on all instances', rounds)
    times = []
    for turn in range(rounds):
        model = f'model-{turn}'
        started = trio.current_time()
        place = ObjectName('route', model)
        await fleet.operator(NAMES[turn % 3]).put(place, {'pool': 'sorting'}, 0)

        async def is_listed(name: str, model: str = model) -> bool:
            return f'"{model}"'.encode() in (await _models(fleet, name, fleet.secret))[1]

        await _time_everywhere(is_listed)
        times.append(trio.current_time() - started)
    _add_times(row, {'in force': times})
    return row


async def check_leader(fleet: Fleet, rounds: int) -> Row:
    """Check that changes are accepted soon after the leader was killed."""
    row = Row('leader killed', rounds)
    times = []
    for turn in range(rounds):
        leader = await fleet.leader()
        await fleet.end(leader, signal.SIGKILL)
        started = trio.current_time()
        with trio.fail_after(DEADLINE_S):
            await _change_through_any(fleet, [each for each in NAMES if each != leader], turn)
        times.append(trio.current_time() - started)
        await fleet.start(leader)
        await fleet.until_ready()
    row.figures.append(spread('next accepted change', times))
    return row


async def _change_through_any(fleet: Fleet, names: list[str], turn: int) -> None:
    async with trio.open_nursery() as nursery:
        for name in names:
            nursery.start_soon(_change_once, fleet, name, turn, nursery.cancel_scope)


async def _change_once(fleet: Fleet, name: str, turn: int, scope: trio.CancelScope) -> None:
    """Send a change until it is accepted, and end the attempts through others."""
    while True:
        try:
            await fleet.operator(name).put(ObjectName('customer', f'{name}-{turn}'), {}, None)
        except OperatorError as error:
            if error.status < 500:
                raise
        except ShallotmuxError:
            await trio.sleep(POLL_S)
        else:
            scope.cancel()
            return
        await trio.sleep(POLL_S)


async def _time_everywhere(holds: Callable[[str], Awaitable[bool]]) -> float:
    """Return the seconds until a condition holds at all instances."""
    started = trio.current_time()
    with trio.fail_after(DEADLINE_S):
        for name in NAMES:
            while not await holds(name):
                await trio.sleep(POLL_S)
    return trio.current_time() - started


async def _models(fleet: Fleet, name: str, secret: str) -> tuple[int, bytes]:
    headers = {'authorization': f'Bearer {secret}'}
    request = HttpRequest('GET', fleet.daemons[name].callers, '/v1/models', b'', headers)
    return await fetch(fleet.client, request, LIMIT_BYTES)


async def _status_of_models(fleet: Fleet, name: str, secret: str) -> int:
    status, body = await _models(fleet, name, secret)
    return status if MODEL.encode() in body else max(status, 400)


def _add_times(row: Row, measured: dict[str, list[float]]) -> None:
    for name, times in measured.items():
        row.figures.append(spread(name, times))
        row.violations.extend(
            f'{name}: {each:.2f} s exceeds {TARGET_S} s' for each in times if each > TARGET_S
        )
