"""Messages of entry instances and joining control instances to the control group, and answers."""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from shallotmux.crashes import CrashNews, Position
from shallotmux.decoding import guard_decoder
from shallotmux.fleet._listing import Listing
from shallotmux.fleetnews import StateMark
from shallotmux.origins import NO_HISTORY, HistoryReport
from shallotmux.overflow import OverflowShare, ServiceUse
from shallotmux.plannedchanges import PlannedChange
from shallotmux.ratelimits import LimitReport

#: Group name under which polls are forwarded to a control instance.
KNOWLEDGE_GROUP = 'knowledge'

#: Group name under which join requests are forwarded to a control instance.
JOIN_GROUP = 'join'

#: Group name under which notices of stopping control instances are forwarded to the leader.
LEAVE_GROUP = 'leave'

#: Group name under which members announce their zone to the leader of the control group.
ANNOUNCEMENT_GROUP = 'announcement'


#: Maximum number of entry instances of its own zone that an instance of an earlier build is told of.
MAX_NEIGHBOURS = 16


class CustomerCount(msgspec.Struct, frozen=True):
    """Number of requests of one customer that started in one window at one instance.

    :param window: number of the window: its start since 1970 divided by the window length.
    """

    customer: str
    window: int
    requests: int


class ServiceDemand(msgspec.Struct, frozen=True):
    """Recent demand for one service at one instance.

    :param tokens_per_s: prompt tokens per second that needed prefill.
    :param prefill_tokens_per_s: measured prefill speed of one engine; 0 while it is not known.
    :param in_flight: requests of the instance that engines work on.
    :param requests_per_s: requests of the instance per second.
    """

    service: str
    tokens_per_s: float
    prefill_tokens_per_s: float = 0.0
    in_flight: int = 0
    requests_per_s: float = 0.0


class Poll(msgspec.Struct, frozen=True):
    """Request of an entry instance for the state of the fleet, with its own reports.

    :param sender: name and incarnation of the instance.
    :param version: version of the sender's route document; 0 for none.
    :param counts: totals of the sender that the receiver has not confirmed; of earlier builds all for the
        windows that they still keep.
    :param demands: demand at the sender, by service.
    :param crash_news: what the sender learned of crashes after its last poll of the receiver.
    :param crashes_known: position of the receiver's news of crashes that the sender has.
    :param limits: limits of endpoints that the sender knows of and the receiver has not confirmed.
    :param zone: availability zone of the sender.
    :param cut_off: services of which the sender reaches no endpoint.
    :param known_endpoints: state of the list of endpoints that the sender has, if it follows the receiver.
    :param known_members: the same for the members of the fleet.
    :param is_report: whether the sender follows another instance and needs no state. Earlier builds name
        neither, and get the whole state.
    :param wants_history: whether the answer is to contain the software versions.
    :param uses: use of the services that have endpoints in several zones; None from earlier builds.
    """

    sender: str
    version: int
    counts: tuple[CustomerCount, ...] = ()
    demands: tuple[ServiceDemand, ...] = ()
    crash_news: CrashNews = CrashNews()
    crashes_known: Position = Position()
    limits: tuple[LimitReport, ...] = ()
    zone: str = ''
    cut_off: tuple[str, ...] = ()
    known_endpoints: StateMark | None = None
    known_members: StateMark | None = None
    is_report: bool = False
    wants_history: bool = True
    uses: tuple[ServiceUse, ...] | None = None


class CutOff(msgspec.Struct, frozen=True):
    """Entry instances that reach no endpoint of a service."""

    service: str
    entries: tuple[str, ...]


class Knowledge(msgspec.Struct, frozen=True):
    """Answer to a poll: the state of the fleet.

    ``listing``, ``entries``, ``peers`` and ``neighbours`` are filled in for polls of earlier builds only;
    others get the changes of the state that they name.

    :param version: version of the answering instance's route document; 0 for none.
    :param document: that document; empty if it is not newer than the poll sender's.
    :param peers: names of the control instances.
    :param listing: the platform's list of endpoints; None if it was never read.
    :param listing_age_s: time since the answering instance's list was read; infinite if it was never
        read and the poll is not one of an earlier build.
    :param entries: names of the live entry instances.
    :param true_time_s: the answering instance's estimate of the time since 1970.
    :param crash_news: what the answering instance learned of crashes after the position in the poll.
    :param limits: limits of endpoints as reported by all instances.
    :param versions: software versions that the answering instance itself saw in lists of endpoints.
    :param neighbours: live entry instances in the zone of the poll's sender, at most
        :data:`MAX_NEIGHBOURS`.
    :param cut_off: what entry instances reported a moment ago.
    :param incarnation: random number of the answering instance's incarnation, also the epoch of its
        states; 0 from earlier builds.
    :param endpoints: encoded change of the list of endpoints, with positions; empty if there is none.
    :param members: encoded change of the members of the fleet.
    :param is_settled: whether all live entry instances have had the time to poll the answering instance.
    :param took_counts: whether all counts of the poll were merged, and need not be sent again.
    :param plans: planned changes that the answering instance knows of.
    :param shares: shares of the zone of the poll's sender, if the answering instance decides for it.
    """

    version: int
    document: bytes
    peers: tuple[str, ...]
    listing: Listing | None
    listing_age_s: float
    entries: tuple[str, ...]
    true_time_s: float
    crash_news: CrashNews = CrashNews()
    limits: tuple[LimitReport, ...] = ()
    versions: HistoryReport = NO_HISTORY
    neighbours: tuple[str, ...] = ()
    cut_off: tuple[CutOff, ...] = ()
    incarnation: int = 0
    endpoints: bytes = b''
    members: bytes = b''
    is_settled: bool = False
    took_counts: bool = False
    plans: tuple[PlannedChange, ...] = ()
    shares: tuple[OverflowShare, ...] = ()


class Join(msgspec.Struct, frozen=True):
    """Request of a control instance to join the control group.

    :param identity: name of the instance and incarnation of its disk.
    :param zone: availability zone of the instance; empty if it is unknown, as in requests of earlier
        builds.
    """

    identity: str
    zone: str = ''


class Leave(msgspec.Struct, frozen=True):
    """Notice of a control instance that it stops, and may not come back.

    :param identity: name of the instance and incarnation of its disk.
    """

    identity: str


class LeaveAnswer(msgspec.Struct, frozen=True):
    """Answer to a notice that an instance stops.

    :param is_waiting: whether another member is about to get its vote, so that it should not stop yet.
    """

    is_waiting: bool


class JoinAnswer(msgspec.Struct, frozen=True):
    """Answer to a join request.

    :param leader: name of the leader; empty if it is unknown.
    :param peers: names of the control instances.
    :param term: term of the leader; 0 from earlier builds.
    """

    leader: str
    peers: tuple[str, ...]
    term: int = 0


class Announcement(msgspec.Struct, frozen=True):
    """Announcement of a member of the control group to its leader.

    :param identity: identity of the member in the group.
    :param zone: availability zone of the member.
    """

    identity: str
    zone: str


class AnnouncementAnswer(msgspec.Struct, frozen=True):
    """Answer to an announcement.

    :param zones: zones of the members by identity, as far as the answering instance knows them.
    """

    zones: dict[str, str]


FleetMessage: TypeAlias = (
    Poll | Knowledge | Join | JoinAnswer | Leave | LeaveAnswer | Announcement | AnnouncementAnswer
)


def encode_fleet_message(message: FleetMessage) -> bytes:
    """Encode a message as MessagePack."""
    return msgspec.msgpack.encode(message)


decode_poll = guard_decoder(msgspec.msgpack.Decoder(Poll).decode)
decode_knowledge = guard_decoder(msgspec.msgpack.Decoder(Knowledge).decode)
decode_join = guard_decoder(msgspec.msgpack.Decoder(Join).decode)
decode_announcement = guard_decoder(msgspec.msgpack.Decoder(Announcement).decode)
decode_announcement_answer = guard_decoder(msgspec.msgpack.Decoder(AnnouncementAnswer).decode)
decode_join_answer = guard_decoder(msgspec.msgpack.Decoder(JoinAnswer).decode)

#: Decodes a :class:`Leave`; raises :class:`msgspec.DecodeError` if the payload is not valid.
decode_leave = guard_decoder(msgspec.msgpack.Decoder(Leave).decode)

#: Decodes a :class:`LeaveAnswer`; raises :class:`msgspec.DecodeError` if the payload is not valid.
decode_leave_answer = guard_decoder(msgspec.msgpack.Decoder(LeaveAnswer).decode)
