"""States that control instances publish and entry instances follow, and what receivers have confirmed.

Pure logic without tasks, sockets or clock.
"""

from __future__ import annotations

from shallotmux.fleetnews._choice import MAX_LIST_AGE_S, ControlInstance, choose_main
from shallotmux.fleetnews._confirmations import Confirmations
from shallotmux.fleetnews._follower import Applied, Follower
from shallotmux.fleetnews._messages import (
    NO_STATE,
    StateChange,
    StateMark,
    decode_change,
    encode_change,
)
from shallotmux.fleetnews._publication import MAX_POSITIONS, Publication

__all__ = (
    'MAX_LIST_AGE_S',
    'MAX_POSITIONS',
    'NO_STATE',
    'Applied',
    'Confirmations',
    'ControlInstance',
    'Follower',
    'Publication',
    'StateChange',
    'StateMark',
    'choose_main',
    'decode_change',
    'encode_change',
)
