"""The state that a zone's instances replicate, and the seam through which it is changed."""

from __future__ import annotations

from shallotmux.authority._configuration import (
    ConfigItem,
    DeleteObject,
    PutObject,
    Versioned,
    object_kind,
)
from shallotmux.authority._driver import (
    GroupDriver,
    GroupStorage,
    RunBlocking,
    run_in_thread,
    run_inline,
)
from shallotmux.authority._fleet import FleetAuthority, is_fleet_command
from shallotmux.authority._group_state import GroupState
from shallotmux.authority._keys import (
    CreateKey,
    WithdrawKey,
    create_secret,
    digest_secret,
)
from shallotmux.authority._ledger import (
    AbandonJob,
    ClaimFinished,
    ClaimGranted,
    ClaimJob,
    ClaimMismatch,
    ClaimRunning,
    ClaimUnknown,
    FinishJob,
    Job,
    JobId,
    ReleaseJob,
    StoredAnswer,
)
from shallotmux.authority._local import Authority, Leadership, LocalAuthority
from shallotmux.authority._replicated import AuthorityLimits, ReplicatedAuthority
from shallotmux.authority._results import Applied, Conflict, Refused
from shallotmux.authority._state import (
    Command,
    Result,
    ZoneState,
    decode_command,
    decode_result,
    encode_command,
    encode_result,
)

__all__ = (
    'AbandonJob',
    'Applied',
    'Authority',
    'AuthorityLimits',
    'ClaimFinished',
    'ClaimGranted',
    'ClaimJob',
    'ClaimMismatch',
    'ClaimRunning',
    'ClaimUnknown',
    'Command',
    'ConfigItem',
    'Conflict',
    'CreateKey',
    'DeleteObject',
    'FinishJob',
    'FleetAuthority',
    'GroupDriver',
    'GroupState',
    'GroupStorage',
    'Job',
    'JobId',
    'Leadership',
    'LocalAuthority',
    'PutObject',
    'Refused',
    'ReleaseJob',
    'ReplicatedAuthority',
    'Result',
    'RunBlocking',
    'StoredAnswer',
    'Versioned',
    'WithdrawKey',
    'ZoneState',
    'create_secret',
    'decode_command',
    'decode_result',
    'digest_secret',
    'encode_command',
    'encode_result',
    'is_fleet_command',
    'object_kind',
    'run_in_thread',
    'run_inline',
)
