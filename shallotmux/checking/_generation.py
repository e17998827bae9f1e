"""Random steps, drawn so that most of them apply to the present state of a group."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random

from shallotmux.checking._world import LINK_CAPACITY, VALUES, Action, Step, World

#: Share of deliveries that take the oldest message of a link.
IN_ORDER_SHARE = 0.7
#: Steps during which a leader counts as new.
NEW_LEADER_STEPS = 15

_FAULTS = {
    Action.LOSE: 6,
    Action.DUPLICATE: 6,
    Action.WAIT: 4,
    Action.CRASH: 2,
    Action.CRASH_BEFORE_SEND: 2,
    Action.PAUSE: 2,
    Action.CUT: 3,
    Action.TRANSFER: 2,
    Action.COMPACT: 2,
}
_REPAIRS = (Action.RESTART, Action.RESTART, Action.RESUME, Action.HEAL)
_REQUESTS = {
    Action.SET: 10,
    Action.READ: 5,
    Action.ORDER: 5,
    Action.ADD: 2,
    Action.PROMOTE: 2,
    Action.REMOVE: 1,
}


@dataclass(frozen=True, slots=True)
class Profile:
    """How often each kind of step is drawn, and how fast time passes.

    :param new_leader_fault_rate: share of faults shortly after a change of leader. A leader that
        fails before its first entries are everywhere leaves logs that differ.
    :param mean_elapsed_s: mean time between steps while messages are in transit.
    :param longest_idle_s: longest time between steps while none is.
    :param faults: relative frequencies of the faults; ``requests`` likewise.
    """

    fault_rate: float = 0.05
    new_leader_fault_rate: float = 0.1
    repair_rate: float = 0.03
    request_rate: float = 0.08
    tick_rate: float = 0.2
    mean_elapsed_s: float = 0.005
    longest_idle_s: float = 0.2
    faults: Mapping[Action, float] = field(default_factory=lambda: dict(_FAULTS))
    requests: Mapping[Action, float] = field(default_factory=lambda: dict(_REQUESTS))


#: Leaders that are cut off or paused while messages are fast, so that leases nearly overlap.
#: Evenly mixed faults did not show a voter that ignores a lease within 300,000 steps.
LEASE_PROFILE = Profile(
    mean_elapsed_s=0.002,
    longest_idle_s=0.05,
    faults={Action.PAUSE: 1, Action.CUT: 1},
    requests={Action.SET: 1},
)
#: Leaders that fail one after the other with entries that only they hold.
FAILING_LEADERS_PROFILE = Profile(
    fault_rate=0.1,
    new_leader_fault_rate=0.3,
    repair_rate=0.1,
    longest_idle_s=0.5,
    faults={Action.CRASH: 1, Action.CRASH_BEFORE_SEND: 2, Action.CUT: 2},
    requests={Action.SET: 1},
)


def draw_profile(random: Random) -> Profile:
    """Return a profile for one schedule: mixed faults in half of them, else a focused one."""
    return random.choice(
        (LEASE_PROFILE, FAILING_LEADERS_PROFILE, _draw_mixed(random), _draw_mixed(random))
    )


def _draw_mixed(random: Random) -> Profile:
    """Return a profile in which some kinds of faults are left out or stressed."""
    return Profile(
        fault_rate=random.choice((0.02, 0.05, 0.15)),
        new_leader_fault_rate=random.choice((0.05, 0.1, 0.3)),
        repair_rate=random.choice((0.01, 0.03, 0.06)),
        mean_elapsed_s=random.choice((0.002, 0.005, 0.015)),
        longest_idle_s=random.choice((0.05, 0.2, 0.5)),
        faults={action: rate * random.choice((0, 1, 1, 3)) for action, rate in _FAULTS.items()},
    )


class StepGenerator:
    """Draws steps that mostly apply to the present state of a world."""

    def __init__(self, random: Random, world: World, profile: Profile) -> None:
        self._random = random
        self._world = world
        self._profile = profile
        self._last_leader = ''
        self._steps_since_change = 0

    def next_step(self) -> Step:
        """Return the next step."""
        draw = self._random.random()
        elapsed_s = draw * 2 * self._profile.mean_elapsed_s
        draw = self._random.random()
        fault_rate = self._present_fault_rate()
        if draw < fault_rate:
            return self._fault(elapsed_s)
        draw -= fault_rate
        if draw < self._profile.repair_rate:
            return self._repair(elapsed_s)
        draw -= self._profile.repair_rate
        if draw < self._profile.request_rate:
            return self._request(elapsed_s)
        if draw < self._profile.request_rate + self._profile.tick_rate:
            return Step(Action.TICK, self._running_node(), elapsed_s=elapsed_s)
        return self._message_step(Action.DELIVER, elapsed_s)

    def _present_fault_rate(self) -> float:
        leader = self._world.leader()
        name = '' if leader is None else leader.name
        if name != self._last_leader:
            self._last_leader = name
            self._steps_since_change = 0
        self._steps_since_change += 1
        is_new = bool(name) and self._steps_since_change < NEW_LEADER_STEPS
        return self._profile.new_leader_fault_rate if is_new else self._profile.fault_rate

    def _fault(self, elapsed_s: float) -> Step:
        action = self._choose(self._profile.faults)
        match action:
            case Action.LOSE | Action.DUPLICATE:
                return self._message_step(action, elapsed_s)
            case Action.WAIT:
                return Step(action, elapsed_s=self._random.uniform(0.1, 1))
            case Action.TRANSFER:
                return Step(action, self._leader(), self._any_node(), elapsed_s=elapsed_s)
            case _:
                choice = self._random.randint(0, 1)
                victim = self._leader() if choice else self._any_node()
                return Step(action, victim, self._any_node(), choice, elapsed_s)

    def _repair(self, elapsed_s: float) -> Step:
        action = self._random.choice(_REPAIRS)
        nodes = self._world.nodes.values()
        if action is Action.RESTART:
            return Step(action, self._one_of([each.name for each in nodes if not each.replica]))
        if action is Action.RESUME:
            return Step(action, self._one_of([each.name for each in nodes if each.is_paused]))
        return Step(action, elapsed_s=elapsed_s)

    def _request(self, elapsed_s: float) -> Step:
        action = self._choose(self._profile.requests)
        choice = self._random.randrange(VALUES * VALUES)
        return Step(action, self._leader(), self._member_for(action), choice, elapsed_s)

    def _member_for(self, action: Action) -> str:
        """Return a node that a membership change probably fits."""
        leader = self._world.leader()
        if leader is None or leader.replica is None:
            return self._any_node()
        configuration = leader.replica.status().configuration
        running = {each.name for each in self._world.nodes.values() if each.replica}
        match action:
            case Action.ADD:
                return self._one_of(sorted(running - configuration.members))
            case Action.PROMOTE:
                return self._one_of(sorted(configuration.learners))
            case Action.REMOVE:
                return self._one_of(sorted(configuration.members - running))
            case _:
                return self._any_node()

    def _message_step(self, action: Action, elapsed_s: float) -> Step:
        busy = [route for route, link in self._world.links.items() if link]
        if not busy:
            elapsed_s = self._random.uniform(0, self._profile.longest_idle_s)
            return Step(Action.TICK, self._running_node(), elapsed_s=elapsed_s)
        sender, recipient = self._random.choice(busy)
        is_first = self._random.random() < IN_ORDER_SHARE
        choice = 0 if is_first else self._random.randrange(LINK_CAPACITY)
        return Step(action, sender, recipient, choice, elapsed_s)

    def _any_node(self) -> str:
        return self._random.choice(tuple(self._world.nodes))

    def _leader(self) -> str:
        """Return a leader, mostly the one of the highest term, or any node."""
        leader = self._world.leader()
        return self._any_node() if leader is None else leader.name

    def _running_node(self) -> str:
        nodes = self._world.nodes.values()
        return self._one_of([each.name for each in nodes if each.replica and not each.is_paused])

    def _one_of(self, names: list[str]) -> str:
        return self._random.choice(names) if names else self._any_node()

    def _choose(self, rates: Mapping[Action, float]) -> Action:
        return self._random.choices(tuple(rates), tuple(rates.values()))[0]
