"""Settings of the instances of a fleet and of their replication groups."""

from __future__ import annotations

import ipaddress
from collections.abc import Sequence

from pydantic import BaseModel, ConfigDict, Field, model_validator

#: Share by which a leader's lease must be shorter than the shortest election timeout.
CLOCK_RATE_MARGIN = 0.02


class _FleetModel(BaseModel):
    """Rejects unknown keys, since a misspelt key would silently have no effect."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class PeerSettings(_FleetModel):
    """An instance of the fleet, this one included.

    :param address: IP address and port on which the instance listens for its peers.
    :param has_disk: whether its data folder survives a restart.
    """

    name: str = Field(min_length=1, max_length=64, pattern=r'^[a-z0-9][a-z0-9-]*$')
    zone: str = Field(min_length=1, max_length=64)
    address: str
    has_disk: bool = False


class PeerTlsSettings(_FleetModel):
    """Certificates between instances.

    :param authority: file with the certificate of the fleet's authority.
    :param certificate: file with this instance's chain, whose DNS name is the instance's name.
    """

    authority: str
    certificate: str
    private_key: str


class GroupSettings(_FleetModel):
    """Replication groups; the times are in seconds.

    :param standalone: whether this instance is a fleet of its own, without replication.
    :param witnesses: for a zone of two instances, an instance of another zone that votes there.
    :param freshness_limit_s: time without contact to the leader after which keyed requests are
        refused.
    :param submit_limit_s: time in which a change must commit before its author gets an error.
    :param replace_after_s: time for which a voter is unreachable before it is replaced.
    """

    standalone: bool = False
    witnesses: dict[str, str] = Field(default_factory=dict)
    freshness_limit_s: float = Field(default=3.0, gt=0)
    submit_limit_s: float = Field(default=6.0, gt=0)
    heartbeat_s: float = Field(default=0.5, gt=0)
    election_min_s: float = Field(default=1.2, gt=0)
    election_max_s: float = Field(default=1.8, gt=0)
    lease_s: float = Field(default=1.1, gt=0)
    poll_s: float = Field(default=1.0, gt=0)
    replace_after_s: float = Field(default=30.0, gt=0)

    @model_validator(mode='after')
    def check_times(self) -> GroupSettings:
        """Reject times under which two leaders could act or no leader could stay."""
        if self.lease_s > self.election_min_s * (1 - CLOCK_RATE_MARGIN):
            raise ValueError('lease_s must be at least 2% shorter than election_min_s')
        if 2 * self.heartbeat_s >= self.lease_s:
            raise ValueError('heartbeat_s must be less than half of lease_s')
        if self.election_max_s <= self.election_min_s:
            raise ValueError('election_max_s must exceed election_min_s')
        if 2 * self.heartbeat_s + 1.5 * self.poll_s >= self.freshness_limit_s:
            raise ValueError(
                'freshness_limit_s must exceed two heartbeats and one and a half polls'
            )
        return self


def check_fleet(
    name: str,
    zone: str,
    peers: Sequence[PeerSettings],
    groups: GroupSettings,
    tls: PeerTlsSettings | None,
) -> None:
    """Check that the instances of a fleet and the settings of this one agree.

    :raises ValueError: naming what does not.
    """
    names = [each.name for each in peers]
    if groups.standalone and peers:
        raise ValueError('peers: a standalone instance has none')
    if len(set(names)) != len(names):
        raise ValueError('peers: a name occurs twice')
    if peers and (name, zone) not in {(each.name, each.zone) for each in peers}:
        raise ValueError(f'peers: instance {name!r} of zone {zone!r} is missing')
    local = [_is_loopback(each.address) for each in peers]
    if tls is None and not all(local):
        raise ValueError('peer_tls: required unless all peers are on loopback addresses')
    zones = {each.name: each.zone for each in peers}
    for guarded, witness in groups.witnesses.items():
        if zones.get(witness, guarded) == guarded:
            raise ValueError(f'groups.witnesses.{guarded}: {witness!r} must be of another zone')


def _is_loopback(address: str) -> bool:
    return ipaddress.ip_address(address.rpartition(':')[0].strip('[]')).is_loopback
