"""Tests of requests with prompts: reading apart, handing over, silent and refusing engines."""

from __future__ import annotations

from functools import partial

import trio

from shallotmux.fleet import EngineRole, ListedEndpoint, Listing
from shallotmux.forwarding import BudgetBounds, CallerRequest, Dialect
from shallotmux.placement import Prompt, build_prompt
from shallotmux.routes import (
    EngineProfile,
    ForwardedRoute,
    KeyHolder,
    RouteDocument,
    RouteKind,
    Service,
    ServiceShare,
)
from tests.forwarding._stage import (
    KEY,
    LIMITS,
    NAMES,
    ScriptedEndpoint,
    Seen,
    Stage,
    answer,
    run_stage,
)


def describe_prompt(request: CallerRequest) -> Prompt:
    """Return a long prompt whose last part belongs to the request."""
    own = request.text(NAMES.request_id)
    return build_prompt('m', (('shared', 9000), (own, 3000)), 12_000, 10)


DIALECT = Dialect(
    read_prompt=describe_prompt,
    read_handle=lambda content: content.decode() or None,
    prefill_headers=((NAMES.role, b'prefill'),),
)
ROUTE = ForwardedRoute(
    'ask',
    'shop.example',
    '/ask/',
    RouteKind.STREAMING,
    (ServiceShare('llm', 1),),
    4000,
    latency_objective_ms=500,
    gap_objective_ms=200,
    has_prompt=True,
)
PROFILE = EngineProfile(64, 400_000, 1000, 1e6, 5, 3)


async def generate(stream: trio.SocketStream, seen: Seen) -> bool:
    """Answer with what the request was generated from."""
    await stream.send_all(answer(seen, seen.headers.get(NAMES.cache_source, b'read here')))
    return True


async def read_prompt(stream: trio.SocketStream, seen: Seen) -> bool:
    """Answer a prefill with a handle."""
    assert seen.headers[NAMES.role] == b'prefill'
    await stream.send_all(answer(seen, b'handle'))
    return True


async def refuse(stream: trio.SocketStream, seen: Seen) -> bool:
    """Say that nothing was run."""
    await stream.send_all(answer(seen, b'', status=503, extra=b'X-Not-Run: 1\r\n'))
    return True


async def stay_silent(stream: trio.SocketStream, seen: Seen) -> bool:
    """Answer nothing."""
    await stream.receive_some()
    return False


def set_engines(
    stage: Stage, readers: list[ScriptedEndpoint], generators: list[ScriptedEndpoint]
) -> None:
    """Put a configuration with engines in force."""
    service = Service('llm', '/healthz', 8, PROFILE)
    customers = (KeyHolder('tailors', (KEY,)),)
    stage.forwarder.view.apply_document(RouteDocument(2, (ROUTE,), (service,), LIMITS, customers))
    listed = [
        ListedEndpoint(f'p-{number}', 'llm', each.address, 'a', 64, role=EngineRole.PREFILL)
        for number, each in enumerate(readers)
    ]
    listed += [
        ListedEndpoint(f'd-{number}', 'llm', each.address, 'a', 64, role=EngineRole.DECODE)
        for number, each in enumerate(generators)
    ]
    stage.forwarder.directory.update_listing(Listing(tuple(listed)))


async def test_prompt_is_read_apart_and_handed_over() -> None:
    """Guards against long prompts that are read between the tokens of other streams."""
    reader, generator = ScriptedEndpoint(read_prompt), ScriptedEndpoint(generate)
    async with run_stage(reader, generator, dialect=DIALECT) as stage:
        set_engines(stage, [reader], [generator])
        got = await stage.ask('/ask/')
    assert got.body == f'{reader.address}/handle'.encode()
    assert NAMES.role not in generator.seen[0].headers
    assert stage.begun == ['tailors']


async def test_silent_reader_is_left_for_another() -> None:
    """Guards against prompts that wait for a dark engine until their deadline."""
    readers = [ScriptedEndpoint(stay_silent), ScriptedEndpoint(read_prompt)]
    generator = ScriptedEndpoint(generate)
    async with run_stage(*readers, generator, dialect=DIALECT) as stage:
        set_engines(stage, readers, [generator])
        got = [await stage.ask('/ask/', request_id=f'r-{number}') for number in range(3)]
        silent = stage.forwarder.directory.find('p-0')
        assert silent is not None
        assert not readers[0].seen or not silent.is_sound(trio.current_time())
    assert {each.body for each in got} == {f'{readers[1].address}/handle'.encode()}
    assert len(readers[0].seen) <= 1


async def test_refusing_readers_leave_the_reading_to_the_generator() -> None:
    """Guards against requests that are lost because nobody reads their prompt apart."""
    readers = [ScriptedEndpoint(refuse), ScriptedEndpoint(refuse)]
    generator = ScriptedEndpoint(generate)
    async with run_stage(*readers, generator, dialect=DIALECT) as stage:
        set_engines(stage, readers, [generator])
        got = await stage.ask('/ask/')
    assert got.body == b'read here'


async def test_handle_is_offered_again_after_a_refusal() -> None:
    """Guards against prompts that are read twice because one generating engine was full."""
    reader = ScriptedEndpoint(read_prompt)
    generators = [ScriptedEndpoint(refuse), ScriptedEndpoint(generate)]
    async with run_stage(reader, *generators, dialect=DIALECT) as stage:
        set_engines(stage, [reader], generators)
        got = [await stage.ask('/ask/', request_id=f'r-{number}') for number in range(4)]
    assert {each.status for each in got} == {200}
    assert len(reader.seen) == 4


async def test_refused_and_further_prefills_are_repeats() -> None:
    """Guards against repeats that the budget does not see: kockica-mux quiet-1, 45296364911."""
    readers = [ScriptedEndpoint(refuse), ScriptedEndpoint(refuse)]
    generator = ScriptedEndpoint(refuse)
    budget = BudgetBounds(ratio=0, slack=10, window_s=60)
    async with run_stage(*readers, generator, budget=budget, dialect=DIALECT) as stage:
        set_engines(stage, readers, [generator])
        for number in range(20):
            await stage.ask('/ask/', request_id=f'r-{number}')
            for name in ('p-0', 'p-1', 'd-0'):
                state = stage.forwarder.directory.find(name)
                assert state is not None
                state.refused_until = float('-inf')
    arrivals = sum(len(each.seen) for each in (*readers, generator))
    firsts = 20
    assert arrivals - firsts <= 10


async def test_busy_reader_is_not_taken_for_a_silent_one() -> None:
    """Guards against engines that are avoided for their queue, which crowds the others: quiet-1."""
    answered: list[bytes] = []

    async def read_slowly(stream: trio.SocketStream, seen: Seen) -> bool:
        if seen.headers[NAMES.request_id] == b'r-slow':
            await trio.sleep(2.5)
        answered.append(seen.headers[NAMES.request_id])
        await stream.send_all(answer(seen, b'handle'))
        return True

    reader, generator = ScriptedEndpoint(read_slowly), ScriptedEndpoint(generate)
    async with run_stage(reader, generator, dialect=DIALECT) as stage:
        set_engines(stage, [reader], [generator])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(partial(stage.ask, '/ask/', request_id='r-slow'))
            await trio.sleep(0.3)
            await stage.ask('/ask/', request_id='r-quick')
        state = stage.forwarder.directory.find('p-0')
        assert state is not None
        assert state.avoided_until < trio.current_time()
    assert answered[0] == b'r-quick'


async def test_prompts_are_read_apart_though_repeats_are_spent() -> None:
    """Guards against prompts read between streams for fear of a refusal: hornknap-drift scale-2."""
    reader, generator = ScriptedEndpoint(read_prompt), ScriptedEndpoint(generate)
    budget = BudgetBounds(ratio=0, slack=10, window_s=60)
    async with run_stage(reader, generator, budget=budget, dialect=DIALECT) as stage:
        set_engines(stage, [reader], [generator])
        taken = [stage.forwarder.budget.take('llm') for _ in range(10)]
        assert not all(taken)
        got = await stage.ask('/ask/')
    assert got.body == f'{reader.address}/handle'.encode()


async def test_reader_is_told_where_to_fetch_shared_parts() -> None:
    """Guards against shared parts that a second reader reads again."""
    readers = [ScriptedEndpoint(read_prompt), ScriptedEndpoint(read_prompt)]
    generator = ScriptedEndpoint(generate)
    async with run_stage(*readers, generator, dialect=DIALECT) as stage:
        set_engines(stage, readers, [generator])
        await stage.ask('/ask/', extra='X-Cache-Peer: 10.0.0.1:1\r\n')
    asked, other = sorted(readers, key=lambda each: len(each.seen), reverse=True)
    assert [seen.headers[NAMES.cache_peer] for seen in asked.seen] == [other.address.encode()]
    assert NAMES.cache_peer not in generator.seen[0].headers


async def test_request_that_would_wait_too_long_is_refused_at_once() -> None:
    """Guards against queues in which each request is late: hornknap-drift scale-2, seconds 8 to 17."""
    reader, generator = ScriptedEndpoint(read_prompt), ScriptedEndpoint(generate)
    async with run_stage(reader, generator, dialect=DIALECT) as stage:
        set_engines(stage, [reader], [generator])
        state = stage.forwarder.directory.find('p-0')
        assert state is not None
        state.unread_tokens = 50 * 1000
        refused = await stage.ask('/ask/', request_id='r-1')
        state.unread_tokens = 50 * 100
        served = await stage.ask('/ask/', request_id='r-2')
    assert refused.status == 503
    assert 0 < float(refused.headers[b'retry-after']) < 2
    assert served.status == 200
    assert [seen.headers[NAMES.request_id] for seen in reader.seen] == [b'r-2']


async def test_only_generator_is_used_though_it_refused_lately() -> None:
    """Guards against "no endpoint" while an engine is there: kockica-mux scale-1, seconds 6 to 15."""
    refusals = [True]

    async def refuse_once(stream: trio.SocketStream, seen: Seen) -> bool:
        return await (refuse if refusals and refusals.pop() else generate)(stream, seen)

    reader, generator = ScriptedEndpoint(read_prompt), ScriptedEndpoint(refuse_once)
    async with run_stage(reader, generator, dialect=DIALECT) as stage:
        set_engines(stage, [reader], [generator])
        got = [await stage.ask('/ask/', request_id=f'r-{number}') for number in range(2)]
    assert [each.status for each in got] == [503, 200]
