"""The program of a control instance: holds the fleet's log and acts for the fleet."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import SystemRandom

import trio
from eliot import log_message
from prometheus_client import CollectorRegistry, Gauge

from shallotmux.control import (
    CONTROL_GROUP,
    Autoscaler,
    ControlMember,
    DocumentService,
    KnowledgeService,
    LeaderDependencies,
    LeaderTerm,
    ListingPoller,
    MemberSettings,
    PlatformApi,
    RoleBalancer,
    WindowReporter,
)
from shallotmux.errors import SettingsError
from shallotmux.fleet import JOIN_GROUP, KNOWLEDGE_GROUP, DecodeDocument, TrueClock
from shallotmux.forwarding import HttpListener
from shallotmux.programs._disk import run_on_disk
from shallotmux.programs._lifecycle import (
    LoadSettings,
    SettingsWatch,
    run_beneath,
    wait_for_stop,
)
from shallotmux.programs._pages import DocumentPage, MetricsPage
from shallotmux.programs._settings import ProgramSettings
from shallotmux.routes import RouteTable
from shallotmux.transport import (
    ForwardAnswer,
    GrpcPeerNetwork,
    PeerEnvelope,
    Refusal,
    SelfNamedAddresses,
)

#: Time for answers that are under way at the end.
END_S = 0.5

#: Interval at which gauges are set.
GAUGE_S = 1.0


@dataclass(frozen=True, slots=True)
class ControlBorder:
    """What a control program is given by the adapter to a platform.

    :param put_path: path at which operators put a document.
    :param get_path: path at which operators read it.
    """

    decode_document: DecodeDocument
    platform: PlatformApi
    put_path: str
    get_path: str


class ControlProgram:
    """Listeners, group member and duties of one control instance."""

    def __init__(self, settings: ProgramSettings, border: ControlBorder) -> None:
        if settings.folder is None:
            raise SettingsError('a control instance needs a data folder', step='settings')
        self.settings = settings
        self._border = border
        own = settings.listen.peers
        self._network = GrpcPeerNetwork(own, own, SelfNamedAddresses(), None)
        self._clock = TrueClock()
        self.member = ControlMember(
            MemberSettings(
                own, settings.folder, settings.seeds, settings.bootstrap, settings.tolerated
            ),
            self._network,
            SystemRandom(),
        )
        self._desk = KnowledgeService(self.member.state, self._clock, self.member.peers)
        self._registry = CollectorRegistry()
        self._tabled_version = 0
        self._cached_table: RouteTable | None = None

    def apply_settings(self, settings: ProgramSettings) -> None:
        """Take changed settings."""
        self.member.update_seeds(settings.seeds)

    async def run(self, load: LoadSettings) -> None:
        """Serve until the process is told to stop."""
        settings = self.settings
        watch = SettingsWatch(settings, load, self.apply_settings)
        desk = DocumentService(self.member.authority, self._border.decode_document)
        page = DocumentPage(desk, self._border.put_path, self._border.get_path)
        pages = [HttpListener(settings.listen.operators, page.handle)]
        if settings.listen.metrics:
            metrics = MetricsPage(self._registry)
            pages.append(HttpListener(settings.listen.metrics, metrics.handle))
        # Calls to peers must end before the network that carries them.
        async with run_beneath(self._network, self) as nursery:
            for each in pages:
                await nursery.start(each.run)
            for task in (self.member.run, watch.run, self._set_gauges, *self._duties()):
                nursery.start_soon(task)
            log_message(
                message_type='shallotmux:started',
                role='control',
                name=settings.name,
                identity=self.member.identity,
                applied=self.member.state.applied_index,
            )
            await wait_for_stop(watch)
            await self.member.transfer_leadership()
            for each in pages:
                each.drain()
            await trio.sleep(END_S)
        log_message(message_type='shallotmux:stopped', role='control', name=settings.name)

    def receive(self, envelope: PeerEnvelope) -> None:
        """Hand a message of the group to the member."""
        if envelope.group == CONTROL_GROUP:
            self.member.receive(envelope)

    async def handle_forward(self, group: str, command: bytes) -> ForwardAnswer:
        """Answer a call of another instance."""
        match group:
            case _ if group == KNOWLEDGE_GROUP:
                return self._desk.answer(command)
            case _ if group == JOIN_GROUP:
                return self.member.handle_join_request(command)
            case _ if group == CONTROL_GROUP:
                return await self.member.driver.commit(command, FORWARDED_COMMIT_S)
        return ForwardAnswer(refusal=Refusal.NOT_COMMITTED, detail=f'no group {group!r}')

    def _duties(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        settings = self.settings
        platform = self._border.platform
        poller = ListingPoller(platform, self._desk.update_listing, settings.times.listing_s)
        tasks: list[Callable[[], Awaitable[None]]] = [poller.run]
        term = LeaderTerm(self.member, settings.name)
        if settings.has_usage:
            window_s = settings.times.usage_window_s
            duty = WindowReporter(self.member, self._desk, platform, self._clock, term, window_s)
            tasks.append(duty.run)
        tools = LeaderDependencies(self._desk, platform, term, self._table)
        if settings.has_orders:
            tasks.append(Autoscaler(tools).run)
        tasks.append(RoleBalancer(tools).run)
        return tuple(tasks)

    def _table(self) -> RouteTable | None:
        """Return the look-ups of the local document, which may lag behind the group's."""
        document = self.member.state.zone.document
        if document.content and document.version != self._tabled_version:
            self._tabled_version = document.version
            self._cached_table = RouteTable(self._border.decode_document(document.content))
        return self._cached_table

    async def _set_gauges(self) -> None:
        term = Gauge('shallotmux_term', 'Term of the group.', registry=self._registry)
        leads = Gauge('shallotmux_leads', 'Whether this leads.', registry=self._registry)
        version = Gauge(
            'shallotmux_document_version', 'Version in the local state.', registry=self._registry
        )
        while True:
            term.set(self.member.driver.status().term)
            leads.set(self.member.driver.is_leader())
            version.set(self.member.state.zone.document.version)
            await trio.sleep(GAUGE_S)


async def run_control(settings: ProgramSettings, border: ControlBorder, load: LoadSettings) -> None:
    """Run a control instance until the process is told to stop.

    :raises SettingsError: if the settings name no data folder.
    """
    if settings.folder is None:
        raise SettingsError('a control instance needs a data folder', step='settings')

    async def run() -> None:
        program = ControlProgram(settings, border)
        try:
            await program.run(load)
        finally:
            program.member.close()

    await run_on_disk(settings.folder, run)


#: Time in which a command of another control instance must commit.
FORWARDED_COMMIT_S = 0.9
