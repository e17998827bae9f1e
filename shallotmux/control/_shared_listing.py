"""Share the platform's list of endpoints among the control instances, as each call to it is billed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from random import Random

import msgspec
import trio
from eliot import log_message

from shallotmux.control._knowledge import KnowledgeService
from shallotmux.control._poller import ListingPoller
from shallotmux.decoding import guard_decoder
from shallotmux.errors import ShallotmuxError
from shallotmux.fleet import Listing, ListingCopy
from shallotmux.fleetnews import NO_STATE, StateMark, decode_change
from shallotmux.transport import ForwardAnswer, PeerNetwork, Refusal

#: Group name under which control instances ask the leader for its list.
LISTING_GROUP = 'listing'

#: Interval at which the leader is asked. It adds to the age of the list at the entry instances.
ASK_INTERVAL_S = 0.2
ASK_TIMEOUT_S = 0.5

#: Age of the leader's list, beyond the interval at which the leader reads it, from which an instance reads
#: the platform's list itself. Reading takes up to some hundred ms, and the leader is asked at intervals.
SHARED_MARGIN_S = 0.8

#: The same while there is no answer of a leader. An entry instance has to have a list of the next
#: reader before its own is 2.5 s old, from when on it does not know the software versions in service.
SILENT_MARGIN_S = 0.4

#: Time within which instances begin to read the list themselves, each at a random moment.
START_SPREAD_S = 0.3

#: Longest interval between two checks of whether to read the list.
CHECK_INTERVAL_S = 0.1


class ListingRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for the leader's list.

    :param known: state of the list that the sender has from the leader.
    """

    known: StateMark = NO_STATE


class ListingAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The leader's list.

    :param age_s: time since it was read from the platform; infinite if it never was.
    :param endpoints: encoded change from the state in the request; empty if there is no list.
    """

    age_s: float
    endpoints: bytes = b''


_decode_request = guard_decoder(msgspec.msgpack.Decoder(ListingRequest).decode)
_decode_answer = guard_decoder(msgspec.msgpack.Decoder(ListingAnswer).decode)


def answer_listing_request(
    knowledge: KnowledgeService, payload: bytes, *, leads: bool
) -> ForwardAnswer:
    """Return the list of this instance if it leads; others would pass on what they were told."""
    if not leads:
        return ForwardAnswer(refusal=Refusal.NOT_COMMITTED, detail='not the leader')
    try:
        request = _decode_request(payload)
    except msgspec.DecodeError as error:
        return ForwardAnswer(refusal=Refusal.INVALID, detail=str(error))
    age_s = knowledge.listing_age_s(trio.current_time())
    change = knowledge.endpoints_after(request.known)
    return ForwardAnswer(msgspec.msgpack.encode(ListingAnswer(age_s, change)))


@dataclass(slots=True)
class PollTurn:
    """Decides when an instance reads the platform's list itself.

    :param interval_s: interval between two calls.
    :param draw: returns random numbers in [0, 1).
    """

    interval_s: float
    draw: Callable[[], float]
    #: Time at which the leader's list was read.
    shared_at: float = -inf
    #: Time at which the last call ended.
    polled_at: float = -inf
    #: Whether the last request to the leader had an answer.
    has_answer: bool = True
    #: Time from which this instance reads the list; None while the leader's list is recent. An instance
    #: that has started reads it at once.
    _polls_from: float | None = field(default=-inf)

    @property
    def max_age_s(self) -> float:
        """Return the age up to which the leader's list is used."""
        return self.interval_s + (SHARED_MARGIN_S if self.has_answer else SILENT_MARGIN_S)

    @property
    def is_own(self) -> bool:
        """Return whether this instance reads the list, or is about to."""
        return self._polls_from is not None

    def next_in(self, now: float, *, leads: bool) -> float:
        """Return the time to the next call, or to the next check if none is planned; 0 if it is due."""
        if leads:
            # After its term it goes on until the next leader has a list.
            self._polls_from = -inf
        elif now - self.shared_at <= self.max_age_s:
            self._polls_from = None
        elif self._polls_from is None:
            self._polls_from = now + START_SPREAD_S * self.draw()
        if self._polls_from is None:
            return CHECK_INTERVAL_S
        return max(0.0, self._polls_from - now, self.polled_at + self.interval_s - now)


class SharedListing:
    """Reads the list of endpoints while this instance leads; otherwise takes the leader's.

    :param name: name of this instance.
    :param leader: returns the name of the leader; empty if it is not known.
    :param leads: returns whether this instance leads.
    """

    def __init__(
        self,
        name: str,
        network: PeerNetwork,
        poller: ListingPoller,
        update_listing: Callable[[Listing, float], None],
        leader: Callable[[], str],
        leads: Callable[[], bool],
        interval_s: float,
        random: Random,
    ) -> None:
        self._name = name
        self._network = network
        self._poller = poller
        self._update_listing = update_listing
        self._leader = leader
        self._leads = leads
        self._turn = PollTurn(interval_s, random.random)
        self._copy = ListingCopy()
        self._was_own: bool | None = None
        self._failure = ''

    async def run(self) -> None:
        """Keep the list up to date until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow)
            await self._poll()

    async def _poll(self) -> None:
        turn = self._turn
        while True:
            now = trio.current_time()
            pause_s = turn.next_in(now, leads=self._leads())
            self._log_source(now, is_own=turn.is_own)
            if pause_s:
                await trio.sleep(min(pause_s, CHECK_INTERVAL_S))
                continue
            await self._poller.poll()
            turn.polled_at = trio.current_time()

    async def _follow(self) -> None:
        while True:
            leader = self._leader()
            if leader != self._name:
                self._failure = await self._ask(leader) if leader else 'no leader is known'
                self._turn.has_answer = not self._failure
            await trio.sleep(ASK_INTERVAL_S)

    async def _ask(self, leader: str) -> str:
        """Take the leader's list, and return why there was no answer; empty if there was one."""
        request = msgspec.msgpack.encode(ListingRequest(self._copy.mark))
        sent_at = trio.current_time()
        try:
            answer = await self._network.forward(leader, LISTING_GROUP, request, ASK_TIMEOUT_S)
            if answer.refusal is Refusal.NONE:
                self._apply(_decode_answer(answer.result), sent_at)
                return ''
        except (ShallotmuxError, msgspec.DecodeError) as error:
            return str(error)
        return answer.detail or answer.refusal.name

    def _apply(self, answer: ListingAnswer, sent_at: float) -> None:
        if not answer.endpoints or not 0 <= answer.age_s < inf:
            return
        change = decode_change(answer.endpoints)
        self._copy.apply(change)
        if not self._copy.has(change.mark):
            return
        # The answer may have been delayed, also by a suspension of this machine.
        listed_at = sent_at - answer.age_s
        self._turn.shared_at = max(self._turn.shared_at, listed_at)
        self._update_listing(self._copy.listing, listed_at)

    def _log_source(self, now: float, *, is_own: bool) -> None:
        if is_own is self._was_own:
            return
        self._was_own = is_own
        log_message(
            message_type='shallotmux:listing-source',
            source='platform' if is_own else 'leader',
            leader=self._leader(),
            age_s=round(min(now - self._turn.shared_at, 1e6), 3),
            reason=self._failure,
        )
