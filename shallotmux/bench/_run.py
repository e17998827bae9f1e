"""Runs the benchmark, with the engines, the instance and the load in separate processes."""

from __future__ import annotations

import json
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path

import trio

from shallotmux.bench._load import Target, encode_request, send_call, send_many
from shallotmux.bench._processes import Child, start_child
from shallotmux.bench._results import BenchResults, Latency
from shallotmux.http import HttpcoreClient
from shallotmux.operators import ObjectName, OperatorClient

LOOPBACK = '127.0.0.1:0'
OPERATOR_TOKEN = 'benchmark-operator-token'  # noqa: S105
MODEL = 'sorter'
ZONE = 'zone-a'
MESSAGES = ({'role': 'user', 'content': 'Sort lot 7.'},)
MS_PER_S = 1000.0

#: Fewer than the streams at which an engine counts as full, so that no request is queued.
STREAMS_PER_ENGINE = 8
US_PER_S = 1_000_000.0


@dataclass(frozen=True, slots=True)
class BenchSize:
    """Amount of load and measurements.

    :param token_s: seconds between tokens of the engine.
    :param idle_s: seconds over which the idle instance is measured; 0 skips that measurement.
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
    """Processes and targets of the benchmark.

    :param daemon: the instance.
    :param pipe: process that only copies bytes to a paced engine, as a lower bound.
    :param paced: paced engines through the instance, for the cost per token.
    :param paced_through_pipe: a paced engine through the pipe.
    :param immediate: engine without delay through the instance, for the fixed cost per request.
    :param direct: engine without delay, called directly.
    """

    daemon: Child
    pipe: Child
    paced: Target
    paced_through_pipe: Target
    immediate: Target
    direct: Target


async def run_bench(size: BenchSize, folder: Path) -> BenchResults:
    """Start the processes, run the measurements, and return the results.

    :param folder: directory for the settings file of the instance.
    """
    async with AsyncExitStack() as stack:
        setup = await _start(stack, size, folder)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(setup.daemon.drain_output)
            await _warm_up(setup)
            results = await _measure(setup, size)
            nursery.cancel_scope.cancel()
    return results


async def _start(stack: AsyncExitStack, size: BenchSize, folder: Path) -> Setup:
    paced = [
        await _start_engine(stack, f'paced-{number}', size.token_s)
        for number in range(-(-size.streams // STREAMS_PER_ENGINE))
    ]
    immediate = await _start_engine(stack, 'prompt', 0.0)
    engines = {'paced': paced, 'prompt': [immediate]}
    pipe = await stack.enter_async_context(start_child('shallotmux.bench._pipe', '--to', paced[0]))
    pipe_address = (await pipe.read_line()).decode().strip()
    settings = folder / 'settings.json'
    settings.write_text(json.dumps(_settings()), encoding='utf-8')
    daemon = await stack.enter_async_context(
        start_child('shallotmux.daemon', '--settings', str(settings))
    )
    started = await daemon.read_message('shallotmux:daemon:started')
    secret = await _configure(started['operators'], engines)
    return Setup(
        daemon,
        pipe,
        _relayed_target(started['callers'], secret, 'paced'),
        Target(pipe_address, _direct_request_builder(pipe_address)),
        _relayed_target(started['callers'], secret, 'prompt'),
        Target(immediate, _direct_request_builder(immediate)),
    )


async def _start_engine(stack: AsyncExitStack, name: str, token_s: float) -> str:
    """Start a stand-in engine and return its address."""
    arguments = ('engine', '--name', name, '--token-s', str(token_s))
    engine = await stack.enter_async_context(start_child('shallotmux.standins', *arguments))
    return (await engine.read_line()).decode().strip()


async def _measure(setup: Setup, size: BenchSize) -> BenchResults:
    token_cpu: list[float] = []
    pipe_cpu: list[float] = []
    request_cpu: list[float] = []
    latency: list[Latency] = []
    tokens = 0
    idle_cpu_ms_per_s = await _measure_idle_cpu(setup, size.idle_s) if size.idle_s else 0.0
    for _ in range(size.repetitions):
        request_s = await _measure_request_cpu(setup, size)
        before_s = setup.daemon.cpu_s()
        tokens = await send_many(setup.paced, size.streams, size.tokens)
        spent_s = setup.daemon.cpu_s() - before_s
        # The fixed cost per request is subtracted, since it is reported separately.
        token_cpu.append((spent_s - request_s * size.streams) / tokens * US_PER_S)
        pipe_cpu.append(await _measure_pipe_cpu(setup, size))
        request_cpu.append(request_s * MS_PER_S)
        latency.append(await _measure_latency(setup, size.calls))
    return BenchResults(
        tuple(token_cpu),
        tuple(pipe_cpu),
        tuple(request_cpu),
        tuple(latency),
        tokens,
        idle_cpu_ms_per_s,
    )


async def _measure_idle_cpu(setup: Setup, seconds: float) -> float:
    """Return the CPU milliseconds per second that an idle instance uses."""
    before_s = setup.daemon.cpu_s()
    await trio.sleep(seconds)
    return (setup.daemon.cpu_s() - before_s) / seconds * MS_PER_S


async def _measure_pipe_cpu(setup: Setup, size: BenchSize) -> float:
    """Return the CPU microseconds that the pipe uses per token of the same streams."""
    before_s = setup.pipe.cpu_s()
    tokens = await send_many(setup.paced_through_pipe, size.streams, size.tokens)
    return (setup.pipe.cpu_s() - before_s) / tokens * US_PER_S


async def _measure_request_cpu(setup: Setup, size: BenchSize) -> float:
    """Return the CPU seconds that the instance uses for a request of one token."""
    before_s = setup.daemon.cpu_s()
    for _ in range(size.calls):
        await send_call(setup.immediate, 1)
    return (setup.daemon.cpu_s() - before_s) / size.calls


async def _measure_latency(setup: Setup, calls: int) -> Latency:
    """Alternate direct and relayed calls, so that load of the machine affects both alike."""
    direct: list[float] = []
    relayed: list[float] = []
    for _ in range(calls):
        direct.append((await send_call(setup.direct, 1)).first_byte_s * MS_PER_S)
        relayed.append((await send_call(setup.immediate, 1)).first_byte_s * MS_PER_S)
    return Latency(tuple(direct), tuple(relayed))


async def _warm_up(setup: Setup) -> None:
    for target in (setup.direct, setup.immediate, setup.paced):
        await send_many(target, 8, 4)


async def _configure(address: str, engines: dict[str, list[str]]) -> str:
    client = HttpcoreClient()
    operator = OperatorClient(client, address, OPERATOR_TOKEN)
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
        'secrets': {'pepper': 'benchmark-pepper', 'operator_token': OPERATOR_TOKEN},
        'groups': {'standalone': True},
    }


def _relayed_target(address: str, secret: str, model: str) -> Target:
    def build(tokens: int) -> bytes:
        content = {'model': model, 'messages': MESSAGES, 'stream': True, 'max_tokens': tokens}
        headers = {'authorization': f'Bearer {secret}', 'content-type': 'application/json'}
        return encode_request(address, '/v1/chat/completions', content, headers)

    return Target(address, build)


def _direct_request_builder(address: str) -> Callable[[int], bytes]:
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
        return encode_request(address, '/run', content, {'content-type': 'application/json'})

    return build
