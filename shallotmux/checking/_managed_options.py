"""Options of a group whose membership the control plane's decisions change."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ManagedOptions:
    """Options of a group whose membership the control plane's decisions change.

    :param instances: number of instances at the start.
    :param initial_voters: number of voters at the start; the other instances ask to join.
    :param tolerated: number of disks that may be lost at once.
    :param may_overlap: whether more instances than tolerated may stop for a while, with their disks.
    :param replacement_s: time after which a lost disk stops counting; it starts when the instance is
        back with an empty disk, or when a new one takes its place. The control plane is told of it.
    :param elect_s: time without disturbances after which there must be a leader, while no more
        instances are lost than tolerated.
    :param settle_s: time without disturbances after which the voters must be complete and live.
    """

    instances: int = 5
    initial_voters: int = 3
    tolerated: int = 1
    may_overlap: bool = False
    replacement_s: float = 6.0
    elect_s: float = 0
    settle_s: float = 0
