"""Test zone: instances that share an authority, stand-ins, and recorded results of callers."""

from __future__ import annotations

import importlib
import itertools
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from functools import partial
from random import Random

import msgspec
import trio
import trio.testing

from shallotmux.authority import (
    Command,
    CreateKey,
    Leadership,
    LocalAuthority,
    PutObject,
    Result,
    ZoneState,
    create_secret,
)
from shallotmux.callers import CallerApp, CallerDependencies
from shallotmux.engines import EngineClient, ServiceClient
from shallotmux.errors import AuthorityUnavailable, EndpointError, EndpointRefused
from shallotmux.http import AsgiApp, HttpRequest, HttpResponse, Receive, Scope, Send
from shallotmux.observability import DecisionLog
from shallotmux.requests import ExecutorDependencies, RequestExecutor
from shallotmux.standins import EngineBehaviour, EngineStandin, MemoryNetwork, ServiceStandin
from shallotmux.usage import UsageCounter
from shallotmux.world import Customer, Endpoint, EndpointKind, EndpointPool, Route, RouteKind
from tests.requests._records import Answer, JobCall, ZoneLayout

PEPPER = b'pepper-for-tests-only'
TOKENS = 20
RESTART_S = 1.0


@dataclass
class EntryAuthority:
    """The zone's authority as seen by one instance."""

    shared: LocalAuthority
    fresh: bool = True
    available: bool = True

    async def submit(self, command: Command) -> Result:
        """Commit through the shared authority unless it is unavailable."""
        if not self.available:
            await trio.lowlevel.checkpoint()
            raise AuthorityUnavailable('no leader')
        return await self.shared.submit(command)

    def read(self) -> ZoneState:
        """Return the shared state."""
        return self.shared.read()

    def is_fresh(self) -> bool:
        """Return whether this instance has contact to the authority."""
        return self.fresh

    def leadership(self) -> Leadership:
        """Return the shared leadership."""
        return self.shared.leadership()

    async def wait_changed(self, revision: int) -> None:
        """Wait for a change of the shared state."""
        await self.shared.wait_changed(revision)


@dataclass
class ProcessClient:
    """HTTP client of an instance, which sends nothing after the instance is killed."""

    network: MemoryNetwork
    address: str
    alive: bool = True

    @asynccontextmanager
    async def stream(self, request: HttpRequest) -> AsyncIterator[HttpResponse]:
        """Send a request unless the process is dead."""
        if not self.alive:
            raise EndpointRefused('process is dead')
        async with self.network.client(self.address).stream(request) as response:
            yield response


@dataclass
class Entry:
    """An instance as a simulated process; its tasks outlive connections and end with it."""

    name: str
    address: str
    network: MemoryNetwork
    authority: EntryAuthority
    executor: RequestExecutor
    app: AsgiApp
    client: ProcessClient
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    nursery: trio.Nursery | None = None

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle a connection in a task of the process."""
        disconnected = trio.Event()
        done = trio.Event()
        messages = [await receive()]

        async def receive_message() -> object:
            if messages:
                return messages.pop()
            await disconnected.wait()
            return {'type': 'http.disconnect'}

        async def send_message(message: object) -> None:
            if not disconnected.is_set():
                with suppress(trio.ClosedResourceError, trio.BrokenResourceError):
                    await send(message)  # type: ignore[arg-type]

        async def serve() -> None:
            with suppress(ConnectionError):
                await self.app(scope, receive_message, send_message)  # type: ignore[arg-type]
            done.set()

        assert self.nursery is not None
        self.nursery.start_soon(serve)
        try:
            await done.wait()
        finally:
            disconnected.set()

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Serve until killed."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                nursery.start_soon(self.executor.run)
                self.network.serve(self.address, self)
                task_status.started()

    def kill(self) -> None:
        """Kill the process without notice."""
        self.client.alive = False
        self.scope.cancel()
        self.network.stop(self.address)


@dataclass
class Zone:
    """Instances, stand-ins and recorded results of callers."""

    network: MemoryNetwork
    authority: LocalAuthority
    random: Random
    entries: list[Entry] = field(default_factory=list)
    engines: list[EngineStandin] = field(default_factory=list)
    services: list[ServiceStandin] = field(default_factory=list)
    executions: Counter[str] = field(default_factory=Counter)
    secrets: dict[str, str] = field(default_factory=dict)
    keys: dict[str, str] = field(default_factory=dict)
    answers: list[Answer] = field(default_factory=list)
    jobs: list[JobCall] = field(default_factory=list)
    counters: list[UsageCounter] = field(default_factory=list)
    numbers: itertools.count[int] = field(default_factory=itertools.count)
    #: Jobs that were claimed by an instance when it was killed.
    orphaned: set[str] = field(default_factory=set)
    layout: ZoneLayout = field(default_factory=ZoneLayout)

    def address(self, endpoint: str) -> str:
        """Return the address of a stand-in."""
        kind, _, number = endpoint.rpartition('-')
        return f'10.{1 if kind == "engine" else 2}.0.{number}:80'

    def serve(self, standin: EngineStandin | ServiceStandin) -> None:
        """Put a stand-in on the network."""
        self.network.serve(self.address(standin.name), standin)

    def take_down(self, engine: EngineStandin) -> None:
        """Disconnect a crashed engine from the network until it restarts."""
        self.network.stop(self.address(engine.name))
        self.network.nursery.start_soon(self._restart, engine)

    async def start_entry(self, number: int) -> Entry:
        """Start an instance, possibly as the replacement of a killed one."""
        name = f'entry-{number}'
        client = ProcessClient(self.network, f'10.0.0.{number}:80')
        authority = EntryAuthority(self.authority)
        self.counters.append(UsageCounter(f'{name}/{len(self.counters)}', trio.current_time))
        executor = RequestExecutor(
            ExecutorDependencies(
                authority=authority,
                engines=EngineClient(client),
                services=ServiceClient(client),
                decisions=DecisionLog(name),
                random=Random(self.random.random()),
                settings=self.layout.settings,
                clock=trio.current_time,
                instance=name,
                usage=self.counters[-1],
            ),
        )
        app = CallerApp(CallerDependencies(authority, executor, PEPPER))
        entry = Entry(name, client.address, self.network, authority, executor, app, client)
        await self.network.nursery.start(entry.run)
        return entry

    async def replace_entry(self, number: int) -> None:
        """Kill an instance and start it again."""
        killed = self.entries[number]
        jobs = self.authority.read().ledger.jobs.values()
        claims = (each for each in jobs if each.claimant.startswith(f'{killed.name}/'))
        self.orphaned.update(
            each.job.idempotency_key for each in claims if each.answer is None and not each.unknown
        )
        killed.kill()
        self.entries[number] = await self.start_entry(number)

    async def request_completion(
        self,
        customer: str,
        prompt: str = '',
        *,
        tokens: int = TOKENS,
        connections: int = 5,
        leave_after: int = 0,
        tier: str = 'default',
        context: tuple[str, ...] = (),
    ) -> Answer:
        """Send a streamed request, and reconnect when the connection breaks.

        :param connections: maximum number of connections.
        :param leave_after: events after which the caller closes its first connection.
        :param context: messages before the prompt, which other requests may share.
        """
        prompt = prompt or f'{customer} asks {next(self.numbers)}'
        answer = Answer(customer, prompt, tokens, started_s=trio.current_time(), tier=tier)
        answer.context = context
        self.answers.append(answer)
        while answer.connections < connections and not answer.done and not answer.code:
            answer.connections += 1
            limit = leave_after if answer.connections == 1 else 0
            try:
                await self._connect(answer, limit)
            except EndpointError:
                await trio.sleep(0.05)
        return answer

    async def call_job(
        self,
        customer: str,
        job: str,
        entry: Entry,
        wait_s: float = 100,
        *,
        body: bytes = b'',
        keyed: bool = True,
    ) -> JobCall:
        """Call the order service once, with an idempotency key unless ``keyed`` is false."""
        call = JobCall(job, entry.name)
        self.jobs.append(call)
        headers = {'authorization': f'Bearer {self.secrets[customer]}'}
        if keyed:
            headers['idempotency-key'] = job
        request = HttpRequest(
            'POST', entry.address, '/v1/services/orders/book', body or job.encode(), headers
        )
        with trio.move_on_after(wait_s):
            with suppress(EndpointError):
                async with self.network.client('10.9.0.2:0').stream(request) as response:
                    call.body = b''.join([chunk async for chunk in response.chunks()])
                    call.status = response.status
        if call.status >= 400:
            error = msgspec.json.decode(call.body)['error']
            call.code = error['code']
            call.not_run = error['not_run']
        elif call.status:
            call.code = 'done'
        return call

    async def _connect(self, answer: Answer, limit: int) -> None:
        body = msgspec.json.encode(
            {
                'model': 'sorter',
                'messages': answer.messages(),
                'stream': True,
                'service_tier': answer.tier,
                'max_tokens': answer.tokens,
            },
        )
        headers = {'authorization': f'Bearer {self.secrets[answer.customer]}'}
        if answer.response_id:
            headers['shallotmux-response-id'] = answer.response_id
            headers['last-event-id'] = str(len(answer.events))
        live = [each for each in self.entries if each.client.alive]
        entry = self.random.choice(live)
        request = HttpRequest('POST', entry.address, '/v1/chat/completions', body, headers)
        async with self.network.client('10.9.0.1:0').stream(request) as response:
            if response.status != 200:
                answer.set_error(b''.join([chunk async for chunk in response.chunks()]))
                return
            answer.response_id = response.headers['shallotmux-response-id']
            async for chunk in response.chunks():
                answer.add_events(chunk)
                if limit and len(answer.events) >= limit:
                    return

    async def _restart(self, engine: EngineStandin) -> None:
        await trio.sleep(RESTART_S)
        self.serve(engine)


def run_zone(work: Callable[[Zone], Awaitable[None]], layout: ZoneLayout, seed: int = 1) -> Zone:
    """Run a zone on a mock clock and return it with the recorded results."""

    async def main() -> Zone:
        async with trio.open_nursery() as nursery:
            zone = Zone(MemoryNetwork(nursery), LocalAuthority(), Random(seed), layout=layout)
            await _configure(zone, layout)
            for number in range(layout.entries):
                zone.entries.append(await zone.start_entry(number))
            await work(zone)
            nursery.cancel_scope.cancel()
        return zone

    # The order in which trio runs tasks is part of the schedule, so it is seeded, too.
    run_module = importlib.import_module('trio._core._run')
    run_module._ALLOW_DETERMINISTIC_SCHEDULING = True
    run_module._r.seed(seed)
    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def _configure(zone: Zone, layout: ZoneLayout) -> None:
    for number in range(layout.engines):
        engine = EngineStandin(f'engine-{number}', EngineBehaviour(**layout.behaviour))
        engine.on_crash = partial(zone.take_down, engine)
        zone.engines.append(engine)
        zone.serve(engine)
    for number in range(layout.services):
        service = ServiceStandin(f'service-{number}', zone.executions)
        zone.services.append(service)
        zone.serve(service)
    engines = [Endpoint(each.name, 'z', zone.address(each.name)) for each in zone.engines]
    services = [
        Endpoint(each.name, 'z', zone.address(each.name), EndpointKind.SERVICE)
        for each in zone.services
    ]
    items = (
        *(Customer(name) for name in layout.customers),
        EndpointPool('sorting', 'z', tuple(engines), 'sorter'),
        EndpointPool('ordering', 'z', tuple(services)),
        Route('sorter', 'sorting'),
        Route('orders', 'ordering', RouteKind.SERVICE, repeatable=False),
        Route('stock', 'ordering', RouteKind.SERVICE, open_to_all=True),
    )
    for item in items:
        await zone.authority.submit(PutObject(f'put-{item.name}', item, 0))
    for name in layout.customers:
        secret, key = create_secret(name, PEPPER)
        zone.secrets[name] = secret
        zone.keys[name] = key.key_id
        await zone.authority.submit(CreateKey(f'key-{name}', key))
