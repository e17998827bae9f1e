"""Network between the instances of a fleet, over gRPC or in memory."""

from __future__ import annotations

from shallotmux.transport._bounded_server import PeerBounds
from shallotmux.transport._grpc import GrpcPeerNetwork, PeerAddresses, SelfNamedAddresses
from shallotmux.transport._memory import MemoryPeerFabric, MemoryPeerNetwork
from shallotmux.transport._messages import (
    Channel,
    ForwardAnswer,
    PeerEnvelope,
    PeerHandler,
    PeerNetwork,
    Refusal,
    instance_name,
    new_identity,
)
from shallotmux.transport._tls import PeerTls
from shallotmux.transport._traffic import Direction, PeerTraffic, TrafficKind

__all__ = (
    'Channel',
    'Direction',
    'ForwardAnswer',
    'GrpcPeerNetwork',
    'MemoryPeerFabric',
    'MemoryPeerNetwork',
    'PeerAddresses',
    'PeerBounds',
    'PeerEnvelope',
    'PeerHandler',
    'PeerNetwork',
    'PeerTls',
    'PeerTraffic',
    'Refusal',
    'SelfNamedAddresses',
    'TrafficKind',
    'instance_name',
    'new_identity',
)
