"""The peers of an entry instance, and what is known of them as relays."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from random import Random

import trio

from shallotmux.addresses import split_address
from shallotmux.relaying._choice import PeerView, choose_peer

NEVER = float('-inf')

#: Time for which a peer that did not accept a connection is not asked again.
AVOID_S = 1.0

#: Time for which a peer that declined a request for a service is not asked again for that service.
DECLINED_S = 0.5

#: Peers that declined requests for a service without any that served one, within
#: :data:`DECLINED_S`, after which further requests are refused without asking. The endpoints are then
#: out of reach for all, and asking would only burden the peers.
MAX_DECLINED = 4


@dataclass(slots=True)
class Peer:
    """What this instance knows of one peer."""

    name: str
    in_flight: int = 0
    load: int = 0
    avoided_until: float = NEVER
    declined_at: dict[str, float] = field(default_factory=dict)
    served_at: dict[str, float] = field(default_factory=dict)

    def __enter__(self) -> None:
        """Count a request that is relayed there."""
        self.in_flight += 1

    def __exit__(self, *_: object) -> None:
        """Count the request as ended."""
        self.in_flight -= 1

    def has_declined(self, service: str, now: float) -> bool:
        """Return whether it declined a request for a service a moment ago."""
        return self.declined_at.get(service, NEVER) > now - DECLINED_S

    def has_served(self, service: str, now: float) -> bool:
        """Return whether it served a request for a service a moment ago."""
        return self.served_at.get(service, NEVER) > now - DECLINED_S


class RelayPeers:
    """Chooses peers for requests that this instance cannot send to an endpoint itself.

    :param own: peer address of this instance; empty if it does not relay.
    :param port: port at which all instances take relayed requests.
    :param entries: returns the peer addresses of the entry instances.
    :param neighbours: returns those of the own zone.
    :param cut_off: returns those that are known not to reach a service.
    """

    def __init__(
        self,
        own: str = '',
        port: int = 0,
        entries: Callable[[], tuple[str, ...]] = tuple,
        neighbours: Callable[[], Collection[str]] = tuple,
        cut_off: Callable[[str], Collection[str]] | None = None,
    ) -> None:
        self.own = own
        self._port = port
        self._entries = entries
        self._neighbours = neighbours
        self._cut_off = cut_off or (lambda _: ())
        self._peers: dict[str, Peer] = {}
        self._random = Random()  # noqa: S311

    @property
    def own_host(self) -> str | None:
        """Return the host at which peers know this instance; None if it does not relay."""
        return split_address(self.own).host if self.own else None

    @property
    def has_peers(self) -> bool:
        """Return whether there is another instance that could relay a request."""
        return bool(self._port) and any(each != self.own for each in self._entries())

    def accepts(self, host: str) -> bool:
        """Return whether a connection comes from the host of another entry instance."""
        return any(split_address(each).host == host for each in self._entries())

    def address_of(self, peer: Peer) -> str:
        """Return the address at which a peer takes relayed requests."""
        return f'{split_address(peer.name).host}:{self._port}'

    def choose(self, service: str, excluded: Collection[str]) -> Peer | None:
        """Return the peer through which a request is relayed; None if none is known to reach a service.

        :param excluded: names of peers that were asked already.
        """
        if not self._port:
            return None
        now = trio.current_time()
        self._refresh()
        others = [each for each in self._peers.values() if each.name not in excluded]
        declined = sum(each.has_declined(service, now) for each in self._peers.values())
        served = any(each.has_served(service, now) for each in self._peers.values())
        if declined >= MAX_DECLINED and not served:
            return None
        neighbours = frozenset(self._neighbours())
        cut_off = frozenset(self._cut_off(service))
        views = [
            PeerView(
                each.name,
                each.name in neighbours,
                each.name in cut_off and not each.has_served(service, now),
                each.avoided_until > now or each.has_declined(service, now),
                each.in_flight + each.load,
            )
            for each in others
        ]
        chosen = choose_peer(views, self._random.random)
        return None if chosen is None else self._peers[chosen.name]

    def record_unreachable(self, peer: Peer) -> None:
        """Avoid a peer that did not accept a connection, or did not answer."""
        peer.avoided_until = trio.current_time() + AVOID_S

    def record_declined(self, peer: Peer, service: str) -> None:
        """Record that a peer did not take a request for a service."""
        peer.declined_at[service] = trio.current_time()

    def record_served(self, peer: Peer, service: str, load: int) -> None:
        """Record that a peer took a request for a service.

        :param load: relayed requests in progress there, as the peer reports.
        """
        peer.served_at[service] = trio.current_time()
        # The requests of this instance are counted by itself.
        peer.load = max(0, load - peer.in_flight)

    def _refresh(self) -> None:
        """Follow the list of entry instances."""
        names = set(self._entries()) - {self.own}
        for name in names - self._peers.keys():
            self._peers[name] = Peer(name)
        for name in self._peers.keys() - names:
            self._peers.pop(name)
