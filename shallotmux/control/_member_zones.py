"""Availability zones of the members of the control group, which each announces to the leader."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Mapping
from contextlib import suppress

import msgspec
import trio
from eliot import log_message

from shallotmux.errors import ShallotmuxError
from shallotmux.fleet import (
    ANNOUNCEMENT_GROUP,
    Announcement,
    AnnouncementAnswer,
    decode_announcement,
    decode_announcement_answer,
    encode_fleet_message,
)
from shallotmux.replication import ReplicaStatus
from shallotmux.transport import ForwardAnswer, PeerNetwork, Refusal, instance_name

#: Interval at which a member checks whether there is a new leader, and repeats an announcement that
#: was not answered.
ANNOUNCEMENT_INTERVAL_S = 0.25

#: Interval at which a member repeats an announcement to learn the zones of the others.
ANNOUNCEMENT_REFRESH_S = 5.0

#: Timeout of an announcement.
ANNOUNCEMENT_TIMEOUT_S = 0.5


class MemberZones:
    """Zones of the members as known to this instance, and the announcement of its own.

    Zones are kept only in memory. Each member announces its own to the leader of each term, until there
    is an answer, and then at long intervals. The answer holds the zones of the others: a new leader then
    knows also those of members that were lost before it was elected. Leaders of builds that do not know
    announcements refuse them, which is an answer as well.

    :param zone: zone of this instance; an empty one is unknown and not announced.
    :param status: returns the status of this instance's replica.
    """

    def __init__(
        self,
        identity: str,
        zone: str,
        network: PeerNetwork,
        status: Callable[[], ReplicaStatus],
    ) -> None:
        self._announcement = Announcement(identity, zone)
        self._network = network
        self._status = status
        self._zones: dict[str, str] = {}
        self._announced_term = 0
        self._refresh_at = -math.inf
        self.record(identity, zone)

    def known(self) -> Mapping[str, str]:
        """Return the known zones by identity."""
        return self._zones

    def record(self, identity: str, zone: str) -> None:
        """Record the zone of an instance; an empty one is unknown."""
        if zone:
            self._zones[identity] = zone

    def retain(self, identities: Collection[str]) -> None:
        """Forget the zones of all instances but the given ones and this one."""
        kept = {*identities, self._announcement.identity}
        self._zones = {each: zone for each, zone in self._zones.items() if each in kept}

    def handle_announcement(self, payload: bytes) -> ForwardAnswer:
        """Record the announcement of a member and return the answer to it."""
        try:
            announcement = decode_announcement(payload)
        except msgspec.DecodeError as error:
            return ForwardAnswer(refusal=Refusal.INVALID, detail=str(error))
        self.record(announcement.identity, announcement.zone)
        return ForwardAnswer(encode_fleet_message(AnnouncementAnswer(dict(self._zones))))

    async def announce_repeatedly(self) -> None:
        """Announce the own zone to each new leader until cancelled."""
        while True:
            await trio.sleep(ANNOUNCEMENT_INTERVAL_S)
            status = self._status()
            if self._is_due(status):
                await self._announce(instance_name(status.leader or ''), status.term)

    def _is_due(self, status: ReplicaStatus) -> bool:
        identity = self._announcement.identity
        has_other_leader = status.leader not in {None, identity}
        is_time = status.term != self._announced_term or trio.current_time() >= self._refresh_at
        is_member = identity in status.configuration.members
        return has_other_leader and is_time and is_member and self._announcement.zone != ''

    async def _announce(self, leader: str, term: int) -> None:
        payload = encode_fleet_message(self._announcement)
        try:
            answer = await self._network.forward(
                leader, ANNOUNCEMENT_GROUP, payload, ANNOUNCEMENT_TIMEOUT_S
            )
        except ShallotmuxError as error:
            log_message(
                message_type='shallotmux:zone-unannounced',
                level='debug',
                leader=leader,
                error=str(error),
            )
            return
        self._announced_term = term
        self._refresh_at = trio.current_time() + ANNOUNCEMENT_REFRESH_S
        self._learn(answer)

    def _learn(self, answer: ForwardAnswer) -> None:
        """Record the zones in an answer; refusals hold none."""
        if answer.refusal is not Refusal.NONE:
            return
        with suppress(msgspec.DecodeError):
            zones = decode_announcement_answer(answer.result).zones
            self._zones = {**self._zones, **zones}
