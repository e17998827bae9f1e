"""Choose the endpoint, or the peer, for the next attempt of a request."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

import trio
from eliot import log_message

from shallotmux.fleet import ListedEndpoint
from shallotmux.forwarding._directory import EndpointDirectory
from shallotmux.forwarding._engines import EnginePlacer
from shallotmux.forwarding._job import Job
from shallotmux.forwarding._least_loaded import choose_least_loaded
from shallotmux.forwarding._load_shedding import LoadShed
from shallotmux.forwarding._state import EndpointState, Outlook, Target
from shallotmux.relaying import RelayPeers

#: Endpoints that are tried for a request, unreachable ones included. Each of those may cost the
#: connect timeout.
MAX_ENDPOINTS_TRIED = 6

#: Endpoints that accepted no connection for a request, after which a peer is asked before others are
#: tried. An instance may have lost its links to many endpoints of a service, and not to all.
MAX_UNREACHED = 3

#: Peers that are asked to relay a request. Each one may cost the connect timeout.
MAX_PEERS_TRIED = 3


@dataclass(slots=True)
class TargetChooser:
    """Chooses endpoints by load, and peers if the endpoints are out of reach.

    :param zone: availability zone of this instance.
    """

    zone: str
    directory: EndpointDirectory
    placer: EnginePlacer
    peers: RelayPeers
    random: Random = field(default_factory=Random)

    async def choose(self, job: Job) -> Target | LoadShed | None:
        """Return the endpoint or peer for the next attempt; None if there is none."""
        target = await self._choose(job)
        if isinstance(target, Target) and target.peer is None:
            self.directory.zones.record_sent(job, target.state)
        return target

    def choose_beside(self, job: Job) -> Target | None:
        """Return an endpoint for an attempt beside those in progress, if a sound one has room.

        :param job: one without a prompt, that excludes the endpoints of those attempts.
        """
        if len(job.excluded) >= MAX_ENDPOINTS_TRIED:
            return None
        target = self._choose_plain(job, self._available(job))
        if target is not None:
            self.directory.zones.record_sent(job, target.state)
        return target

    def has_other(self, job: Job) -> bool:
        """Return whether an attempt that is given up can be followed by one elsewhere."""
        if self.directory.quarantine_ends_in(job) or len(job.excluded) >= MAX_ENDPOINTS_TRIED:
            return False
        if self._available(job):
            return True
        may_relay = not job.relayed_for and len(job.peers_tried) < MAX_PEERS_TRIED
        if not may_relay or not self.directory.is_out_of_reach(job):
            return False
        return self.peers.choose(job.service, job.peers_tried) is not None

    async def _choose(self, job: Job) -> Target | LoadShed | None:
        may_relay = self.peers.has_peers and not job.relayed_for
        if may_relay and job.unreached >= MAX_UNREACHED:
            relay = self._choose_peer(job)
            if relay is not None:
                return relay
        target = await self._choose_endpoint(job, self.directory.usable_for(job))
        if target is not None or job.relayed_for or not self.directory.is_out_of_reach(job):
            return target
        if may_relay:
            return self._choose_peer(job)
        return await self._choose_endpoint(job, self.directory.untried(job))

    def _available(self, job: Job) -> list[EndpointState]:
        """Return the endpoints that may answer a job and are neither avoided nor out of reach."""
        now = trio.current_time()
        usable = self.directory.usable_for(job)
        return [each for each in usable if each.may_answer and each.is_available(now)]

    async def _choose_endpoint(
        self, job: Job, usable: list[EndpointState]
    ) -> Target | LoadShed | None:
        """Return the endpoint for the next attempt; None if none of those given answers requests."""
        if not any(each.may_answer for each in usable):
            return None
        if job.prompt is not None:
            return await self.placer.place(job, usable)
        return self._choose_plain(job, usable)

    def _choose_plain(self, job: Job, candidates: list[EndpointState]) -> Target | None:
        """Return the endpoint for a request without a prompt, with the time it is expected to take."""
        estimator = self.placer.estimator
        zones = self.directory.zones
        now = trio.current_time()

        def pays(near: EndpointState, far: EndpointState) -> bool:
            near_ms = estimator.estimate_plain(near, now).total_ms
            return near_ms - estimator.estimate_plain(far, now).total_ms > zones.transit_ms(job)

        state = choose_least_loaded(
            candidates,
            job.zone or self.zone,
            self.random.random,
            estimator.rank_plain,
            pays,
        )
        if state is None:
            return None
        estimate = estimator.estimate_plain(state, now)
        return Target(state, outlook=Outlook(estimate, estimate.total_ms, now, now))

    def _choose_peer(self, job: Job) -> Target | None:
        """Return a peer that relays a job whose service is out of reach; None if none may reach it."""
        peer = None
        if len(job.peers_tried) < MAX_PEERS_TRIED:
            peer = self.peers.choose(job.service, job.peers_tried)
        log_message(
            message_type='shallotmux:relay',
            request=job.request_id.decode('latin-1'),
            service=job.service,
            software=job.stream_version,
            peer=peer.name if peer else None,
            load=peer.in_flight + peer.load if peer else None,
            tried=len(job.peers_tried),
        )
        if peer is None:
            return None
        job.peers_tried.add(peer.name)
        listed = ListedEndpoint(peer.name, job.service, self.peers.address_of(peer), '')
        return Target(EndpointState(listed), peer=peer)
