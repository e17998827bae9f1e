"""Software versions at which streams began, shared by all instances."""

from __future__ import annotations

from shallotmux.origins._client import OriginClient
from shallotmux.origins._decision import (
    Continuation,
    Knowledge,
    KnownFrom,
    Unknown,
    choose_version,
)
from shallotmux.origins._history import MAX_LIST_GAP_S, MAX_STREAM_LIFE_S, VersionHistory
from shallotmux.origins._messages import (
    NO_HISTORY,
    ORIGIN_GROUP,
    HistoryReport,
    OriginAnswer,
    OriginCall,
    OriginReport,
    VersionSpan,
    decode_origin_call,
    encode_origin_message,
)
from shallotmux.origins._store import UNCERTAIN_VERSION, Origin, OriginStore, make_origin_key
from shallotmux.origins._streams import StreamOrigins

__all__ = (
    'MAX_LIST_GAP_S',
    'MAX_STREAM_LIFE_S',
    'NO_HISTORY',
    'ORIGIN_GROUP',
    'UNCERTAIN_VERSION',
    'Continuation',
    'HistoryReport',
    'Knowledge',
    'KnownFrom',
    'Origin',
    'OriginAnswer',
    'OriginCall',
    'OriginClient',
    'OriginReport',
    'OriginStore',
    'StreamOrigins',
    'Unknown',
    'VersionHistory',
    'VersionSpan',
    'choose_version',
    'decode_origin_call',
    'encode_origin_message',
    'make_origin_key',
)
