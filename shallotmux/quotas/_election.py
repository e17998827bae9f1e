"""Choose one granter for each slot among the entry instances."""

from __future__ import annotations

from collections import OrderedDict, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

from shallotmux.quotas._messages import QuotaBeat, QuotaResign, QuotaSupport
from shallotmux.quotas._plan import MAX_HOLD_S
from shallotmux.quotas._promises import Promises, Supporters
from shallotmux.quotas._seen import SeenInstances
from shallotmux.ratelimits import rank_granters
from shallotmux.transport import instance_name

#: Number of slots among which customers are divided. The number of beats grows with it.
SLOTS = 6

#: Interval between two beats of a candidate.
BEAT_S = 0.4

#: Time without a beat after which a granter is taken for lost, and after which the next in the ranking stands.
SILENCE_S = 1.2
STAGGER_S = 0.5

#: Instances of the ranking that stand, one after the other.
MAX_CANDIDATES = 4

#: Rounds in which an instance that stops says so, as messages may be lost.
RESIGN_ROUNDS = 3

#: Time after the end of the grants of one that resigned at which others stand, so that their beats do not
#: arrive before the promises to it have ended everywhere.
RESIGN_MARGIN_S = 0.02

#: Time for which lists still name an instance that resigned.
RESIGNED_TTL_S = 10.0

#: Most candidates for a slot whose beats are remembered.
MAX_HEARD = 64


@dataclass(frozen=True, slots=True)
class _Heard:
    at: float
    is_granter: bool


def hash_customer(customer: str) -> int:
    """Return a number for a customer that is the same on all instances."""
    return int.from_bytes(blake2b(customer.encode(), digest_size=8).digest())


def choose_slot(customer: str) -> int:
    """Return the slot of a customer."""
    return hash_customer(customer) % SLOTS


class Election:
    """One instance's part in choosing the granters.

    :param name: address of this instance.
    :param identity: name and incarnation of this instance.
    """

    def __init__(self, name: str, identity: str, now: float) -> None:
        self._name = name
        self._identity = identity
        self.seen = SeenInstances(name)
        self._promises = Promises(now)
        self._supporters = Supporters()
        self._entries: frozenset[str] = frozenset()
        #: Slots of the customers with a quota, and since when there has been one.
        self._active_since: dict[int, float] = {}
        self._rankings: dict[int, tuple[str, ...]] = {}
        #: Beats of others by slot and candidate.
        self._heard: defaultdict[int, dict[str, _Heard]] = defaultdict(dict)
        self._heard_at: dict[int, float] = {}
        self._grants_until: dict[int, float] = {}
        #: Time at which this instance last became the granter, by slot.
        self._granter_since: dict[int, float] = {}
        self._next_beat = now
        #: Instances that have resigned, with when others can replace them.
        self._resigned: OrderedDict[str, float] = OrderedDict()
        self._has_resigned = False
        self._resign_rounds = 0

    def update(self, entries: Iterable[str], slots: Iterable[int], now: float) -> None:
        """Apply the present list of live entry instances, and the slots in use."""
        listed = frozenset(entries)
        if listed != self._entries:
            self._entries = listed
            self._rankings.clear()
        self._active_since = {slot: self._active_since.get(slot, now) for slot in slots}
        self.seen.update(listed, now)

    def knows(self, identity: str) -> bool:
        """Return whether an instance was listed of late. Datagrams may come from anywhere."""
        return instance_name(identity) in self.seen.voter_names

    def may_grant(self, slot: int, now: float) -> bool:
        """Return whether a majority supports this instance."""
        return not self._has_resigned and now < self._grants_until.get(slot, float('-inf'))

    def granter_since(self, slot: int) -> float:
        """Return the time at which this instance last became the granter."""
        return self._granter_since[slot]

    def granted_slots(self, now: float) -> tuple[int, ...]:
        """Return the slots of which this instance is the granter."""
        return tuple(slot for slot in sorted(self._active_since) if self.may_grant(slot, now))

    def granter_of(self, slot: int, now: float) -> str | None:
        """Return the identity of the granter, or None if none is known."""
        if self.may_grant(slot, now):
            return self._identity
        granters = [
            (each.at, identity)
            for identity, each in self._heard_lately(slot, now).items()
            if each.is_granter
        ]
        return max(granters)[1] if granters else None

    def forget_granter(self, slot: int, identity: str) -> None:
        """Take note that an instance does not grant any more."""
        self._heard[slot].pop(identity, None)

    def resign(self, now: float) -> None:
        """Grant nothing any more, as the process is about to stop."""
        if not self._has_resigned:
            self._has_resigned = True
            self._resign_rounds = RESIGN_ROUNDS
            self.receive_resign(QuotaResign(self._identity), now)

    def receive_resign(self, message: QuotaResign, now: float) -> None:
        """Take note that an instance has stopped granting; the next one need not wait for its silence."""
        sender = message.sender
        if not self.knows(sender) or sender in self._resigned:
            return
        self._resigned[sender] = now + MAX_HOLD_S + RESIGN_MARGIN_S
        if len(self._resigned) > MAX_HEARD:
            self._resigned.popitem(last=False)
        self._promises.release(sender, now)
        for slot, heard in self._heard.items():
            known = heard.pop(sender, None)
            if known is not None and known.is_granter:
                self._heard_at.pop(slot, None)

    def run_round(self, now: float) -> list[tuple[str, QuotaBeat | QuotaResign]]:
        """Return the messages to send now."""
        if self._resign_rounds:
            self._resign_rounds -= 1
            resign = QuotaResign(self._identity)
            return [(each, resign) for each in self.seen.voter_names if each != self._name]
        if now < self._next_beat and not self._is_replacement_due(now):
            return []
        standing = [slot for slot in self._active_since if self._stands(slot, now)]
        if not standing:
            return []
        self._next_beat = now + BEAT_S
        number = self._supporters.begin_beat(now)
        # Support of this instance itself, which may make it a granter where it is the only one.
        for slot in standing:
            if self._supports(slot, self._identity, now):
                self._supporters.record(slot, self._name, number)
                self._count(slot, now)
        granted = self.granted_slots(now)
        beat = QuotaBeat(self._identity, number, {each: each in granted for each in standing})
        # A list may lack instances for a moment, such as that of a control instance that has just started.
        return [(each, beat) for each in self.seen.voter_names if each != self._name]

    def receive_beat(self, beat: QuotaBeat, now: float) -> QuotaSupport | None:
        """Return the answer to a candidate, or None."""
        if not self.knows(beat.sender) or beat.sender in self._resigned:
            return None
        supported: list[int] = []
        for slot, is_granter in beat.slots.items():
            if slot not in self._active_since:
                continue
            self._record_beat(slot, beat.sender, _Heard(now, is_granter))
            if self._supports(slot, beat.sender, now):
                supported.append(slot)
        if not supported:
            return None
        return QuotaSupport(
            self._name, beat.sender, beat.number, tuple(supported), self.seen.voters
        )

    def receive_support(self, support: QuotaSupport, now: float) -> None:
        """Process the answer to a beat."""
        if support.granter != self._identity or not self.knows(support.sender):
            return
        self.seen.record_told(support.seen, now)
        for slot in support.slots:
            if slot not in self._active_since:
                continue
            self._supporters.record(slot, support.sender, support.number)
            self._count(slot, now)

    def _count(self, slot: int, now: float) -> None:
        was_granter = self.may_grant(slot, now)
        majority = self.seen.majority(now)
        self._grants_until[slot] = self._supporters.grants_until(slot, majority, now)
        if not was_granter and self.may_grant(slot, now):
            self._granter_since[slot] = now
            # The others ask as soon as they know.
            self._next_beat = now

    def _is_replacement_due(self, now: float) -> bool:
        """Return whether this instance can replace one that resigned since its last beat."""
        return any(self._next_beat - BEAT_S < free_at <= now for free_at in self._resigned.values())

    def _stands(self, slot: int, now: float) -> bool:
        if self._has_resigned:
            return False
        self._count(slot, now)
        if self.may_grant(slot, now):
            return True
        ranking = self._rank(slot)
        if self._name not in ranking:
            return False
        resigned = {
            instance_name(each)
            for each, free_at in self._resigned.items()
            if now < free_at + RESIGNED_TTL_S
        }
        ranking = tuple(each for each in ranking if each not in resigned or each == self._name)
        rank = ranking.index(self._name)
        heard = self._heard_lately(slot, now)
        better = ranking[:rank]
        if any(each.is_granter or instance_name(key) in better for key, each in heard.items()):
            return False
        silence_limit_s = STAGGER_S * rank
        if slot in self._heard_at:
            silence_limit_s += SILENCE_S
        silent_since = max(self._active_since[slot], self._heard_at.get(slot, 0.0))
        # The first in the ranking stands beside others that are no granters.
        return now - silent_since >= silence_limit_s or (rank == 0 and bool(heard))

    def _supports(self, slot: int, candidate: str, now: float) -> bool:
        """Give a promise to a granter, or if there is none to the best candidate."""
        if not self._is_preferred(slot, candidate, now):
            return False
        return self._promises.give(slot, candidate, now)

    def _is_preferred(self, slot: int, candidate: str, now: float) -> bool:
        heard = self._heard_lately(slot, now)
        is_granter = (
            self.may_grant(slot, now)
            if candidate == self._identity
            else candidate in heard and heard[candidate].is_granter
        )
        if is_granter:
            return True
        if any(each.is_granter for each in heard.values()):
            return False
        order = self._rank(slot)
        ranks = {name: number for number, name in enumerate(order)}
        names = (instance_name(each) for each in heard)
        best = min((ranks.get(each, len(order)) for each in names), default=len(order))
        return ranks.get(instance_name(candidate), len(order)) <= best

    def _rank(self, slot: int) -> tuple[str, ...]:
        if slot not in self._rankings:
            self._rankings[slot] = rank_granters(slot, self._entries)[:MAX_CANDIDATES]
        return self._rankings[slot]

    def _record_beat(self, slot: int, sender: str, heard: _Heard) -> None:
        known = self._heard[slot]
        known[sender] = heard
        if len(known) > MAX_HEARD:
            known.pop(min(known, key=lambda each: known[each].at))
        self._heard_at[slot] = heard.at

    def _heard_lately(self, slot: int, now: float) -> dict[str, _Heard]:
        oldest = now - SILENCE_S
        self._heard[slot] = {
            key: each for key, each in self._heard[slot].items() if each.at > oldest
        }
        return self._heard[slot]
