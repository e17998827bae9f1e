"""Attribution of endpoint crashes to requests and prompt parts, shared by all instances."""

from __future__ import annotations

from shallotmux.crashes._culprits import (
    CRASH_LIMIT,
    QUARANTINE_S,
    Crash,
    Culprit,
    find_culprits,
    find_culprits_naively,
    may_run_trial,
)
from shallotmux.crashes._evidence import EVIDENCE_TTL_S
from shallotmux.crashes._exchange import CrashExchange
from shallotmux.crashes._messages import (
    AliveReport,
    CrashNews,
    CrashReport,
    Position,
    ServedReport,
)
from shallotmux.crashes._records import CrashRecords
from shallotmux.crashes._subjects import digest_subject

__all__ = (
    'CRASH_LIMIT',
    'EVIDENCE_TTL_S',
    'QUARANTINE_S',
    'AliveReport',
    'Crash',
    'CrashExchange',
    'CrashNews',
    'CrashRecords',
    'CrashReport',
    'Culprit',
    'Position',
    'ServedReport',
    'digest_subject',
    'find_culprits',
    'find_culprits_naively',
    'may_run_trial',
)
