"""Run the benchmark with an engine, an instance and the load in a process each."""

from __future__ import annotations

import json
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path

import trio

from shallotmux.bench._figures import Figures, Latency
from shallotmux.bench._load import Target, build_http, send_call, send_many
from shallotmux.bench._processes import Child, start_child
from shallotmux.http import HttpcoreClient
from shallotmux.operators import ObjectName, OperatorClient

LOOPBACK = '127.0.0.1:0'
TOKEN = 'benchmark-operator-token'  # noqa: S105
MODEL = 'sorter'
ZONE = 'zone-a'
MESSAGES = ({'role': 'user', 'content': 'Sort lot 7.'},)
MS = 1000.0

#: Fewer than the streams that count as a full engine, so that no request waits for a place.
STREAMS_PER_ENGINE = 8
US = 1_000_000.0


@dataclass(frozen=True, slots=True)
class BenchSize:
    """How much is measured.

    :param token_s: seconds between tokens of the engine.
    :param idle_s: seconds for which the idle instance is observed; 0 leaves that out.
    :param calls: pairs of direct and relayed calls for the latency, in each repetition.
    """

    repetitions: int
    streams: int
    tokens: int
    token_s: float
    calls: int
    idle_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Setup:
    """The processes that are measured.

    :param pipe: copies bytes to the paced engine, as a lower bound.
    :param paced: instance route to the paced engine, for the cost of tokens.
    :param piped: the paced engine through the pipe.
    :param prompt: the same route of an engine that answers at once, for fixed costs.
    :param direct: the engine that answers at once, without an instance.
    """

    daemon: Child
    pipe: Child
    paced: Target
    piped: Target
    prompt: Target
    direct: Target


async def run_bench(size: BenchSize, folder: Path) -> Figures:
    """Start the processes, measure, and return the figures.

    :param folder: receives the settings of the instance.
    """
    async with AsyncExitStack() as stack:
        setup = await _start(stack, size, folder)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(setup.daemon.drain_output)
            await _warm_up(setup)
            figures = await _measure(setup, size)
            nursery.cancel_scope.cancel()
    return figures


async def _start(stack: AsyncExitStack, size: BenchSize, folder: Path) -> Setup:
    paced = [
        await _start_engine(stack, f'paced-{number}', size.token_s)
        for number in range(-(-size.streams // STREAMS_PER_ENGINE))
    ]
    prompt = await _start_engine(stack, 'prompt', 0.0)
    engines = {'paced': paced, 'prompt': [prompt]}
    pipe = await stack.enter_async_context(start_child('shallotmux.bench._pipe', '--to', paced[0]))
    pipe_address = (await pipe.line()).decode().strip()
    settings = folder / 'settings.json'
    settings.write_text(json.dumps(_settings()), encoding='utf-8')
    daemon = await stack.enter_async_context(
        start_child('shallotmux.daemon', '--settings', str(settings))
    )
    started = await daemon.message('shallotmux:daemon:started')
    secret = await _configure(started['operators'], engines)
    return Setup(
        daemon,
        pipe,
        _relayed(started['callers'], secret, 'paced'),
        Target(pipe_address, _direct_builder(pipe_address)),
        _relayed(started['callers'], secret, 'prompt'),
        Target(prompt, _direct_builder(prompt)),
    )


async def _start_engine(stack: AsyncExitStack, name: str, token_s: float) -> str:
    """Start a stand-in engine and return its address."""
    words = ('engine', '--name', name, '--token-s', str(token_s))
    engine = await stack.enter_async_context(start_child('shallotmux.standins', *words))
    return (await engine.line()).decode().strip()


async def _measure(setup: Setup, size: BenchSize) -> Figures:
    token_cpu: list[float] = []
    pipe_cpu: list[float] = []
    request_cpu: list[float] = []
    latency: list[Latency] = []
    tokens = 0
    background_ms = await _observe_idle(setup, size.idle_s) if size.idle_s else 0.0
    for _ in range(size.repetitions):
        request_s = await _cpu_per_call(setup, size)
        before = setup.daemon.cpu_s()
        tokens = await send_many(setup.paced, size.streams, size.tokens)
        spent = setup.daemon.cpu_s() - before
        # The fixed cost of the requests is counted apart from that of their tokens.
        token_cpu.append((spent - request_s * size.streams) / tokens * US)
        pipe_cpu.append(await _cpu_of_pipe(setup, size))
        request_cpu.append(request_s * MS)
        latency.append(await _compare(setup, size.calls))
    return Figures(
        tuple(token_cpu),
        tuple(pipe_cpu),
        tuple(request_cpu),
        tuple(latency),
        tokens,
        background_ms,
    )


async def _observe_idle(setup: Setup, seconds: float) -> float:
    """Return the CPU milliseconds per second of an instance without requests."""
    before = setup.daemon.cpu_s()
    await trio.sleep(seconds)
    return (setup.daemon.cpu_s() - before) / seconds * MS


async def _cpu_of_pipe(setup: Setup, size: BenchSize) -> float:
    """Return the CPU microseconds of the pipe per token of the same streams."""
    before = setup.pipe.cpu_s()
    tokens = await send_many(setup.piped, size.streams, size.tokens)
    return (setup.pipe.cpu_s() - before) / tokens * US


async def _cpu_per_call(setup: Setup, size: BenchSize) -> float:
    """Return the CPU seconds of the instance for a request of one token."""
    before = setup.daemon.cpu_s()
    for _ in range(size.calls):
        await send_call(setup.prompt, 1)
    return (setup.daemon.cpu_s() - before) / size.calls


async def _compare(setup: Setup, calls: int) -> Latency:
    """Alternate direct and relayed calls, so that both see the same state of the machine."""
    direct: list[float] = []
    relayed: list[float] = []
    for _ in range(calls):
        direct.append((await send_call(setup.direct, 1)).first_byte_s * MS)
        relayed.append((await send_call(setup.prompt, 1)).first_byte_s * MS)
    return Latency(tuple(direct), tuple(relayed))


async def _warm_up(setup: Setup) -> None:
    for target in (setup.direct, setup.prompt, setup.paced):
        await send_many(target, 8, 4)


async def _configure(address: str, engines: dict[str, list[str]]) -> str:
    client = HttpcoreClient()
    operator = OperatorClient(client, address, TOKEN)
    await operator.put(ObjectName('customer', 'bench'), {'contract': {'connections': 4096}}, 0)
    for name, addresses in engines.items():
        endpoints = [
            {'name': f'{name}-{number}', 'zone': ZONE, 'address': each}
            for number, each in enumerate(addresses)
        ]
        pool = {'zone': ZONE, 'model': MODEL, 'endpoints': endpoints}
        await operator.put(ObjectName('pool', name), pool, 0)
        await operator.put(ObjectName('route', name), {'pool': name}, 0)
    secret: str = (await operator.create_key('bench'))['secret']
    await client.close()
    return secret


def _settings() -> dict[str, object]:
    return {
        'instance': {'name': 'bench', 'zone': ZONE},
        'listeners': {'callers': LOOPBACK, 'operators': LOOPBACK},
        'secrets': {'pepper': 'benchmark-pepper', 'operator_token': TOKEN},
        'groups': {'standalone': True},
    }


def _relayed(address: str, secret: str, model: str) -> Target:
    def build(tokens: int) -> bytes:
        content = {'model': model, 'messages': MESSAGES, 'stream': True, 'max_tokens': tokens}
        headers = {'authorization': f'Bearer {secret}', 'content-type': 'application/json'}
        return build_http(address, '/v1/chat/completions', content, headers)

    return Target(address, build)


def _direct_builder(address: str) -> Callable[[int], bytes]:
    def build(tokens: int) -> bytes:
        content = {
            'attempt_id': 'bench.1',
            'response_id': 'bench',
            'model': MODEL,
            'messages': MESSAGES,
            'max_tokens': tokens,
            'priority': 0,
            'offset': 0,
            'chat': True,
        }
        return build_http(address, '/run', content, {'content-type': 'application/json'})

    return build
