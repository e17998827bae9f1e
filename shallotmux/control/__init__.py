"""Control instances: the fleet's log, knowledge for entry instances, duties at the platform."""

from __future__ import annotations

from shallotmux.control._border import (
    DutyHolder,
    DutyOutcome,
    FleetOrder,
    PlatformBorder,
    UsageReport,
)
from shallotmux.control._documents import DocumentDesk
from shallotmux.control._duties import LeaderTerm, LeaderTools, UsageDuty
from shallotmux.control._knowledge import KnowledgeDesk, UsageLedger
from shallotmux.control._member import CONTROL_GROUP, ControlMember, MemberSettings
from shallotmux.control._ordering import OrderingDuty
from shallotmux.control._poller import ListingPoller
from shallotmux.control._role_orders import RoleDuty
from shallotmux.control._seats import SeatTimes, SeatView, next_seat_change

__all__ = (
    'CONTROL_GROUP',
    'ControlMember',
    'DocumentDesk',
    'DutyHolder',
    'DutyOutcome',
    'FleetOrder',
    'KnowledgeDesk',
    'LeaderTerm',
    'LeaderTools',
    'ListingPoller',
    'MemberSettings',
    'OrderingDuty',
    'PlatformBorder',
    'RoleDuty',
    'SeatTimes',
    'SeatView',
    'UsageDuty',
    'UsageLedger',
    'UsageReport',
    'next_seat_change',
)
