"""Control instances: the fleet's log, knowledge for entry instances, duties at the platform."""

from __future__ import annotations

from shallotmux.control._border import (
    DutyHolder,
    DutyOutcome,
    FleetOrder,
    PlatformApi,
    UsageReport,
)
from shallotmux.control._documents import DocumentService
from shallotmux.control._duties import LeaderDependencies, LeaderTerm, WindowReporter
from shallotmux.control._knowledge import KnowledgeService, UsageLedger
from shallotmux.control._member import CONTROL_GROUP, ControlMember, MemberSettings
from shallotmux.control._ordering import Autoscaler
from shallotmux.control._poller import ListingPoller
from shallotmux.control._role_orders import RoleBalancer
from shallotmux.control._seats import SeatTimes, SeatView, next_seat_change

__all__ = (
    'CONTROL_GROUP',
    'ControlMember',
    'DocumentService',
    'DutyHolder',
    'DutyOutcome',
    'FleetOrder',
    'KnowledgeService',
    'LeaderTerm',
    'LeaderDependencies',
    'ListingPoller',
    'MemberSettings',
    'Autoscaler',
    'PlatformApi',
    'RoleBalancer',
    'SeatTimes',
    'SeatView',
    'WindowReporter',
    'UsageLedger',
    'UsageReport',
    'next_seat_change',
)
