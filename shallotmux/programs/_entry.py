"""The program of an entry instance: takes the requests of callers."""

from __future__ import annotations

from dataclasses import dataclass
from random import SystemRandom

import trio
from eliot import log_message

from shallotmux.control import ListingPoller, PlatformApi
from shallotmux.fleet import DecodeDocument, FleetPoller, LoadSharing, ServiceDemand, TrueClock
from shallotmux.forwarding import (
    ConnectionPool,
    Dialect,
    EndpointDirectory,
    ForwarderParts,
    ForwardingMetrics,
    HttpListener,
    Job,
    RequestCounter,
    SharedRetryBudget,
    build_forwarder,
)
from shallotmux.programs._lifecycle import (
    LoadSettings,
    SettingsWatch,
    run_beneath,
    wait_for_stop,
)
from shallotmux.programs._pages import MetricsPage, ReadinessPage
from shallotmux.programs._settings import ProgramSettings
from shallotmux.routes import CallerLimits
from shallotmux.transport import (
    ForwardAnswer,
    GrpcPeerNetwork,
    PeerEnvelope,
    Refusal,
    SelfNamedAddresses,
    new_identity,
)

#: Part of the connections of an endpoint that instances use together. The rest is for instances that
#: are not counted yet and for calls that are no requests.
USED_CONNECTIONS = 0.9

#: Age of the list of endpoints from which this instance asks the platform itself.
STALE_LISTING_S = 1.8

#: Time for which connections are still accepted after the request to stop. The balancer asks once
#: a second and takes an instance out after two misses.
LEAVE_S = 3.2

#: Time kept back from the grace for the end of the process.
END_MARGIN_S = 0.7
END_CHECK_S = 0.05


@dataclass(frozen=True, slots=True)
class EntryBorder:
    """What an entry program is given by the adapter to a platform."""

    dialect: Dialect
    decode_document: DecodeDocument
    platform: PlatformApi


class EntryProgram:
    """Listeners, forwarder and learner of one entry instance."""

    def __init__(self, settings: ProgramSettings, border: EntryBorder) -> None:
        self.settings = settings
        self._border = border
        self._is_leaving = False
        self._clock = TrueClock()
        self._counter = RequestCounter(self._clock, settings.times.usage_window_s)
        own = settings.listen.peers
        self._identity = new_identity(own, SystemRandom())
        self._network = GrpcPeerNetwork(own, own, SelfNamedAddresses(), None)
        self._learner = FleetPoller(
            self._identity,
            self._network,
            settings.seeds,
            border.decode_document,
            self._clock,
            self._counter.counts,
            self._placer_demands,
        )
        self.view = self._learner.view
        self._directory = EndpointDirectory(
            lambda identity: self._pool.forget(identity),
            self._learner.crashes,
            self._connection_share,
        )
        self._pool = ConnectionPool(
            border.dialect.names.request_id, self._directory.connection_limit
        )
        self.view.on_listing.append(self._directory.update_listing)
        self.metrics = ForwardingMetrics()
        self.metrics.document_version.set_function(lambda: self.view.version)
        self._sharing = LoadSharing(
            self._identity, own, lambda: self.view.entries, self._directory.queued_prefill_tokens
        )
        self._forwarder = build_forwarder(
            ForwarderParts(
                settings.zone,
                self.view,
                border.dialect,
                self._pool,
                self._directory,
                SharedRetryBudget(settings.budget, lambda: self.view.instances),
                self._note_begun,
                self._sharing.loads.tokens_at,
                self.metrics,
            )
        )
        self._listener = HttpListener(settings.listen.callers, self._forwarder.handle, self._limits)

    def apply_settings(self, settings: ProgramSettings) -> None:
        """Take changed settings."""
        self._learner.update_seeds(settings.seeds)

    def unready_reasons(self) -> tuple[str, ...]:
        """Return why the balancer should send no new connections."""
        checks = (
            ('leaving', not self._is_leaving),
            ('no configuration', self.view.table is not None),
            ('no endpoints', bool(self.view.listing.endpoints)),
        )
        return tuple(reason for reason, holds in checks if not holds)

    async def run(self, load: LoadSettings) -> None:
        """Serve until the process is told to stop."""
        watch = SettingsWatch(self.settings, load, self.apply_settings)
        listen = self.settings.listen
        readiness = ReadinessPage(self.unready_reasons)
        pages = [HttpListener(listen.readiness, readiness.handle)]
        if listen.metrics:
            pages.append(HttpListener(listen.metrics, MetricsPage(self.metrics.registry).handle))
        # Calls to peers must end before the network that carries them.
        async with run_beneath(self._network, self) as nursery:
            await nursery.start(self._listener.run)
            for page in pages:
                await nursery.start(page.run)
            for task in (self._learner.run, self._sharing.run, self._pool.run):
                nursery.start_soon(task)
            nursery.start_soon(self._read_stale_list)
            nursery.start_soon(watch.run)
            log_message(message_type='shallotmux:started', role='entry', name=self.settings.name)
            await wait_for_stop(watch)
            await self._leave()
        log_message(message_type='shallotmux:stopped', role='entry', name=self.settings.name)

    def receive(self, envelope: PeerEnvelope) -> None:
        """Pass over messages of groups, in which an entry instance takes no part."""

    async def handle_forward(self, group: str, command: bytes) -> ForwardAnswer:
        """Refuse commands."""
        return ForwardAnswer(refusal=Refusal.NOT_COMMITTED, detail='an entry instance')

    def _placer_demands(self) -> tuple[ServiceDemand, ...]:
        return self._forwarder.placer.demands()

    def _connection_share(self, service: str) -> float:
        """Return the connections that this instance may have to each endpoint of a service."""
        table = self.view.table
        found = table.services.get(service) if table else None
        if found is None or not found.max_connections:
            return float('inf')
        return max(1, USED_CONNECTIONS * found.max_connections // self.view.instances)

    def _note_begun(self, job: Job) -> None:
        if job.customer:
            self._counter.record_run_started(job.customer)

    def _limits(self) -> CallerLimits:
        table = self.view.table
        return table.document.limits if table else CallerLimits()

    async def _read_stale_list(self) -> None:
        """Read the platform's list while no control instance tells a recent one."""
        poller = ListingPoller(
            self._border.platform, self.view.update_listing, self.settings.times.listing_s
        )
        while True:
            await trio.sleep(self.settings.times.listing_s)
            if trio.current_time() - self.view.listed_at > STALE_LISTING_S:
                await poller.poll()

    async def _leave(self) -> None:
        """Finish the open requests while the balancer learns that this instance leaves."""
        began_at = trio.current_time()
        self._is_leaving = True
        self._listener.drain()
        deadline = began_at + self.settings.times.grace_s - END_MARGIN_S
        await trio.sleep_until(min(began_at + LEAVE_S, deadline))
        self._listener.close_idle()
        while self._listener.open_requests and trio.current_time() < deadline:
            await trio.sleep(END_CHECK_S)
