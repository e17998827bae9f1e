"""Relay requests through another entry instance while this one reaches no endpoint."""

from __future__ import annotations

from shallotmux.relaying._choice import PeerView, choose_peer
from shallotmux.relaying._messages import (
    RELAY_HEADER,
    RelayedAnswer,
    RelayedRequest,
    RelayResult,
    decode_relayed_answer,
    decode_relayed_request,
    encode_relay_header,
)
from shallotmux.relaying._peers import Peer, RelayPeers

__all__ = (
    'RELAY_HEADER',
    'Peer',
    'PeerView',
    'RelayPeers',
    'RelayResult',
    'RelayedAnswer',
    'RelayedRequest',
    'choose_peer',
    'decode_relayed_answer',
    'decode_relayed_request',
    'encode_relay_header',
)
