"""Tests of the delivery of orders across failovers, checked by what the engine received."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec
import pytest
import trio
import trio.testing

from shallotmux.authority import (
    ChangeRole,
    IntentOpened,
    OpenIntent,
    PutObject,
    Refused,
    TakeAuthority,
)
from shallotmux.http import Receive, Scope, Send, read_body, send_json
from shallotmux.orders import (
    LeadershipOptions,
    OrderDependencies,
    OrderDispatcher,
    Term,
    run_as_leader,
)
from shallotmux.standins import MemoryNetwork, OrderReceiver, SharedGroup
from shallotmux.world import Endpoint, EndpointPool, EngineRole
from tests.support.pausing_sender import PausingSender

ENGINE_ADDRESS = '10.1.0.1:80'
GUARD_S = 90.0


@dataclass
class OrderEngine:
    """ASGI application around an order receiver."""

    receiver: OrderReceiver

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Pass the order in a request to the receiver."""
        body = msgspec.json.decode(await read_body(receive, 10_000))
        await send_json(send, self.receiver.receive(scope['client'][0], body), {})


@dataclass
class FakePresenceChecker:
    """Presence checker for which everything is present unless the test removed it."""

    gone: set[str] = field(default_factory=set)

    def is_instance_gone(self, sender: str) -> bool:
        """Tell whether the test removed the instance."""
        return sender in self.gone

    def is_endpoint_gone(self, name: str) -> bool:
        """Tell whether the test removed the endpoint."""
        return name in self.gone


@dataclass
class Zone:
    """Instances of one zone with their dispatchers, and one engine."""

    network: MemoryNetwork
    receiver: OrderReceiver
    group: SharedGroup = field(default_factory=SharedGroup)
    presence: FakePresenceChecker = field(default_factory=FakePresenceChecker)
    terms: dict[str, Term] = field(default_factory=dict)
    dispatchers: dict[str, OrderDispatcher] = field(default_factory=dict)
    pausing_senders: dict[str, PausingSender] = field(default_factory=dict)

    def start(self, name: str, step: str = '') -> None:
        """Start the order tasks of an instance."""
        authority = self.group.member(name)
        pausing_sender = PausingSender(self.network, name, step)
        self.pausing_senders[name] = pausing_sender
        dependencies = OrderDependencies(authority, pausing_sender, self._drain, self.presence, '')
        dispatcher = OrderDispatcher(dependencies)
        self.dispatchers[name] = dispatcher

        async def work(term: Term) -> None:
            self.terms[name] = term
            await dispatcher.run(term)

        self.network.nursery.start_soon(run_as_leader, authority, name, LeadershipOptions(), work)

    async def commit_order(self, name: str, role: EngineRole) -> Any:
        """Commit an order for a role change through an instance."""
        return await self.dispatchers[name].commit_order(
            self.terms[name],
            'engine-1',
            ChangeRole(role),
            checks_fencing=self.receiver.checks_fencing,
        )

    def applied_contents(self) -> list[str]:
        """Return the contents of the orders that the engine applied, without adjacent duplicates."""
        applied = [each.content[1] for each in self.receiver.history if each.applied]
        return [
            text
            for position, text in enumerate(applied)
            if applied[position - 1 : position] != [text]
        ]

    async def _drain(self, endpoint: Endpoint) -> bool:
        await trio.sleep(0.1)
        return True


def make_zone(network: MemoryNetwork, *, checks_fencing: bool) -> Zone:
    """Return a zone with one engine."""
    zone = Zone(network, OrderReceiver(checks_fencing=checks_fencing))
    network.serve(ENGINE_ADDRESS, OrderEngine(zone.receiver))
    pool = EndpointPool('sorting', 'zone-a', (Endpoint('engine-1', 'zone-a', ENGINE_ADDRESS),))
    zone.group.state.apply(PutObject('pool', pool, 0))
    return zone


@pytest.fixture(params=[True, False], ids=['checks', 'ignores'])
async def zone(request: pytest.FixtureRequest, network: MemoryNetwork) -> Zone:
    """Return a zone whose engine checks or ignores fencing tokens."""
    return make_zone(network, checks_fencing=request.param)


@pytest.mark.parametrize('pause_s', [2.0, 60.0])
@pytest.mark.parametrize('step', ['before-write', 'after-write'])
async def test_former_leader_sends_nothing_after_failover(
    zone: Zone, autojump_clock: trio.testing.MockClock, step: str, pause_s: float
) -> None:
    """Guards against an order of a paused former leader that takes effect after a takeover."""
    zone.start('entry-1', step)
    zone.group.elect('entry-1')
    await trio.sleep(3)
    await zone.commit_order('entry-1', EngineRole.PREFILL)
    await zone.pausing_senders['entry-1'].paused.wait()
    zone.group.isolated.add('entry-1')
    zone.group.elect('entry-2')
    zone.start('entry-2')
    await trio.sleep(pause_s)
    zone.pausing_senders['entry-1'].resumed.set()
    await trio.sleep(5)
    second = await zone.commit_order('entry-2', EngineRole.DECODE)
    if isinstance(second, Refused):
        await trio.sleep(GUARD_S)
        second = await zone.commit_order('entry-2', EngineRole.DECODE)
    await trio.sleep(5)
    assert isinstance(second, IntentOpened)
    assert zone.applied_contents() == ["[('role', 'prefill')]", "[('role', 'decode')]"]
    sources = [each.source for each in zone.receiver.history]
    assert sources == sorted(sources)


@pytest.mark.parametrize('second_failure', [False, True])
async def test_lost_answers_and_repeated_failover_keep_one_order(
    zone: Zone, autojump_clock: trio.testing.MockClock, *, second_failure: bool
) -> None:
    """Guards against a second order while one is open, after one or two failovers."""
    zone.receiver.lose_answers = 2
    zone.start('entry-1')
    zone.group.elect('entry-1')
    await trio.sleep(2)
    await zone.commit_order('entry-1', EngineRole.PREFILL)
    await trio.sleep(0.5)
    successors = ('entry-2', 'entry-3') if second_failure else ('entry-2',)
    for name in successors:
        zone.group.isolated.add(zone.group.leader)
        zone.group.elect(name)
        zone.start(name)
        await trio.sleep(2)
    await trio.sleep(10)
    assert zone.applied_contents() == ["[('role', 'prefill')]"]
    assert zone.group.state.intents.target('engine-1').last_outcome == 'done'


async def test_target_without_fencing_gets_no_order_before_former_sender_is_gone(
    network: MemoryNetwork, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a different order while an earlier one may still arrive."""
    zone = make_zone(network, checks_fencing=False)
    zone.receiver.lose_answers = 1
    zone.start('entry-1')
    zone.group.elect('entry-1')
    await trio.sleep(2)
    await zone.commit_order('entry-1', EngineRole.PREFILL)
    await trio.sleep(3)
    zone.group.isolated.add('entry-1')
    zone.group.elect('entry-2')
    zone.start('entry-2')
    await trio.sleep(3)
    refused = await zone.commit_order('entry-2', EngineRole.DECODE)
    zone.presence.gone.add('entry-1')
    await trio.sleep(3)
    opened = await zone.commit_order('entry-2', EngineRole.DECODE)
    assert isinstance(refused, Refused)
    assert isinstance(opened, IntentOpened)


async def test_order_to_endpoint_that_is_gone_is_closed(
    zone: Zone, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against an order that stays open indefinitely after its engine crashed."""
    zone.network.stop(ENGINE_ADDRESS)
    zone.start('entry-1')
    zone.group.elect('entry-1')
    await trio.sleep(2)
    await zone.commit_order('entry-1', EngineRole.PREFILL)
    await trio.sleep(5)
    assert zone.group.state.intents.open_intents()
    zone.presence.gone.add('engine-1')
    await trio.sleep(10)
    assert not zone.group.state.intents.open_intents()


async def test_engine_with_open_order_gets_no_new_work(
    zone: Zone, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against routing requests to an engine that is about to change its role."""
    zone.network.stop(ENGINE_ADDRESS)
    zone.start('entry-1')
    zone.group.elect('entry-1')
    await trio.sleep(2)
    before = zone.group.state.endpoints_of('sorting')
    await zone.commit_order('entry-1', EngineRole.PREFILL)
    assert len(before) == 1
    assert not zone.group.state.endpoints_of('sorting')


async def test_second_order_waits_for_the_first(
    zone: Zone, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against two open orders to one engine."""
    zone.network.stop(ENGINE_ADDRESS)
    zone.start('entry-1')
    zone.group.elect('entry-1')
    await trio.sleep(2)
    await zone.commit_order('entry-1', EngineRole.PREFILL)
    assert isinstance(await zone.commit_order('entry-1', EngineRole.DECODE), Refused)


def test_command_of_former_term_is_refused() -> None:
    """Guards against commands of a former leader that reach the new leader late."""
    state = SharedGroup().state
    state.apply(TakeAuthority('1', 'entry-1', 1))
    state.apply(TakeAuthority('2', 'entry-2', 2))
    content = ChangeRole(EngineRole.PREFILL)
    result = state.apply(OpenIntent('3', 'engine-1', content, checks_fencing=True, term=1))
    assert isinstance(result, Refused)
    assert not state.intents.open_intents()
