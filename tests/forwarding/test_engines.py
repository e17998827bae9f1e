"""Tests of requests with prompts: separate prefill, cache handles, failing engines."""

from __future__ import annotations

from functools import partial

import trio

from shallotmux.estimates import Work
from shallotmux.fleet import EngineRole, ListedEndpoint, Listing
from shallotmux.forwarding import CallerRequest, Dialect, RetryBudgetLimits
from shallotmux.placement import PhaseTime, Prompt, build_prompt
from shallotmux.routes import (
    DocumentCustomer,
    EngineProfile,
    ForwardedRoute,
    RouteDocument,
    RouteKind,
    Service,
    ServiceShare,
)
from tests.forwarding._harness import (
    KEY,
    LIMITS,
    NAMES,
    ForwarderHarness,
    ReceivedRequest,
    ScriptedEndpoint,
    answer,
    run_forwarder,
)


def describe_prompt(request: CallerRequest) -> Prompt:
    """Return a long prompt whose last part is unique to the request."""
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


def make_event(text: str) -> bytes:
    """Return an event of a stream."""
    return f'data: {text}\n\n'.encode()


async def generate(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Answer with an event that names the cache source of the request, if it has one."""
    source = received.headers.get(NAMES.cache_source, b'read here').decode()
    stream_type = b'Content-Type: text/event-stream\r\n'
    await stream.send_all(answer(received, make_event(source), extra=stream_type))
    return True


async def answer_prefill(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Answer a prefill with a handle."""
    assert received.headers[NAMES.role] == b'prefill'
    await stream.send_all(answer(received, b'handle'))
    return True


async def refuse(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Refuse with the not-run header."""
    await stream.send_all(answer(received, b'', status=503, extra=b'X-Not-Run: 1\r\n'))
    return True


async def never_answer(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Answer nothing."""
    await stream.receive_some()
    return False


def configure_engines(
    harness: ForwarderHarness,
    prefill_engines: list[ScriptedEndpoint],
    decode_engines: list[ScriptedEndpoint],
    route: ForwardedRoute = ROUTE,
) -> None:
    """Apply a configuration and a listing with engines."""
    service = Service('llm', '/healthz', 8, PROFILE)
    customers = (DocumentCustomer('tailors', (KEY,)),)
    harness.forwarder.view.apply_document(RouteDocument(2, (route,), (service,), LIMITS, customers))
    listed = [
        ListedEndpoint(f'p-{number}', 'llm', each.address, 'a', 64, role=EngineRole.PREFILL)
        for number, each in enumerate(prefill_engines)
    ]
    listed += [
        ListedEndpoint(f'd-{number}', 'llm', each.address, 'a', 64, role=EngineRole.DECODE)
        for number, each in enumerate(decode_engines)
    ]
    harness.forwarder.directory.update_listing(Listing(tuple(listed)))


async def test_long_prompt_is_prefilled_on_a_separate_engine() -> None:
    """Guards against long prompts whose prefill delays the streams of a decode engine."""
    prefill_engine, decode_engine = ScriptedEndpoint(answer_prefill), ScriptedEndpoint(generate)
    async with run_forwarder(prefill_engine, decode_engine, dialect=DIALECT) as harness:
        configure_engines(harness, [prefill_engine], [decode_engine])
        got = await harness.make_request('/ask/')
    assert got.body == make_event(f'{prefill_engine.address}/handle')
    assert NAMES.role not in decode_engine.received[0].headers
    assert harness.started_customers == ['tailors']


async def test_unresponsive_prefill_engine_is_replaced() -> None:
    """Guards against prompts that wait for an unresponsive engine until their deadline."""
    prefill_engines = [ScriptedEndpoint(never_answer), ScriptedEndpoint(answer_prefill)]
    decode_engine = ScriptedEndpoint(generate)
    async with run_forwarder(*prefill_engines, decode_engine, dialect=DIALECT) as harness:
        configure_engines(harness, prefill_engines, [decode_engine])
        got = [await harness.make_request('/ask/', request_id=f'r-{number}') for number in range(3)]
        unresponsive = harness.forwarder.directory.find('p-0')
        assert unresponsive is not None
        assert not prefill_engines[0].received or not unresponsive.is_available(trio.current_time())
    assert {each.body for each in got} == {make_event(f'{prefill_engines[1].address}/handle')}
    assert len(prefill_engines[0].received) <= 1


async def test_decode_engine_prefills_if_prefill_engines_refuse() -> None:
    """Guards against requests that fail because no prefill engine accepts their prompt."""
    prefill_engines = [ScriptedEndpoint(refuse), ScriptedEndpoint(refuse)]
    decode_engine = ScriptedEndpoint(generate)
    async with run_forwarder(*prefill_engines, decode_engine, dialect=DIALECT) as harness:
        configure_engines(harness, prefill_engines, [decode_engine])
        got = await harness.make_request('/ask/')
    assert got.body == make_event('read here')


async def test_cache_handle_is_reused_after_a_refusal() -> None:
    """Guards against a second prefill because one decode engine was full."""
    prefill_engine = ScriptedEndpoint(answer_prefill)
    decode_engines = [ScriptedEndpoint(refuse), ScriptedEndpoint(generate)]
    async with run_forwarder(prefill_engine, *decode_engines, dialect=DIALECT) as harness:
        configure_engines(harness, [prefill_engine], decode_engines)
        got = [await harness.make_request('/ask/', request_id=f'r-{number}') for number in range(4)]
    assert {each.status for each in got} == {200}
    assert len(prefill_engine.received) == 4


async def test_refused_and_further_prefills_count_as_retries() -> None:
    """Guards against refused and further prefills that the retry budget does not count."""
    prefill_engines = [ScriptedEndpoint(refuse), ScriptedEndpoint(refuse)]
    decode_engine = ScriptedEndpoint(refuse)
    budget = RetryBudgetLimits(ratio=0, slack=10, window_s=60)
    async with run_forwarder(
        *prefill_engines, decode_engine, budget=budget, dialect=DIALECT
    ) as harness:
        configure_engines(harness, prefill_engines, [decode_engine])
        for number in range(20):
            await harness.make_request('/ask/', request_id=f'r-{number}')
            for name in ('p-0', 'p-1', 'd-0'):
                state = harness.forwarder.directory.find(name)
                assert state is not None
                state.refused_until = float('-inf')
    total_sends = sum(len(each.received) for each in (*prefill_engines, decode_engine))
    first_sends = 20
    assert total_sends - first_sends <= 10


async def test_unreachable_decode_engines_cost_no_second_prefill() -> None:
    """Guards against prompts that are prefilled again and again while engines are cut off."""
    prefill_engine = ScriptedEndpoint(answer_prefill)
    async with run_forwarder(prefill_engine, dialect=DIALECT) as harness:
        configure_engines(harness, [prefill_engine], [])
        reachable = harness.forwarder.directory.find('p-0')
        assert reachable is not None
        cut_off = [
            ListedEndpoint(
                f'd-{number}', 'llm', f'127.0.0.1:{number}', 'a', 64, role=EngineRole.DECODE
            )
            for number in (1, 2, 3, 4)
        ]
        harness.forwarder.directory.update_listing(Listing((reachable.listed, *cut_off)))
        got = await harness.make_request('/ask/')
    assert got.status == 503
    assert len(prefill_engine.received) == 1


async def test_further_accepted_prefills_count_as_retries() -> None:
    """Guards against prompts that are prefilled again without being counted."""
    prefill_engine = ScriptedEndpoint(answer_prefill)
    decode_engines = [ScriptedEndpoint(refuse) for _ in range(4)]
    budget = RetryBudgetLimits(ratio=0, slack=30, window_s=60)
    async with run_forwarder(
        prefill_engine, *decode_engines, budget=budget, dialect=DIALECT
    ) as harness:
        configure_engines(harness, [prefill_engine], decode_engines)
        for number in range(20):
            await harness.make_request('/ask/', request_id=f'r-{number}')
        charged = harness.forwarder.budget.count('llm')
    sends = sum(len(each.received) for each in decode_engines)
    extra = max(0, sends - 20) + max(0, len(prefill_engine.received) - 20)
    assert extra > 0
    assert charged >= extra


async def test_busy_prefill_engine_is_not_avoided() -> None:
    """Guards against overload: a slow prefill made a busy engine avoided, and the others took its load."""
    answered: list[bytes] = []

    async def prefill_slowly(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        if received.headers[NAMES.request_id] == b'r-slow':
            await trio.sleep(2.5)
        answered.append(received.headers[NAMES.request_id])
        await stream.send_all(answer(received, b'handle'))
        return True

    prefill_engine, decode_engine = ScriptedEndpoint(prefill_slowly), ScriptedEndpoint(generate)
    async with run_forwarder(prefill_engine, decode_engine, dialect=DIALECT) as harness:
        configure_engines(harness, [prefill_engine], [decode_engine])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(partial(harness.make_request, '/ask/', request_id='r-slow'))
            await trio.sleep(0.3)
            await harness.make_request('/ask/', request_id='r-quick')
        state = harness.forwarder.directory.find('p-0')
        assert state is not None
        assert state.avoided_until < trio.current_time()
    assert answered[0] == b'r-quick'


async def test_prefill_is_separate_without_retry_budget() -> None:
    """Guards against prefill on decode engines once the retry budget has run out.

    Few prefills are refused, so a separate prefill is still tried.
    """
    prefill_engine, decode_engine = ScriptedEndpoint(answer_prefill), ScriptedEndpoint(generate)
    budget = RetryBudgetLimits(ratio=0, slack=10, window_s=60)
    async with run_forwarder(
        prefill_engine, decode_engine, budget=budget, dialect=DIALECT
    ) as harness:
        configure_engines(harness, [prefill_engine], [decode_engine])
        taken = [harness.forwarder.budget.try_spend('llm') for _ in range(10)]
        assert not all(taken)
        got = await harness.make_request('/ask/')
    assert got.body == make_event(f'{prefill_engine.address}/handle')


async def test_prefill_engine_is_told_where_to_fetch_shared_parts() -> None:
    """Guards against a second prefill of shared parts on another prefill engine."""
    prefill_engines = [ScriptedEndpoint(answer_prefill), ScriptedEndpoint(answer_prefill)]
    decode_engine = ScriptedEndpoint(generate)
    async with run_forwarder(*prefill_engines, decode_engine, dialect=DIALECT) as harness:
        configure_engines(harness, prefill_engines, [decode_engine])
        await harness.make_request('/ask/', extra='X-Cache-Peer: 10.0.0.1:1\r\n')
    asked, other = sorted(prefill_engines, key=lambda each: len(each.received), reverse=True)
    assert [received.headers[NAMES.cache_peer] for received in asked.received] == [
        other.address.encode()
    ]
    assert NAMES.cache_peer not in decode_engine.received[0].headers


async def test_request_that_would_wait_too_long_is_refused_at_once() -> None:
    """Guards against overload in which a long queue makes every request late."""
    prefill_engine, decode_engine = ScriptedEndpoint(answer_prefill), ScriptedEndpoint(generate)
    async with run_forwarder(prefill_engine, decode_engine, dialect=DIALECT) as harness:
        configure_engines(harness, [prefill_engine], [decode_engine])
        state = harness.forwarder.directory.find('p-0')
        assert state is not None
        state.queued_prefill_tokens = 50 * 1000
        refused = await harness.make_request('/ask/', request_id='r-1')
        state.queued_prefill_tokens = 50 * 100
        served = await harness.make_request('/ask/', request_id='r-2')
    assert refused.status == 503
    assert 0 < float(refused.headers[b'retry-after']) < 2
    assert served.status == 200
    assert [received.headers[NAMES.request_id] for received in prefill_engine.received] == [b'r-2']


async def test_hot_prefix_is_not_refused_while_another_engine_is_idle() -> None:
    """Guards against refusals of a prefix whose owners are busy, beside idle engines."""
    prefill_engines = [ScriptedEndpoint(answer_prefill) for _ in range(5)]
    decode_engine = ScriptedEndpoint(generate)
    async with run_forwarder(*prefill_engines, decode_engine, dialect=DIALECT) as harness:
        configure_engines(harness, prefill_engines, [decode_engine])
        states = [harness.forwarder.directory.find(f'p-{number}') for number in range(5)]
        got = []
        for number, idle in enumerate(states):
            for state in states:
                assert state is not None
                state.queued_prefill_tokens = 0 if state is idle else 50 * 20_000
            got.append(await harness.make_request('/ask/', request_id=f'r-{number}'))
    assert {each.status for each in got} == {200}
    assert {len(each.received) for each in prefill_engines} == {1}


async def test_slow_answers_refuse_no_request_while_engines_are_idle() -> None:
    """Guards against corrected waits that refuse requests although nothing waits."""
    prefill_engine, decode_engine = ScriptedEndpoint(answer_prefill), ScriptedEndpoint(generate)
    async with run_forwarder(prefill_engine, decode_engine, dialect=DIALECT) as harness:
        configure_engines(harness, [prefill_engine], [decode_engine])
        estimator = harness.forwarder.placer.estimator
        for identity, work in (('p-0', Work.PREFILL), ('d-0', Work.HANDOVER)):
            state = harness.forwarder.directory.find(identity)
            assert state is not None
            now = trio.current_time()
            for number in range(30):
                time = PhaseTime(service_ms=100.0 + 20 * number)
                estimate = estimator.estimate_phase(state, work, time, now)
                estimator.record(state, estimate, 40_000.0, now)
        got = await harness.make_request('/ask/')
    assert got.status == 200


async def test_only_decode_engine_is_used_despite_recent_refusal() -> None:
    """Guards against "no endpoint" while the only decode engine is backing off after a refusal."""
    refusals = [True]

    async def refuse_once(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        return await (refuse if refusals and refusals.pop() else generate)(stream, received)

    prefill_engine, decode_engine = ScriptedEndpoint(answer_prefill), ScriptedEndpoint(refuse_once)
    async with run_forwarder(prefill_engine, decode_engine, dialect=DIALECT) as harness:
        configure_engines(harness, [prefill_engine], [decode_engine])
        got = [await harness.make_request('/ask/', request_id=f'r-{number}') for number in range(2)]
    assert [each.status for each in got] == [503, 200]
