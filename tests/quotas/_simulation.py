"""Many instances that keep one customer's quota, over a faulty network in virtual time."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random

from shallotmux.quotas import Asked, Charge, OverQuota, QuotaNode, QuotaPlan, QuotaTerms, plan_quota
from shallotmux.quotas._customer_quotas import ANSWER_TIMEOUT_S, REPEAT_AFTER_S
from shallotmux.quotas._messages import QuotaAsk, QuotaMessage
from shallotmux.quotas._stock import ROUND_S
from shallotmux.routes import CustomerQuota, QuotaUnit

CUSTOMER = 'tailors'

#: Time after which an instance that is not heard leaves the lists, and interval between two lists.
LISTED_S = 5.0
LIST_INTERVAL_S = 0.2

#: Time for which a process that is stopped finishes its requests.
DRAIN_S = 2.6

#: Part of a hold that a request may be on its way to an endpoint.
WAY_SHARE = 0.15

#: Time for which the first instances have run when the simulation begins.
UPTIME_S = 1000.0


@dataclass(slots=True)
class Faults:
    """What the network does to messages.

    :param way_s: shortest and longest time that a message takes.
    :param late: share of messages that take up to a second more.
    """

    way_s: tuple[float, float] = (0.001, 0.002)
    lost: float = 0.0
    doubled: float = 0.0
    late: float = 0.0


@dataclass(slots=True)
class Instance:
    """An entry instance, whose process may be killed or paused."""

    name: str
    node: QuotaNode | None
    incarnation: int = 0
    paused_until: float = 0.0
    #: What arrived while it was paused.
    held: list[Callable[[], None]] = field(default_factory=list)
    entries: tuple[str, ...] = ()


class Simulation:
    """Runs instances, and records what arrives at endpoints.

    :param quota: quota of the customer; all customers of a test have the same.
    """

    def __init__(
        self,
        names: tuple[str, ...],
        quota: CustomerQuota,
        terms: QuotaTerms,
        faults: Faults | None = None,
        seed: int = 0,
        *,
        uptime_s: float = UPTIME_S,
    ) -> None:
        self.now = 0.0
        self.random = Random(seed)
        self.faults = faults or Faults()
        self.quota = quota
        self.terms = terms
        self.plans: dict[str, QuotaPlan] = {CUSTOMER: plan_quota(quota, terms)}
        #: Pairs of instances between which nothing passes, in one direction.
        self.cut: set[tuple[str, str]] = set()
        self.arrivals: list[tuple[float, float]] = []
        self.demanded = 0.0
        self.refused: list[tuple[float, OverQuota]] = []
        self.sent: Counter[str] = Counter()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        #: Time until which requests arrive as late as they may, and after which at once; None for random
        #: times. The use in the window that begins then is as large as it can be.
        self.late_until: float | None = None
        #: Share of requests that do not run, so that their amount is given back.
        self.not_run = 0.0
        self._waiting: dict[tuple[str, int, int], float] = {}
        self.instances = {each: Instance(each, None) for each in names}
        self._heard_at: dict[tuple[str, str], float] = {}
        for each in names:
            self._start(each, -uptime_s)
        self._update_lists()

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._events, (time, next(self._numbers), action))

    def run(self, until: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[2]()
        self.now = until

    def kill(self, name: str) -> None:
        """End a process; all that it knows is lost."""
        self.instances[name].node = None

    def stop(self, name: str) -> None:
        """Stop a process as planned; its requests go on for a while."""
        self._do(name, lambda node: node.resign(self.now))
        self.at(self.now + DRAIN_S, partial(self.kill, name))

    def restart(self, name: str) -> None:
        """Start a process anew."""
        self.kill(name)
        self._start(name, self.now)

    def pause(self, name: str, until: float) -> None:
        """Stop a process for a time in which clocks go on."""
        self.instances[name].paused_until = until
        self.at(until, lambda: self._resume(name))

    def separate(self, group: set[str], others: set[str] | None = None) -> None:
        """Let nothing pass between a group and other instances, all others unless they are named."""
        for each in group:
            for other in (set(self.instances) - group) if others is None else others:
                self.cut |= {(each, other), (other, each)}

    def apply_quota(self, quota: CustomerQuota | None) -> None:
        """Apply another document at all instances."""
        self.plans = {} if quota is None else {CUSTOMER: plan_quota(quota, self.terms)}
        for each in self.instances.values():
            if each.node is not None:
                each.node.apply_plans(self.plans)

    def request(self, name: str, amount: float) -> None:
        """Send a request to an instance."""
        self.demanded += amount
        self._do(name, lambda node: self._charge(node, name, amount))

    def send_evenly(
        self, names: tuple[str, ...], rate: float, size: float, until: float, begin: float = 0.0
    ) -> None:
        """Let requests arrive at random, evenly over instances.

        :param rate: amount per second in total.
        """
        time = begin
        while True:
            time += self.random.expovariate(rate / size)
            if time >= until:
                return
            self.at(time, partial(self.request, self.random.choice(names), size))

    def bound(self) -> float:
        """Return what may arrive in one window."""
        quota, terms = self.quota, self.terms
        slack = terms.slack_tokens if quota.unit is QuotaUnit.TOKENS else 0.0
        allowed = quota.rate_per_s * terms.window_s + quota.burst
        return allowed * (1 + terms.overage) + slack

    def most_in_window(self) -> float:
        """Return the largest use in any window."""
        arrivals = sorted(self.arrivals)
        most = 0.0
        used = 0.0
        first = 0
        for time, amount in arrivals:
            used += amount
            while arrivals[first][0] <= time - self.terms.window_s:
                used -= arrivals[first][1]
                first += 1
            most = max(most, used)
        return most

    def used_between(self, begin: float, end: float) -> float:
        """Return the use in an interval."""
        return sum(amount for time, amount in self.arrivals if begin <= time < end)

    def granters(self) -> tuple[str, ...]:
        """Return the instances that grant the customer's quota now."""
        return tuple(
            each.name
            for each in self.instances.values()
            if each.node is not None and each.node.election.granted_slots(self.now)
        )

    def _start(self, name: str, started_at: float) -> None:
        instance = self.instances[name]
        instance.incarnation += 1
        node = QuotaNode(
            name, f'{name}~{instance.incarnation}', started_at, Random(self.random.random())
        )
        node.apply_plans(self.plans)
        instance.node = node
        instance.held = []
        instance.entries = ()
        # Rounds of the instances are not in step.
        self._schedule_round(name, instance.incarnation, self.now + self.random.random() * ROUND_S)

    def _schedule_round(self, name: str, incarnation: int, time: float) -> None:
        def run_round() -> None:
            instance = self.instances[name]
            if instance.node is None or instance.incarnation != incarnation:
                return
            if self.now >= instance.paused_until:
                instance.node.run_round(instance.entries, self.now)
                self._flush(name)
            self._schedule_round(name, incarnation, self.now + ROUND_S)

        self.at(time, run_round)

    def _update_lists(self) -> None:
        """Give each instance the list of those that it, or what it polls, has heard of late."""
        running = [
            name
            for name, each in self.instances.items()
            if each.node is not None and self.now >= each.paused_until
        ]
        for name in running:
            reached = [each for each in running if (each, name) not in self.cut]
            self._heard_at.update({(name, each): self.now for each in reached})
            oldest = self.now - LISTED_S
            self.instances[name].entries = tuple(
                each for each in self.instances if self._heard_at.get((name, each), oldest) > oldest
            )
        self.at(self.now + LIST_INTERVAL_S, self._update_lists)

    def _do(self, name: str, action: Callable[[QuotaNode], None]) -> None:
        """Run an action at an instance, as soon as its process runs."""
        instance = self.instances[name]
        incarnation = instance.incarnation

        def run() -> None:
            if instance.node is not None and instance.incarnation == incarnation:
                action(instance.node)
                self._flush(name)

        if self.now < instance.paused_until:
            instance.held.append(run)
        else:
            run()

    def _resume(self, name: str) -> None:
        instance = self.instances[name]
        held = instance.held
        instance.held = []
        for each in held:
            each()

    def _charge(self, node: QuotaNode, name: str, amount: float) -> None:
        verdict = node.charge(CUSTOMER, amount, self.now)
        if isinstance(verdict, Asked):
            number = verdict.number
            self._waiting[name, self.instances[name].incarnation, number] = amount
            self.at(
                self.now + REPEAT_AFTER_S,
                lambda: self._do(name, lambda each: each.repeat(number, self.now)),
            )
            self.at(
                self.now + ANSWER_TIMEOUT_S,
                lambda: self._do(name, lambda each: self._settle(each, name, number)),
            )
        else:
            self._finish(node, verdict, amount)

    def _settle(self, node: QuotaNode, name: str, number: int) -> None:
        amount = self._waiting.pop((name, self.instances[name].incarnation, number), None)
        if amount is not None:
            self._finish(node, node.settle(number, self.now), amount)

    def _finish(self, node: QuotaNode, verdict: Charge | OverQuota | None, amount: float) -> None:
        match verdict:
            case OverQuota():
                self.refused.append((self.now, verdict))
            case None:
                self.arrivals.append((self.now, amount))
            case Charge():
                self._send_request(node, verdict)

    def _send_request(self, node: QuotaNode, charge: Charge) -> None:
        if self.random.random() < self.not_run:
            delay_s = 2 * self.random.random() * self.plans[CUSTOMER].hold_s
            self.at(self.now + delay_s, lambda: node.give_back(charge, self.now))
            return
        # It may be sent until the last moment, and is a while on its way.
        hold_s = self.plans[CUSTOMER].hold_s if CUSTOMER in self.plans else 0.0
        last = max(self.now, charge.send_by) + (WAY_SHARE * hold_s if charge.parts else 0.0)
        arrival = self.random.uniform(self.now, last)
        if self.late_until is not None:
            arrival = last if self.now < self.late_until else self.now
        self.arrivals.append((arrival, charge.amount))

    def _flush(self, name: str) -> None:
        instance = self.instances[name]
        node = instance.node
        if node is None:
            return
        settled = node.settled
        node.settled = []
        for number in settled:
            self._settle(node, name, number)
        outbox = node.outbox
        node.outbox = []
        for receiver, message in outbox:
            self.sent[type(message).__name__] += 1
            if isinstance(message, QuotaAsk) and message.amount:
                self.sent['requests asked for'] += 1
            self._transmit(name, receiver, message)

    def _transmit(self, sender: str, receiver: str, message: QuotaMessage) -> None:
        faults, draw = self.faults, self.random.random
        copies = 0 if draw() < faults.lost else 1 + (draw() < faults.doubled)
        for _ in range(copies):
            way_s = self.random.uniform(*faults.way_s)
            if draw() < faults.late:
                way_s += draw()
            self.at(self.now + way_s, partial(self._deliver, sender, receiver, message))

    def _deliver(self, sender: str, receiver: str, message: QuotaMessage) -> None:
        if (sender, receiver) not in self.cut and receiver in self.instances:
            self._do(receiver, lambda node: node.receive(message, self.now))
