"""Control instances that share the platform's list of endpoints, on virtual time."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from random import Random

import trio

from shallotmux.authority import GroupState
from shallotmux.control import (
    LISTING_GROUP,
    KnowledgeService,
    ListingPoller,
    SharedListing,
    answer_listing_request,
)
from shallotmux.errors import ShallotmuxError
from shallotmux.fleet import ListedEndpoint, Listing, TrueClock
from shallotmux.transport import ForwardAnswer, Refusal

NAMES = tuple(f'10.0.0.{number}:7' for number in range(1, 8))
INTERVAL_S = 0.8


def listing(*names: str) -> Listing:
    """Return a list of endpoints."""
    return Listing(tuple(ListedEndpoint(name, 'desk', '10.1.0.1:1', 'a') for name in names))


def _peers() -> tuple[str, ...]:
    return NAMES


@dataclass(slots=True)
class Platform:
    """Lists endpoints, and records the calls.

    :param cut_off: names of the instances that do not reach it.
    """

    listed: Listing = field(default_factory=lambda: listing('e-1', 'e-2', 'e-3'))
    calls: list[tuple[float, str]] = field(default_factory=list)
    cut_off: set[str] = field(default_factory=set)

    def calls_after(self, at: float) -> list[str]:
        """Return the names of the callers after a time."""
        return [name for called_at, name in self.calls if called_at > at]


@dataclass(frozen=True, slots=True)
class PlatformLink:
    """The platform as one instance reaches it."""

    platform: Platform
    name: str

    async def list_endpoints(self) -> Listing:
        """Return the list."""
        self.platform.calls.append((trio.current_time(), self.name))
        listed = self.platform.listed
        await trio.sleep(0.01)
        if self.name in self.platform.cut_off:
            raise ShallotmuxError('no answer', step='list')
        return listed


@dataclass(slots=True)
class ListingFleet:
    """Control instances, their leader, and faults.

    :param leader: name of the leader that all instances know.
    :param lost: instances that neither answer nor reach others.
    :param earlier: instances of the earlier build.
    :param answer_delay_s: delay of answers.
    """

    platform: Platform = field(default_factory=Platform)
    leader: str = NAMES[0]
    lost: set[str] = field(default_factory=set)
    earlier: set[str] = field(default_factory=set)
    answer_delay_s: float = 0.001
    services: dict[str, KnowledgeService] = field(default_factory=dict)
    requests: list[str] = field(default_factory=list)

    def start(self, nursery: trio.Nursery) -> None:
        """Start all instances."""
        for number, name in enumerate(NAMES):
            knowledge = KnowledgeService(GroupState(), TrueClock(), _peers)
            self.services[name] = knowledge
            poller = ListingPoller(
                PlatformLink(self.platform, name),  # type: ignore[arg-type]
                knowledge.update_listing,
                INTERVAL_S,
            )
            if name in self.earlier:
                nursery.start_soon(poller.run)
                continue
            shared = SharedListing(
                name,
                FleetLink(self, name),  # type: ignore[arg-type]
                poller,
                knowledge.update_listing,
                self.known_leader,
                partial(self.leads, name),
                INTERVAL_S,
                Random(number),
            )
            nursery.start_soon(shared.run)

    def known_leader(self) -> str:
        """Return the name of the leader."""
        return self.leader

    def leads(self, name: str) -> bool:
        """Return whether an instance leads."""
        return name == self.leader and name not in self.lost

    def oldest_age_s(self) -> float:
        """Return the age of the oldest list of the instances that are not lost."""
        now = trio.current_time()
        return max(
            knowledge.listing_age_s(now)
            for name, knowledge in self.services.items()
            if name not in self.lost
        )

    async def watch(self, duration_s: float) -> float:
        """Return the highest age of a list in the next seconds."""
        highest_s = 0.0
        until = trio.current_time() + duration_s
        while trio.current_time() < until:
            await trio.sleep(0.02)
            highest_s = max(highest_s, self.oldest_age_s())
        return highest_s


@dataclass(frozen=True, slots=True)
class FleetLink:
    """Calls of one instance to the others."""

    fleet: ListingFleet
    name: str

    async def forward(
        self, peer: str, group: str, command: bytes, timeout_s: float
    ) -> ForwardAnswer:
        """Answer a request for the list, or wait until the timeout."""
        fleet = self.fleet
        fleet.requests.append(self.name)
        if fleet.lost & {peer, self.name} or fleet.answer_delay_s >= timeout_s:
            await trio.sleep(timeout_s)
            raise ShallotmuxError('no answer', step='forward', peer=peer)
        assert group == LISTING_GROUP
        if peer in fleet.earlier:
            return ForwardAnswer(refusal=Refusal.NOT_COMMITTED, detail='no group')
        answer = answer_listing_request(fleet.services[peer], command, leads=fleet.leads(peer))
        await trio.sleep(fleet.answer_delay_s)
        return answer
