"""One instance's part in keeping the quotas, without clock and network."""

from __future__ import annotations

from collections import OrderedDict, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import floor
from random import Random

from shallotmux.quotas._bucket import MAX_LINE_S
from shallotmux.quotas._election import Election, choose_slot, hash_customer
from shallotmux.quotas._granter import Granter
from shallotmux.quotas._isolated import IsolatedShares, IsolatedUse, divide_isolated
from shallotmux.quotas._messages import (
    QuotaAsk,
    QuotaBeat,
    QuotaGrant,
    QuotaMessage,
    QuotaResign,
    QuotaReturn,
    QuotaSupport,
    ReturnedPart,
    shorten,
)
from shallotmux.quotas._plan import MAX_HOLD_S, QuotaPlan
from shallotmux.quotas._seen import VOTER_TTL_S
from shallotmux.quotas._stock import CustomerStock, GrantedPart
from shallotmux.ratelimits import rank_granters
from shallotmux.transport import instance_name

#: Longest time for which an instance refuses by itself after the granter has refused it.
MAX_REFUSING_S = 1.0

#: Least time over which the return of refused callers is spread.
MIN_SPREAD_S = 0.3

#: Times after which a caller may return who was refused while there is no granter. A new one begins by then.
ISOLATED_RETURN_S = (0.5, 2.5)

#: Time after which an ask without an answer is forgotten. What is granted later has expired.
PENDING_TTL_S = 2 * MAX_HOLD_S

#: Shortest time between two asks for an advance for one customer.
ADVANCE_PAUSE_S = 0.05

#: Parts of grants in one message, so that it fits one datagram.
MAX_PARTS = 12


@dataclass(frozen=True, slots=True)
class Charge:
    """What was charged for a request.

    :param send_by: local time until which it may be sent to an endpoint for the first time.
    :param parts: parts of grants; none if it was charged to the isolated share.
    :param charged_at: time of a charge to the isolated share.
    :param is_prepaid: whether it was charged elsewhere, or used already, and must not be given back.
    """

    customer: str
    amount: float
    send_by: float
    parts: tuple[GrantedPart, ...] = ()
    charged_at: float = 0.0
    is_prepaid: bool = False


@dataclass(frozen=True, slots=True)
class OverQuota:
    """A request that is refused.

    :param retry_after_s: time after which it may be sent again.
    :param is_isolated: whether the isolated share did not suffice.
    """

    retry_after_s: float
    is_isolated: bool = False


@dataclass(frozen=True, slots=True)
class Asked:
    """A request that waits for the answer of the granter.

    :param number: number of the ask.
    """

    number: int


@dataclass(slots=True)
class _Pending:
    """An ask without an answer.

    :param is_waiting: whether a request waits for the answer.
    """

    ask: QuotaAsk
    granter: str
    asked_at: float
    is_waiting: bool
    verdict: Charge | OverQuota | None = None
    has_no_granter: bool = False

    @property
    def is_settled(self) -> bool:
        """Return whether a waiting request need not wait any longer."""
        return self.verdict is not None or self.has_no_granter


@dataclass(slots=True)
class _Customer:
    """State of one customer at this instance.

    :param refused_until: time until which the granter has no room.
    :param line_end: time until which it has room for nothing but what was refused.
    :param refused: amount refused here since the last ask.
    :param advance_at: time at which an advance was last asked for.
    """

    stock: CustomerStock
    isolated: IsolatedUse
    refused_until: float = 0.0
    line_end: float = 0.0
    refused: float = 0.0
    advance_at: float = float('-inf')

    def count_advance(self, now: float) -> float:
        """Return how much to ask for ahead; nothing if that was asked for a moment ago."""
        if now < max(self.refused_until, self.advance_at + ADVANCE_PAUSE_S):
            return 0.0
        return self.stock.count_advance(now)


@dataclass(slots=True)
class QuotaNode:
    """Charges requests at one instance, and grants where it is the granter.

    Messages to be sent are put into the outbox.

    :param name: address of this instance.
    :param identity: name and incarnation of this instance.
    :param started_at: time at which the process started.
    """

    name: str
    identity: str
    started_at: float
    random: Random = field(default_factory=Random)
    outbox: list[tuple[str, QuotaMessage]] = field(default_factory=list)
    #: Numbers of asks of waiting requests that were settled since they were taken from here.
    settled: list[int] = field(default_factory=list)
    election: Election = field(init=False)
    granter: Granter = field(init=False)
    _plans: Mapping[str, QuotaPlan] = field(default_factory=dict)
    _customers: dict[str, _Customer] = field(default_factory=dict)
    _pending: OrderedDict[int, _Pending] = field(default_factory=OrderedDict)
    _number: int = 0
    _round_at: float = float('-inf')
    _ranks: dict[str, int] = field(default_factory=dict)
    _ranked: frozenset[str] = frozenset()

    def __post_init__(self) -> None:
        """Create the parts."""
        self.election = Election(self.name, self.identity, self.started_at)
        self.granter = Granter(self.identity, self.election)

    @property
    def has_quotas(self) -> bool:
        """Return whether any customer has a quota."""
        return bool(self._plans)

    def apply_plans(self, plans: Mapping[str, QuotaPlan]) -> None:
        """Apply the quotas of a document."""
        self._plans = plans
        self.granter.apply_plans(plans)
        for customer, state in tuple(self._customers.items()):
            if customer in plans:
                state.stock.plan = plans[customer]
            else:
                self._customers.pop(customer)

    def run_round(self, entries: Iterable[str], now: float) -> None:
        """Send beats, ask for advances and give back what is not used."""
        slots = {choose_slot(each) for each in self._plans}
        self.election.update(entries, slots, now)
        self._send_beats(now)
        self._drop_unanswered(now)
        elapsed_s = now - self._round_at
        self._round_at = now
        unused: defaultdict[str, list[ReturnedPart]] = defaultdict(list)
        for customer, state in self._customers.items():
            for part in state.stock.end_round(elapsed_s, now):
                returned = ReturnedPart(customer, part.number, part.amount)
                unused[part.granter].append(returned)
            if state.count_advance(now):
                self._ask(customer, 0.0, now)
        for granter, parts in unused.items():
            for start in range(0, len(parts), MAX_PARTS):
                self._number += 1
                named = tuple(parts[start : start + MAX_PARTS])
                message = QuotaReturn(self.identity, granter, self._number, named)
                self._send(instance_name(granter), message, now)

    def resign(self, now: float) -> None:
        """Leave granting to others, as this instance is about to stop."""
        self.election.resign(now)
        self._send_beats(now)

    def charge(self, customer: str, amount: float, now: float) -> Charge | OverQuota | Asked | None:
        """Charge a request; returns None if the customer has no quota."""
        plan = self._plans.get(customer)
        if plan is None or not amount > 0:
            return None
        state = self._find_customer(customer, plan)
        parts = state.stock.take(amount, now)
        if parts is not None:
            return self._build_charge(customer, amount, parts)
        if now < state.refused_until:
            state.refused += amount
            return self._refuse(state, now)
        number = self._ask(customer, amount, now)
        if number is None:
            return self._charge_isolated(customer, amount, now)
        return self.settle(number, now) if self._pending[number].is_settled else Asked(number)

    def repeat(self, number: int, now: float) -> None:
        """Send an ask again that may be lost."""
        pending = self._pending.get(number)
        if pending is not None and pending.verdict is None:
            self._send(instance_name(pending.granter), pending.ask, now)

    def settle(self, number: int, now: float) -> Charge | OverQuota | None:
        """Return what became of a request that waited; without an answer the isolated share counts.

        :returns: None if the customer has no quota any more.
        """
        pending = self._pending[number]
        pending.is_waiting = False
        if pending.is_settled:
            self._pending.pop(number)
        if pending.verdict is None and pending.ask.customer in self._customers:
            return self._charge_isolated(pending.ask.customer, pending.ask.amount, now)
        return pending.verdict

    def abandon(self, number: int, now: float) -> None:
        """Take note that the caller of a waiting request has gone."""
        pending = self._pending[number]
        pending.is_waiting = False
        if pending.is_settled:
            self._pending.pop(number)
        if isinstance(pending.verdict, Charge):
            self.give_back(pending.verdict, now)

    def give_back(self, charge: Charge, now: float) -> None:
        """Take back what was charged for a request that did not run and will not."""
        state = self._customers.get(charge.customer)
        if state is None:
            return
        if not charge.parts:
            state.isolated.give_back(charge.amount, charge.charged_at)
        for part in charge.parts:
            state.stock.add(part, now)

    def receive(self, message: QuotaMessage, now: float) -> None:
        """Process a message."""
        match message:
            case QuotaBeat():
                support = self.election.receive_beat(message, now)
                if support is not None:
                    self._send(instance_name(message.sender), support, now)
            case QuotaResign():
                self.election.receive_resign(message, now)
            case QuotaSupport():
                self.election.receive_support(message, now)
                self._send_beats(now)
            case QuotaAsk() if self.election.knows(message.sender):
                answer = self.granter.answer(message, now)
                self._send(instance_name(message.sender), answer, now)
            case QuotaGrant():
                self._receive_grant(message, now)
            case QuotaReturn() if self.election.knows(message.sender):
                self.granter.take_back(message, now)

    def _receive_grant(self, grant: QuotaGrant, now: float) -> None:
        pending = self._pending.get(grant.number)
        if pending is None or pending.is_settled:
            return
        if grant.receiver != self.identity or grant.granter != pending.granter:
            return
        customer = pending.ask.customer
        state = self._customers.get(customer)
        if state is None or not grant.is_granter:
            pending.has_no_granter = True
        elif pending.ask.amount and not grant.amount:
            wait_s = _limit_time(grant.wait_s)
            state.refused_until = now + min(wait_s, MAX_REFUSING_S)
            state.line_end = now + max(wait_s, _limit_time(grant.line_s))
            pending.verdict = self._refuse(state, now)
        else:
            part = GrantedPart(grant.granter, grant.number, pending.asked_at, grant.amount)
            state.stock.add(part, now)
            self._take_granted(pending, state, now)
        if not grant.is_granter:
            self.election.forget_granter(choose_slot(customer), grant.granter)
        if pending.is_waiting:
            self.settled.append(grant.number)
        else:
            self._pending.pop(grant.number)

    def _take_granted(self, pending: _Pending, state: _Customer, now: float) -> None:
        """Charge the request that waited for a grant."""
        ask = pending.ask
        parts = state.stock.take(ask.amount, now) if pending.is_waiting and ask.amount else None
        if parts is None:
            # Nobody waits for it, or it came too late to be charged.
            pending.has_no_granter = True
        else:
            pending.verdict = self._build_charge(ask.customer, ask.amount, parts)

    def _ask(self, customer: str, amount: float, now: float) -> int | None:
        """Ask the granter; returns the number of the ask, or None without a granter."""
        granter = self.election.granter_of(choose_slot(customer), now)
        if granter is None:
            return None
        state = self._customers[customer]
        self._number += 1
        number = self._number
        extra = float(floor(state.count_advance(now)))
        if extra:
            state.advance_at = now
        amounts = map(shorten, (amount, extra, state.refused))
        ask = QuotaAsk(self.identity, number, customer, *amounts)
        state.refused = 0.0
        self._pending[number] = _Pending(ask, granter, now, amount > 0)
        self._send(instance_name(granter), ask, now)
        return number

    def _drop_unanswered(self, now: float) -> None:
        """Forget asks that are answered no more."""
        while self._pending:
            number, pending = next(iter(self._pending.items()))
            if pending.is_waiting or now - pending.asked_at < PENDING_TTL_S:
                break
            self._pending.pop(number)

    def _charge_isolated(self, customer: str, amount: float, now: float) -> Charge | OverQuota:
        state, plan = self._customers[customer], self._plans[customer]
        if not state.isolated.take(amount, self._isolated_shares(customer, plan, now), plan, now):
            return OverQuota(self.random.uniform(*ISOLATED_RETURN_S), is_isolated=True)
        return Charge(customer, amount, now + plan.charge_s, charged_at=now)

    def _isolated_shares(self, customer: str, plan: QuotaPlan, now: float) -> IsolatedShares:
        seen = self.election.seen
        if self._ranked != seen.sharers:
            self._ranked = seen.sharers
            self._ranks.clear()
        if customer not in self._ranks:
            ranking = rank_granters(hash_customer(customer), self._ranked)
            self._ranks[customer] = ranking.index(self.name)
        # Before, the list of instances may not be complete.
        is_sure = now - self.started_at >= VOTER_TTL_S
        rank = self._ranks[customer] if is_sure else None
        return divide_isolated(plan, seen.count_sharers(now), rank)

    def _build_charge(self, customer: str, amount: float, parts: tuple[GrantedPart, ...]) -> Charge:
        stock = self._customers[customer].stock
        stock.record_use(amount)
        send_by = min(each.asked_at for each in parts) + stock.plan.sending_s
        return Charge(customer, amount, send_by, parts)

    def _refuse(self, state: _Customer, now: float) -> OverQuota:
        """Refuse a request until the granter has room, spread over the time that the others need."""
        wait_s = max(0.0, state.refused_until - now)
        spread_s = max(MIN_SPREAD_S, state.line_end - now - wait_s)
        return OverQuota(wait_s + self.random.random() * spread_s)

    def _find_customer(self, customer: str, plan: QuotaPlan) -> _Customer:
        state = self._customers.get(customer)
        if state is None:
            state = _Customer(CustomerStock(plan), IsolatedUse(self.started_at))
            self._customers[customer] = state
        return state

    def _send_beats(self, now: float) -> None:
        self.outbox.extend(self.election.run_round(now))

    def _send(self, instance: str, message: QuotaMessage, now: float) -> None:
        if instance == self.name:
            self.receive(message, now)
        else:
            self.outbox.append((instance, message))


def _limit_time(time_s: float) -> float:
    """Return a received time within what a granter names; 0 if it is no number."""
    return min(time_s, MAX_LINE_S) if time_s > 0 else 0.0
