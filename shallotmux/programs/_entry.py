"""The program of an entry instance: forwards the requests of callers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from functools import partial
from random import SystemRandom

import trio
from eliot import log_message

from shallotmux.addresses import split_address
from shallotmux.control import ListingPoller, PlatformApi
from shallotmux.errors import ShallotmuxError
from shallotmux.fleet import (
    KNOWLEDGE_GROUP,
    DecodeDocument,
    FleetPoller,
    LoadSharing,
    ServiceDemand,
    TrueClock,
)
from shallotmux.forwarding import (
    ConnectionPool,
    Dialect,
    EndpointDirectory,
    ForwarderParts,
    ForwardingMetrics,
    Handler,
    HttpListener,
    Job,
    RelayedRequests,
    RequestCounter,
    SharedRetryBudget,
    build_forwarder,
)
from shallotmux.membounds import ConnectionSlots, MemoryBudget, derive_bounds
from shallotmux.origins import ORIGIN_GROUP, OriginClient, StreamOrigins
from shallotmux.programs._bounds_gauges import add_bounds_gauges
from shallotmux.programs._lifecycle import (
    ProgramLifecycle,
    SettingsWatcher,
    run_with_network,
)
from shallotmux.programs._pages import MetricsPage, ReadinessPage
from shallotmux.programs._settings import ProgramSettings
from shallotmux.programs._supervision import Supervisor
from shallotmux.quotas import CustomerQuotas
from shallotmux.ratelimits import EndpointLimits
from shallotmux.relaying import RelayPeers
from shallotmux.routes import CallerLimits
from shallotmux.transport import (
    ForwardAnswer,
    GrpcPeerNetwork,
    PeerBounds,
    PeerEnvelope,
    PeerTraffic,
    Refusal,
    SelfNamedAddresses,
    new_identity,
)

#: Fraction of an endpoint's connections that the instances use together. The rest is reserved for
#: instances that are not counted yet and for calls other than requests, such as health checks.
USED_CONNECTION_FRACTION = 0.9

#: Age of the endpoint list, beyond the interval at which it is read, from which this instance polls the
#: platform itself. Control instances that lose their leader read the list 0.8 to 1.1 s after that interval,
#: and are polled every 0.4 s; if entry instances were earlier, all of them would call the platform.
STALE_LISTING_MARGIN_S = 1.6

#: Time for which connections are still accepted after SIGTERM. The load balancer checks readiness
#: once a second and removes an instance after two failures; the rest is for network delay. What is
#: accepted later has less time to finish.
DEREGISTRATION_DELAY_S = 2.6

#: Header bytes that an instance adds to a request that it relays.
RELAY_HEADER_BYTES = 4096

#: Parts of the budget for bodies of callers, and of relayed requests.
CALLER_BODY_FRACTION = 0.75
RELAYED_BODY_FRACTION = 0.25

#: Part of the grace period that is reserved for the exit of the process.
SHUTDOWN_MARGIN_S = 0.7
DRAIN_POLL_INTERVAL_S = 0.05

#: Time before the end of the drain at which requests without an answer get one, so that it can be sent.
LAST_ANSWERS_S = 0.2


@dataclass(frozen=True, slots=True)
class EntryAdapter:
    """Functions and formats that the adapter to a platform provides to an entry program."""

    dialect: Dialect
    decode_document: DecodeDocument
    platform: PlatformApi


class EntryProgram:
    """Listeners, forwarder and background tasks of one entry instance."""

    def __init__(self, settings: ProgramSettings, adapter: EntryAdapter) -> None:
        self.settings = settings
        self._adapter = adapter
        self._is_draining = False
        self._clock = TrueClock()
        self._counter = RequestCounter(self._clock, settings.times.usage_window_s)
        peer_address = settings.listen.peers
        self._identity = new_identity(peer_address, SystemRandom())
        self._traffic = PeerTraffic(
            settings.zone, lambda peer: self.view.zones.get(peer, ''), KNOWLEDGE_GROUP
        )
        self._bounds = derive_bounds(settings.limits)
        self._budget = MemoryBudget(self._bounds.buffered_bytes)
        self._network = GrpcPeerNetwork(
            peer_address,
            peer_address,
            SelfNamedAddresses(),
            None,
            self._traffic,
            # Polls are most of the calls, and their cost is most of that of an idle instance.
            (KNOWLEDGE_GROUP,),
            PeerBounds(self._bounds.entry_peers, self._budget),
        )
        self._endpoint_limits = EndpointLimits(
            peer_address, self._identity, lambda: self._poller.view.entries
        )
        self._origin_client = OriginClient(self._call_control, lambda: self._poller.peers)
        self._origins = StreamOrigins(self._origin_client)
        self._poller = FleetPoller(
            self._identity,
            self._network,
            settings.seeds,
            adapter.decode_document,
            self._clock,
            self._counter.counts,
            self._service_demands,
            self._endpoint_limits.known,
            self._origins.history,
            settings.zone,
            lambda: self._directory.reach.cut_off_services,
            lambda: self._directory.zones.uses(),
        )
        self.view = self._poller.view
        self._directory = EndpointDirectory(
            lambda identity: self._pool.forget(identity),
            self._poller.crashes,
            self._connection_limit,
            self._endpoint_limits,
            adapter.dialect.names,
            self.view.plans,
        )
        self._pool = ConnectionPool(
            adapter.dialect.names.request_id,
            self._directory.connection_limit,
            budget=self._budget,
            max_total=self._bounds.endpoints,
        )
        self.view.on_listing.append(self._directory.update_listing)
        self.view.on_versions.append(self._origins.observe)
        self.metrics = ForwardingMetrics()
        self._traffic.register(self.metrics.registry)
        self.metrics.document_version.set_function(lambda: self.view.version)
        self.metrics.quarantines.set_function(lambda: len(self._poller.crashes.quarantines()))
        reach = self._directory.reach
        self.metrics.cut_off_services.set_function(lambda: len(reach.cut_off_services))
        limits = self._endpoint_limits
        self.metrics.limited_endpoints.set_function(lambda: len(limits.known.limited()))
        self.metrics.permits.labels('granted').set_function(lambda: limits.total_granted)
        self.metrics.permits.labels('received').set_function(lambda: limits.total_received)
        reports = self._directory.reports
        self._quotas = CustomerQuotas(
            peer_address,
            self._identity,
            lambda: self.view.entries,
            lambda: self.view.table,
            settings.quota_terms,
            self.metrics.registry,
        )
        self._load_sharing = LoadSharing(
            self._identity,
            peer_address,
            lambda: self.view.entries,
            self._directory.queued_prefill_tokens,
            lambda content: self._endpoint_limits.receive(content) or self._quotas.receive(content),
            lambda: self.view.neighbours,
            self._traffic,
        )
        self._load_sharing.share_reports = lambda: reports.shared(trio.current_time())
        self._load_sharing.receive_reports = lambda shared: reports.receive(
            shared, trio.current_time()
        )
        self._forwarder = build_forwarder(
            ForwarderParts(
                settings.zone,
                self.view,
                adapter.dialect,
                self._pool,
                self._directory,
                SharedRetryBudget(
                    settings.retry_budget, lambda: self.view.instances, trio.current_time()
                ),
                self._count_run_started,
                self._load_sharing.tokens_at,
                self.metrics,
                origins=self._origins,
                peers=self._build_peers(settings),
                quotas=self._quotas,
                zone_traffic_ms_per_kb=settings.zone_traffic_ms_per_kb,
            )
        )
        self._relayed = RelayedRequests(self._forwarder, lambda: self._is_draining)
        self._relay_listener = HttpListener(
            settings.listen.relayed,
            self._relayed.handle,
            self._relay_limits,
            self._forwarder.peers.accepts,
            max_buffered_bytes=int(RELAYED_BODY_FRACTION * self._budget.limit),
            request_id_header=adapter.dialect.names.request_id,
            budget=self._budget,
            slots=ConnectionSlots(self._bounds.relayed, 'relayed'),
        )
        self._listener = HttpListener(
            settings.listen.callers,
            self._forwarder.handle,
            self._limits,
            max_buffered_bytes=int(CALLER_BODY_FRACTION * self._budget.limit),
            request_id_header=adapter.dialect.names.request_id,
            budget=self._budget,
            slots=ConnectionSlots(self._bounds.callers, 'callers'),
        )

    def apply_settings(self, settings: ProgramSettings) -> None:
        """Apply changed settings; only the seeds can change while the program runs."""
        self._poller.update_seeds(settings.seeds)

    def unready_reasons(self) -> tuple[str, ...]:
        """Return why the load balancer should open no new connections."""
        checks = (
            ('leaving', not self._is_draining),
            ('no configuration', self.view.table is not None),
            ('no endpoints', bool(self.view.listing.endpoints)),
        )
        return tuple(reason for reason, holds in checks if not holds)

    async def run(self, lifecycle: ProgramLifecycle) -> None:
        """Serve until asked to stop, then drain."""
        watcher = SettingsWatcher(self.settings, lifecycle.load, self.apply_settings)
        lifecycle.on_reload = watcher.check
        listen = self.settings.listen
        readiness = ReadinessPage(self.unready_reasons)
        listeners = [self._open_page('readiness', listen.readiness, readiness.handle)]
        if listen.metrics:
            metrics = MetricsPage(self.metrics.registry)
            listeners.append(self._open_page('metrics', listen.metrics, metrics.handle))
        pages = [each.slots for each in listeners]
        slots = (self._listener.slots, self._relay_listener.slots, *pages)
        add_bounds_gauges(self.metrics.registry, self._budget, slots)
        # Calls to peers must end before the network shuts down.
        async with run_with_network(self._network, self) as nursery:
            await nursery.start(self._listener.run)
            if listen.relayed:
                listeners.append(self._relay_listener)
            for listener in listeners:
                await nursery.start(listener.run)
            supervisor = Supervisor(self.metrics.registry)
            for name, task in (*self._background_tasks().items(), ('settings', watcher.run)):
                nursery.start_soon(supervisor.run, name, task)
            log_message(message_type='shallotmux:started', role='entry', name=self.settings.name)
            await lifecycle.stop.wait()
            await self._drain()
        log_message(message_type='shallotmux:stopped', role='entry', name=self.settings.name)

    def receive(self, envelope: PeerEnvelope) -> None:
        """Ignore replication messages; an entry instance belongs to no group."""

    async def handle_forward(self, group: str, command: bytes) -> ForwardAnswer:
        """Refuse a forwarded command."""
        return ForwardAnswer(refusal=Refusal.NOT_COMMITTED, detail='an entry instance')

    def _open_page(self, name: str, address: str, handle: Handler) -> HttpListener:
        slots = ConnectionSlots(self._bounds.page, name)
        return HttpListener(address, handle, budget=self._budget, slots=slots)

    def _background_tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the tasks that are restarted when they fail, by name."""
        return {
            'fleet-poll': self._poller.run,
            'load-sharing': self._load_sharing.run,
            'connection-pool': self._pool.run,
            'peer-connection-pool': self._forwarder.runner.peer_pool.run,
            'reach': self._directory.reach.run,
            'stream-origins': self._origin_client.run,
            'endpoint-limits': partial(self._endpoint_limits.run, self._load_sharing.send_to),
            'quotas': partial(self._quotas.run, self._load_sharing.send_to),
            'listing': self._refresh_stale_listing,
        }

    async def _call_control(self, peer: str, content: bytes, timeout_s: float) -> bytes:
        """Call a control instance about the beginnings of streams; returns its answer."""
        answer = await self._network.forward(peer, ORIGIN_GROUP, content, timeout_s)
        if answer.refusal is not Refusal.NONE:
            raise ShallotmuxError(answer.detail, step='origins', peer=peer)
        return answer.result

    def _build_peers(self, settings: ProgramSettings) -> RelayPeers:
        relayed = settings.listen.relayed
        return RelayPeers(
            settings.listen.peers,
            split_address(relayed).port if relayed else 0,
            lambda: self.view.entries,
            lambda: self.view.neighbours,
            lambda service: self.view.cut_off.get(service, ()),
        )

    def _service_demands(self) -> tuple[ServiceDemand, ...]:
        return self._forwarder.placer.demands()

    def _connection_limit(self, service: str) -> float:
        """Return how many connections this instance may open to each endpoint of a service."""
        table = self.view.table
        definition = table.services.get(service) if table else None
        if definition is None or not definition.max_connections:
            return float('inf')
        return max(1, USED_CONNECTION_FRACTION * definition.max_connections // self.view.instances)

    def _count_run_started(self, job: Job) -> None:
        if job.customer:
            self._counter.record_run_started(job.customer)

    def _limits(self) -> CallerLimits:
        table = self.view.table
        return table.document.limits if table else CallerLimits()

    def _relay_limits(self) -> CallerLimits:
        """Return the limits of relayed requests, which have a header more."""
        limits = self._limits()
        return replace(limits, header_bytes=limits.header_bytes + RELAY_HEADER_BYTES)

    async def _refresh_stale_listing(self) -> None:
        """Poll the platform's list while no control instance provides a recent one."""
        interval_s = self.settings.times.listing_s
        poller = ListingPoller(self._adapter.platform, self.view.update_listing, interval_s)
        while True:
            await trio.sleep(interval_s)
            if trio.current_time() - self.view.listed_at > interval_s + STALE_LISTING_MARGIN_S:
                await poller.poll()

    async def _drain(self) -> None:
        """Finish the open requests while the load balancer removes this instance."""
        started_at = trio.current_time()
        self._is_draining = True
        self._quotas.resign()
        listeners = (self._listener, self._relay_listener)
        for listener in listeners:
            listener.drain()
        deadline = started_at + self.settings.times.grace_s - SHUTDOWN_MARGIN_S
        await trio.sleep_until(min(started_at + DEREGISTRATION_DELAY_S, deadline))
        self._forwarder.close(deadline - LAST_ANSWERS_S)
        for listener in listeners:
            listener.close_idle()
        while any(each.open_requests for each in listeners) and trio.current_time() < deadline:
            await trio.sleep(DRAIN_POLL_INTERVAL_S)
