"""Control instances: the replicated log, answers to entry instances, and calls to the platform."""

from __future__ import annotations

from shallotmux.control._autoscaler import Autoscaler
from shallotmux.control._documents import DocumentService
from shallotmux.control._duties import (
    CALL_FLIGHT_S,
    LeaderDependencies,
    LeaderTerm,
    WindowReporter,
)
from shallotmux.control._group_changes import ControlGroupView, next_group_change
from shallotmux.control._group_health import GroupHealth, assess_group
from shallotmux.control._join_requests import JoinRequests
from shallotmux.control._knowledge import KnowledgeService
from shallotmux.control._member import (
    CHECK_INTERVAL_S,
    CONTROL_GROUP,
    MEMBERSHIP_INTERVAL_S,
    REJOIN_AFTER_S,
    ControlMember,
    MemberSettings,
    replica_options,
)
from shallotmux.control._overflow import OverflowTask, count_capacities
from shallotmux.control._platform import (
    DutyHolder,
    DutyOutcome,
    FleetOrder,
    PlatformApi,
    UsageReport,
)
from shallotmux.control._poller import ListingPoller
from shallotmux.control._quorum_watch import QuorumWatch
from shallotmux.control._recovery import DataFolders
from shallotmux.control._role_balancer import RoleBalancer
from shallotmux.control._shared_listing import (
    LISTING_GROUP,
    SharedListing,
    answer_listing_request,
)
from shallotmux.control._timeouts import MemberTimeouts, choose_timeouts, longest_replacement_s
from shallotmux.control._usage_totals import UsageTotals
from shallotmux.control._voter_placement import MemberStability

__all__ = (
    'CALL_FLIGHT_S',
    'CHECK_INTERVAL_S',
    'CONTROL_GROUP',
    'ControlMember',
    'DataFolders',
    'DocumentService',
    'DutyHolder',
    'DutyOutcome',
    'FleetOrder',
    'GroupHealth',
    'JoinRequests',
    'MEMBERSHIP_INTERVAL_S',
    'REJOIN_AFTER_S',
    'KnowledgeService',
    'LISTING_GROUP',
    'LeaderTerm',
    'LeaderDependencies',
    'ListingPoller',
    'MemberSettings',
    'Autoscaler',
    'OverflowTask',
    'PlatformApi',
    'QuorumWatch',
    'RoleBalancer',
    'SharedListing',
    'MemberStability',
    'MemberTimeouts',
    'choose_timeouts',
    'longest_replacement_s',
    'ControlGroupView',
    'WindowReporter',
    'UsageTotals',
    'UsageReport',
    'answer_listing_request',
    'assess_group',
    'count_capacities',
    'next_group_change',
    'replica_options',
)
