"""The state that a zone's instances replicate, and the seam through which it is changed."""

from __future__ import annotations

from shallotmux.authority._configuration import (
    ConfigItem,
    DeleteObject,
    PutObject,
    Versioned,
    object_kind,
)
from shallotmux.authority._keys import (
    CreateKey,
    WithdrawKey,
    create_secret,
    digest_secret,
)
from shallotmux.authority._ledger import (
    AbandonClaims,
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
    shorten_answer,
)
from shallotmux.authority._local import Authority, Leadership, LocalAuthority
from shallotmux.authority._quarantine import (
    EndTrial,
    LiftQuarantine,
    QuarantineState,
    RecordCrash,
    StartTrial,
    Suspicion,
)
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
    'AbandonClaims',
    'AbandonJob',
    'Applied',
    'Authority',
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
    'EndTrial',
    'FinishJob',
    'Job',
    'JobId',
    'Leadership',
    'LiftQuarantine',
    'LocalAuthority',
    'PutObject',
    'QuarantineState',
    'RecordCrash',
    'Refused',
    'ReleaseJob',
    'Result',
    'StartTrial',
    'StoredAnswer',
    'Suspicion',
    'Versioned',
    'WithdrawKey',
    'ZoneState',
    'create_secret',
    'decode_command',
    'decode_result',
    'digest_secret',
    'encode_command',
    'encode_result',
    'object_kind',
    'shorten_answer',
)
