"""The program of a control instance: replicates the fleet's log and performs fleet-wide tasks."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from random import SystemRandom

import trio
from eliot import log_message
from prometheus_client import CollectorRegistry

from shallotmux.control import (
    CONTROL_GROUP,
    LISTING_GROUP,
    Autoscaler,
    ControlMember,
    DocumentService,
    KnowledgeService,
    LeaderDependencies,
    LeaderTerm,
    ListingPoller,
    MemberSettings,
    OverflowTask,
    PlatformApi,
    QuorumWatch,
    RoleBalancer,
    SharedListing,
    WindowReporter,
    answer_listing_request,
)
from shallotmux.errors import SettingsError
from shallotmux.fleet import (
    ANNOUNCEMENT_GROUP,
    JOIN_GROUP,
    KNOWLEDGE_GROUP,
    LEAVE_GROUP,
    DecodeDocument,
    TrueClock,
)
from shallotmux.forwarding import HttpListener
from shallotmux.membounds import ConnectionSlots, MemoryBudget, derive_bounds
from shallotmux.origins import ORIGIN_GROUP
from shallotmux.overflow import OverflowDecider
from shallotmux.plannedchanges import (
    PLANS_GROUP,
    PlanBook,
    PlanPublisher,
    answer_plan_report,
)
from shallotmux.programs._bounds_gauges import add_bounds_gauges
from shallotmux.programs._control_gauges import ControlGauges, OverflowGauge, PlanCounter
from shallotmux.programs._disk import run_on_disk
from shallotmux.programs._lifecycle import (
    ProgramLifecycle,
    SettingsWatcher,
    run_with_network,
)
from shallotmux.programs._pages import DocumentPage, MetricsPage
from shallotmux.programs._settings import ProgramSettings
from shallotmux.programs._supervision import Supervisor
from shallotmux.routes import RouteTable
from shallotmux.transport import (
    ForwardAnswer,
    GrpcPeerNetwork,
    PeerBounds,
    PeerEnvelope,
    PeerTraffic,
    Refusal,
    SelfNamedAddresses,
    instance_name,
)

#: Time for responses in flight at shutdown.
SHUTDOWN_DELAY_S = 0.5

#: Total bytes of documents that are being read or committed. Each is held several times until it is
#: committed: as the body, as a command and in messages to other instances.
MAX_DOCUMENT_BYTES = 16 << 20

#: Interval at which the gauges are updated.
GAUGE_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class ControlAdapter:
    """Functions and paths that the adapter to a platform provides to a control program.

    :param put_path: path at which operators submit a document.
    :param get_path: path at which operators read it.
    """

    decode_document: DecodeDocument
    platform: PlatformApi
    put_path: str
    get_path: str


class ControlProgram:
    """Listeners, group member and background tasks of one control instance."""

    def __init__(self, settings: ProgramSettings, adapter: ControlAdapter) -> None:
        if settings.folder is None:
            raise SettingsError('a control instance needs a data folder', step='settings')
        self.settings = settings
        self._adapter = adapter
        peer_address = settings.listen.peers
        self._bounds = derive_bounds(settings.limits)
        self._budget = MemoryBudget(self._bounds.buffered_bytes)
        self._traffic = PeerTraffic(
            settings.zone, lambda peer: self._knowledge.zone_of(peer), KNOWLEDGE_GROUP
        )
        self._network = GrpcPeerNetwork(
            peer_address,
            peer_address,
            SelfNamedAddresses(),
            None,
            self._traffic,
            (LISTING_GROUP,),
            PeerBounds(self._bounds.control_peers, self._budget),
        )
        self._clock = TrueClock()
        self.member = ControlMember(
            MemberSettings(
                peer_address,
                settings.folder,
                settings.seeds,
                settings.bootstrap,
                settings.tolerated_disk_losses,
                settings.zone,
                settings.times.replacement_s,
            ),
            self._network,
            SystemRandom(),
        )
        self._term = LeaderTerm(self.member, settings.name, settings.times.alternation_s)
        self._knowledge = KnowledgeService(
            self.member.state,
            self._clock,
            self.member.peers,
            settings.times.usage_window_s,
            self.member.zones.known,
        )
        if self.member.is_first_start:
            self._knowledge.history.assume_complete()
        self._quorum = QuorumWatch(self.member)
        #: Functions that answer the calls of other instances, by group.
        self._answers: dict[str, Callable[[bytes], ForwardAnswer]] = {
            KNOWLEDGE_GROUP: self._knowledge.answer,
            LISTING_GROUP: self._answer_listing_request,
            PLANS_GROUP: partial(answer_plan_report, self._knowledge.plans),
            ORIGIN_GROUP: self._knowledge.answer_origins,
            JOIN_GROUP: self.member.handle_join_request,
            ANNOUNCEMENT_GROUP: self.member.zones.handle_announcement,
            LEAVE_GROUP: self.member.handle_leave_notice,
        }
        self._registry = CollectorRegistry()
        self._traffic.register(self._registry)
        self._gauges = ControlGauges(self._registry)
        self._cached_table_version = 0
        self._cached_table: RouteTable | None = None

    def apply_settings(self, settings: ProgramSettings) -> None:
        """Apply changed settings; only the seeds can change while the program runs."""
        self.member.update_seeds(settings.seeds)

    async def run(self, lifecycle: ProgramLifecycle) -> None:
        """Serve until asked to stop."""
        settings = self.settings
        watcher = SettingsWatcher(settings, lifecycle.load, self.apply_settings)
        lifecycle.on_reload = watcher.check
        documents = DocumentService(self.member.authority, self._adapter.decode_document)
        page = DocumentPage(documents, self._adapter.put_path, self._adapter.get_path)
        listeners = [
            HttpListener(
                settings.listen.operators,
                page.handle,
                max_buffered_bytes=MAX_DOCUMENT_BYTES,
                budget=self._budget,
                slots=ConnectionSlots(self._bounds.operators, 'operators'),
            )
        ]
        if settings.listen.metrics:
            metrics = MetricsPage(self._registry)
            slots = ConnectionSlots(self._bounds.page, 'metrics')
            listeners.append(
                HttpListener(
                    settings.listen.metrics, metrics.handle, budget=self._budget, slots=slots
                )
            )
        add_bounds_gauges(self._registry, self._budget, [each.slots for each in listeners])
        # Calls to peers must end before the network shuts down.
        async with run_with_network(self._network, self) as nursery:
            for each in listeners:
                await nursery.start(each.run)
            # Without its member, an instance must not answer for the state of the group.
            nursery.start_soon(self.member.run)
            supervisor = Supervisor(self._registry)
            for name, task in (*self._background_tasks().items(), ('settings', watcher.run)):
                nursery.start_soon(supervisor.run, name, task)
            log_message(
                message_type='shallotmux:started',
                role='control',
                name=settings.name,
                identity=self.member.identity,
                applied=self.member.state.applied_index,
                entry_bytes=self.member.driver.sizes().entry_bytes,
            )
            await lifecycle.stop.wait()
            self._term.resign()
            await self.member.leave()
            for each in listeners:
                each.drain()
            await trio.sleep(SHUTDOWN_DELAY_S)
        log_message(message_type='shallotmux:stopped', role='control', name=settings.name)

    def receive(self, envelope: PeerEnvelope) -> None:
        """Pass a replication message to the group member."""
        if envelope.group == CONTROL_GROUP:
            self.member.receive(envelope)

    async def handle_forward(self, group: str, command: bytes) -> ForwardAnswer:
        """Handle a request forwarded by another instance."""
        if group == CONTROL_GROUP:
            return await self.member.driver.commit(command, FORWARDED_COMMIT_TIMEOUT_S)
        answer = self._answers.get(group)
        if answer is None:
            return ForwardAnswer(refusal=Refusal.NOT_COMMITTED, detail=f'no group {group!r}')
        return answer(command)

    def _background_tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the tasks that are restarted when they fail, by name."""
        settings = self.settings
        platform = self._adapter.platform
        interval_s = settings.times.listing_s
        shared_listing = SharedListing(
            settings.listen.peers,
            self._network,
            ListingPoller(platform, self._knowledge.update_listing, interval_s),
            self._knowledge.update_listing,
            lambda: instance_name(self.member.leader() or ''),
            self.member.driver.is_leader,
            interval_s,
            SystemRandom(),
        )
        term = self._term
        dependencies = LeaderDependencies(self._knowledge, platform, term, self._route_table)
        book = PlanBook()
        book.on_step.append(PlanCounter(self._registry).count)
        publisher = PlanPublisher(
            settings.listen.peers,
            self._network,
            self.member.peers,
            book,
            term.may_act,
            self._knowledge.plans,
        )
        decider = OverflowDecider(settings.zone, settings.zone_traffic_ms_per_kb)
        decider.on_change = OverflowGauge(self._registry).update
        tasks: dict[str, Callable[[], Awaitable[None]]] = {
            'listing': shared_listing.run,
            'gauges': self._set_gauges,
            'quorum': self._quorum.run,
            'roles': RoleBalancer(dependencies, book).run,
            'planned-changes': publisher.run,
            'overflow': OverflowTask(self._knowledge, decider).run,
        }
        if settings.reports_usage:
            window_s = settings.times.usage_window_s
            reporter = WindowReporter(
                self.member, self._knowledge, platform, self._clock, term, window_s
            )
            tasks['usage'] = reporter.run
        if settings.orders_endpoints:
            tasks['fleet-size'] = Autoscaler(dependencies).run
        return tasks

    def _answer_listing_request(self, command: bytes) -> ForwardAnswer:
        leads = self.member.driver.is_leader()
        return answer_listing_request(self._knowledge, command, leads=leads)

    def _route_table(self) -> RouteTable | None:
        """Return the route table of the local document, which may lag behind the leader's."""
        document = self.member.state.zone.document
        if document.content and document.version != self._cached_table_version:
            self._cached_table_version = document.version
            self._cached_table = RouteTable(self._adapter.decode_document(document.content))
        return self._cached_table

    async def _set_gauges(self) -> None:
        while True:
            self._gauges.update(self.member, self._quorum)
            await trio.sleep(GAUGE_INTERVAL_S)


async def run_control(
    settings: ProgramSettings, adapter: ControlAdapter, lifecycle: ProgramLifecycle
) -> None:
    """Run a control instance until it is asked to stop.

    :raises SettingsError: if the settings name no data folder.
    """
    if settings.folder is None:
        raise SettingsError('a control instance needs a data folder', step='settings')

    async def run() -> None:
        program = ControlProgram(settings, adapter)
        try:
            await program.run(lifecycle)
        finally:
            program.member.close()

    await run_on_disk(settings.folder, run, lifecycle.stop)


#: Time in which a command forwarded by another control instance must commit.
FORWARDED_COMMIT_TIMEOUT_S = 0.9
