"""Choose the peer through which a request is relayed."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerView:
    """What is known of a peer when a request is relayed.

    :param is_neighbour: whether it is in the availability zone of this instance.
    :param is_cut_off: whether it is known not to reach the service.
    :param is_avoided: whether it could not be reached, or declined a request, a moment ago.
    :param load: relayed requests that it works on: those of this instance, and what it reported last.
    """

    name: str
    is_neighbour: bool = False
    is_cut_off: bool = False
    is_avoided: bool = False
    load: int = 0


def choose_peer(peers: Sequence[PeerView], draw: Callable[[], float]) -> PeerView | None:
    """Return the less loaded of two random peers that may reach the service; None if there is none.

    Peers of the own zone come first. Two choices at random keep instances that are cut off together
    from sending all to the same peer.
    """
    usable = [each for each in peers if not (each.is_cut_off or each.is_avoided)]
    preferred = [each for each in usable if each.is_neighbour] or usable
    if not preferred:
        return None
    count = len(preferred)
    first = preferred[int(draw() * count)]
    second = preferred[int(draw() * count)]
    return min(first, second, key=lambda each: each.load)
