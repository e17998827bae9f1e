"""Fleet state on entry instances, and its exchange with the control instances and among peers."""

from __future__ import annotations

from shallotmux.fleet._clock import TrueClock, read_boot_time
from shallotmux.fleet._listing import EngineRole, ListedEndpoint, Listing
from shallotmux.fleet._listing_copy import ListingCopy
from shallotmux.fleet._load_messages import EndpointReport
from shallotmux.fleet._load_sharing import LoadSharing
from shallotmux.fleet._members import (
    FleetMembers,
    encode_endpoints,
    encode_members,
)
from shallotmux.fleet._messages import (
    ANNOUNCEMENT_GROUP,
    JOIN_GROUP,
    KNOWLEDGE_GROUP,
    LEAVE_GROUP,
    MAX_NEIGHBOURS,
    Announcement,
    AnnouncementAnswer,
    CustomerCount,
    CutOff,
    Join,
    JoinAnswer,
    Knowledge,
    Leave,
    LeaveAnswer,
    Poll,
    ServiceDemand,
    decode_announcement,
    decode_announcement_answer,
    decode_join,
    decode_join_answer,
    decode_knowledge,
    decode_leave,
    decode_leave_answer,
    decode_poll,
    encode_fleet_message,
)
from shallotmux.fleet._peer_loads import PeerLoads
from shallotmux.fleet._poller import DecodeDocument, FleetPoller, FleetView

__all__ = (
    'ANNOUNCEMENT_GROUP',
    'JOIN_GROUP',
    'KNOWLEDGE_GROUP',
    'LEAVE_GROUP',
    'MAX_NEIGHBOURS',
    'Announcement',
    'AnnouncementAnswer',
    'CustomerCount',
    'CutOff',
    'DecodeDocument',
    'EndpointReport',
    'EngineRole',
    'FleetMembers',
    'FleetPoller',
    'FleetView',
    'Join',
    'JoinAnswer',
    'Knowledge',
    'Leave',
    'LeaveAnswer',
    'ListedEndpoint',
    'Listing',
    'ListingCopy',
    'LoadSharing',
    'PeerLoads',
    'Poll',
    'ServiceDemand',
    'TrueClock',
    'decode_announcement',
    'decode_announcement_answer',
    'decode_join',
    'decode_join_answer',
    'decode_knowledge',
    'decode_leave',
    'decode_leave_answer',
    'decode_poll',
    'encode_endpoints',
    'encode_fleet_message',
    'encode_members',
    'read_boot_time',
)
