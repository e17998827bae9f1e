"""Tests of the control tasks of a zone with instances, engines and a platform in memory."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from itertools import count

import msgspec
import pytest
import trio
import trio.testing

from shallotmux.authority import ChangeRole, CreateKey, IntentOpened, PutObject, create_secret
from shallotmux.daemon import DaemonInstance
from shallotmux.http import HttpRequest, fetch
from shallotmux.orders import ClientSender, Term
from shallotmux.orders import LeaseGuard as Guard
from shallotmux.provisioning import PlatformEndpoint, PlatformInstance
from shallotmux.settings import (
    GroupSettings,
    InstanceSettings,
    PlatformSettings,
    SecretSettings,
    Settings,
)
from shallotmux.standins import EngineStandin, MemoryNetwork, PlatformStandin, SharedGroup
from shallotmux.world import Customer, Endpoint, EndpointPool, EngineRole, Route

PEPPER = 'pepper-for-tests-only'
PLATFORM = '10.2.0.1:80'
INSTANCES = ('entry-1', 'entry-2')
ENGINES = 3
TOKENS = 250
INTERVAL_S = 0.4


@dataclass
class Zone:
    """Two instances with a shared group state, three engines and a platform."""

    network: MemoryNetwork
    platform: PlatformStandin = field(default_factory=PlatformStandin)
    group: SharedGroup = field(default_factory=SharedGroup)
    engines: dict[str, EngineStandin] = field(default_factory=dict)
    daemons: dict[str, DaemonInstance] = field(default_factory=dict)
    secret: str = ''
    responses: list[tuple[int, int]] = field(default_factory=list)

    def start(self) -> None:
        """Start the platform, engines and instances, and configure a pool, a route and a key."""
        self.network.serve(PLATFORM, self.platform)
        endpoints = tuple(self.add_engine(f'engine-{number}') for number in range(ENGINES))
        secret, key = create_secret('tailors', PEPPER.encode())
        self.secret = secret
        pool = EndpointPool('sorting', 'zone-a', endpoints, 'sorter')
        for item in (Customer('tailors'), pool, Route('sorter', 'sorting')):
            self.group.state.apply(PutObject(f'put-{item.name}', item, 0))
        self.group.state.apply(CreateKey('key', key))
        self.group.elect(INSTANCES[0])
        for name in INSTANCES:
            self.platform.instances[name] = PlatformInstance(name, 'zone-a')
            self._start_daemon(name)

    def add_engine(self, name: str) -> Endpoint:
        """Start an engine and return its endpoint."""
        engine = EngineStandin(name)
        engine.behaviour.token_s = 0.02
        engine.orders.role_change_s = 3
        self.engines[name] = engine
        self.network.serve(f'{name}:80', engine)
        return Endpoint(name, 'zone-a', f'{name}:80')

    async def load(self, seconds: float) -> None:
        """Send streaming requests to both instances in turn and wait for all responses."""
        async with trio.open_nursery() as nursery:
            for number in range(round(seconds / INTERVAL_S)):
                nursery.start_soon(self._send_request, INSTANCES[number % 2], number)
                await trio.sleep(INTERVAL_S)

    def term(self) -> Term:
        """Return the term of the current leader."""
        name = self.group.leader
        return Term(
            self.group.term, name, Guard(self.group.member(name), self.group.term), count(9)
        )

    async def _send_request(self, entry: str, number: int) -> None:
        content = [{'role': 'user', 'content': f'Sort lot {number}.'}]
        body = {'model': 'sorter', 'messages': content, 'stream': True, 'max_tokens': TOKENS}
        headers = {'authorization': f'Bearer {self.secret}'}
        request = HttpRequest(
            'POST', entry, '/v1/chat/completions', msgspec.json.encode(body), headers
        )
        status, response = await fetch(self.network.client(f'caller-{number}'), request, 10**6)
        self.responses.append((status, response.count(b'\nid: ') + response.startswith(b'id: ')))

    def _start_daemon(self, name: str) -> None:
        settings = Settings(
            instance=InstanceSettings(name=name, zone='zone-a'),
            groups=GroupSettings(standalone=True),
            platform=PlatformSettings(address=PLATFORM),
            secrets=SecretSettings(pepper=PEPPER, operator_token='x' * 16),
        )
        client = self.network.client(name)
        authority = self.group.member(name)
        daemon = DaemonInstance(
            settings,
            client=client,
            authority=authority,
            orders=ClientSender(client),
            wall_clock=trio.current_time,
        )
        self.daemons[name] = daemon
        self.network.serve(name, daemon.caller_app)
        self.network.nursery.start_soon(daemon.executor.run)
        self.network.nursery.start_soon(daemon.control.run)
        self.network.nursery.start_soon(daemon.usage.run, authority)


@pytest.fixture
async def zone(network: MemoryNetwork) -> Zone:
    """Return a running zone."""
    zone = Zone(network)
    zone.start()
    return zone


async def test_role_change_under_load_interrupts_no_stream(
    zone: Zone, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against an order that reaches an engine while it still runs streams."""
    await trio.sleep(3)
    dispatcher = zone.daemons['entry-1'].control.leader.dependencies.dispatcher
    async with trio.open_nursery() as nursery:
        nursery.start_soon(zone.load, 20)
        await trio.sleep(2)
        content = ChangeRole(EngineRole.PREFILL)
        opened = await dispatcher.commit_order(
            zone.term(), 'engine-1', content, checks_fencing=True
        )
        assert isinstance(opened, IntentOpened)
    received = zone.engines['engine-1'].orders.history
    assert [each.applied for each in received] == [True]
    assert not zone.group.state.intents.open_intents()
    assert Counter(zone.responses) == {(200, TOKENS): 50}
    runs = zone.engines['engine-1'].runs
    assert runs
    assert not any(run.cancelled for run in runs)


async def test_reclaimed_endpoint_is_drained_within_its_notice(
    zone: Zone, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against losing streams when the platform reclaims a cheap endpoint."""
    await trio.sleep(3)
    endpoint = zone.add_engine('engine-9')
    zone.platform.endpoints['engine-9'] = PlatformEndpoint(endpoint, 'sorting')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(zone.load, 20)
        await trio.sleep(6)
        zone.platform.reclaim('engine-9', 5)
        await trio.sleep(2)
        notice_effective_s = trio.current_time()
        await trio.sleep(3)
        zone.network.stop(endpoint.address)
        zone.platform.withdraw('engine-9')
    runs = zone.engines['engine-9'].runs
    assert runs
    assert max(run.started_s for run in runs) <= notice_effective_s
    assert Counter(zone.responses) == {(200, TOKENS): 50}


async def test_failover_during_a_change_completes_the_same_order(
    zone: Zone, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against an order that is lost, or sent again with different content."""
    await trio.sleep(3)
    zone.engines['engine-1'].orders.lose_answers = 1
    dispatcher = zone.daemons['entry-1'].control.leader.dependencies.dispatcher
    await dispatcher.commit_order(
        zone.term(), 'engine-1', ChangeRole(EngineRole.DECODE), checks_fencing=True
    )
    await trio.sleep(4.2)
    zone.group.isolated.add('entry-1')
    zone.group.elect('entry-2')
    await trio.sleep(15)
    history = zone.engines['engine-1'].orders.history
    assert len({each.order_id for each in history}) == 1
    assert sum(each.applied for each in history) == 1
    assert not zone.group.state.intents.open_intents()


async def test_usage_reports_match_what_callers_received(
    zone: Zone, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against usage that is lost, or reported twice, when the leader changes."""
    await trio.sleep(3)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(zone.load, 20)
        await trio.sleep(10)
        zone.group.elect('entry-2')
    await trio.sleep(200)
    reports = [msgspec.json.decode(each) for each in zone.platform.accepted.values()]
    assert sum(each['figures']['requests'] for each in reports) == 50
    assert sum(each['figures']['output_tokens'] for each in reports) == 50 * TOKENS
    assert Counter(zone.responses) == {(200, TOKENS): 50}
