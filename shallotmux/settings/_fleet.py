"""Settings of the peers and of the replication groups."""

from __future__ import annotations

import ipaddress
from collections.abc import Sequence

from pydantic import BaseModel, ConfigDict, Field, model_validator

#: Fraction by which a leader's lease must be shorter than the shortest election timeout, to allow
#: for clocks that run at different rates.
CLOCK_RATE_MARGIN = 0.02


class _StrictModel(BaseModel):
    """Rejects unknown keys, since a misspelt key would be ignored silently."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class PeerSettings(_StrictModel):
    """An instance of the fleet, including this one.

    :param address: IP address and port on which the instance listens for its peers.
    :param has_disk: whether its data folder survives a restart.
    """

    name: str = Field(min_length=1, max_length=64, pattern=r'^[a-z0-9][a-z0-9-]*$')
    zone: str = Field(min_length=1, max_length=64)
    address: str
    has_disk: bool = False


class PeerTlsSettings(_StrictModel):
    """Certificates for connections between instances.

    :param authority: file with the certificate of the fleet's certificate authority.
    :param certificate: file with this instance's certificate chain; its DNS name is the name of the
        instance.
    """

    authority: str
    certificate: str
    private_key: str


class GroupSettings(_StrictModel):
    """Replication groups; durations are in seconds.

    :param standalone: whether this instance runs alone, without replication.
    :param witnesses: for each zone of two instances, an instance of another zone that votes there.
    :param freshness_limit_s: time without contact to the leader after which keyed requests are
        refused.
    :param submit_limit_s: time in which a change must commit before its sender gets an error.
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
        """Reject timeouts with which two leaders could act at once or a leader could not stay."""
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
    """Check that the peers, the groups and the settings of this instance are consistent.

    :raises ValueError: naming the setting that is not.
    """
    names = [each.name for each in peers]
    if groups.standalone and peers:
        raise ValueError('peers: a standalone instance has none')
    if len(set(names)) != len(names):
        raise ValueError('peers: a name occurs twice')
    if peers and (name, zone) not in {(each.name, each.zone) for each in peers}:
        raise ValueError(f'peers: instance {name!r} of zone {zone!r} is missing')
    are_loopback = [_is_loopback(each.address) for each in peers]
    if tls is None and not all(are_loopback):
        raise ValueError('peer_tls: required unless all peers are on loopback addresses')
    zones = {each.name: each.zone for each in peers}
    for witnessed_zone, witness in groups.witnesses.items():
        if zones.get(witness, witnessed_zone) == witnessed_zone:
            raise ValueError(
                f'groups.witnesses.{witnessed_zone}: {witness!r} must be of another zone'
            )


def _is_loopback(address: str) -> bool:
    return ipaddress.ip_address(address.rpartition(':')[0].strip('[]')).is_loopback
