"""Random generation of steps, most of which apply to the current state of a group."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random

from shallotmux.checking._simulated_group import (
    LINK_CAPACITY,
    VALUE_COUNT,
    Action,
    SimulatedGroup,
    Step,
)

#: Probability that a message step takes the oldest message of a link.
IN_ORDER_PROBABILITY = 0.7
#: Steps during which a leader counts as new.
NEW_LEADER_STEPS = 15

_FAULT_FREQUENCIES = {
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
_REQUEST_FREQUENCIES = {
    Action.SET: 10,
    Action.READ: 5,
    Action.ORDER: 5,
    Action.ADD: 2,
    Action.PROMOTE: 2,
    Action.REMOVE: 1,
}


@dataclass(frozen=True, slots=True)
class Profile:
    """Frequencies of the kinds of steps, and the speed of simulated time.

    :param fault_rate: share of faults among the steps; the other rates likewise.
    :param new_leader_fault_rate: share of faults shortly after a change of leader. A leader that
        fails before its first entries are replicated to all nodes leaves diverging logs.
    :param mean_elapsed_s: mean time between steps while messages are in transit.
    :param max_idle_s: longest time between steps while no message is in transit.
    :param faults: relative frequencies of the faults.
    :param requests: relative frequencies of the requests to the leader.
    """

    fault_rate: float = 0.05
    new_leader_fault_rate: float = 0.1
    repair_rate: float = 0.03
    request_rate: float = 0.08
    tick_rate: float = 0.2
    mean_elapsed_s: float = 0.005
    max_idle_s: float = 0.2
    faults: Mapping[Action, float] = field(default_factory=lambda: dict(_FAULT_FREQUENCIES))
    requests: Mapping[Action, float] = field(default_factory=lambda: dict(_REQUEST_FREQUENCIES))


#: Partitions and pauses leaders while message delays are short, so that leases nearly overlap.
#: Evenly mixed faults did not expose a voter that ignores a lease within 300,000 steps.
LEASE_PROFILE = Profile(
    mean_elapsed_s=0.002,
    max_idle_s=0.05,
    faults={Action.PAUSE: 1, Action.CUT: 1},
    requests={Action.SET: 1},
)
#: Makes leaders fail one after the other with entries that only they have stored.
FAILING_LEADERS_PROFILE = Profile(
    fault_rate=0.1,
    new_leader_fault_rate=0.3,
    repair_rate=0.1,
    max_idle_s=0.5,
    faults={Action.CRASH: 1, Action.CRASH_BEFORE_SEND: 2, Action.CUT: 2},
    requests={Action.SET: 1},
)
#: Changes leaders often while each makes calls to a target that checks no token.
UNFENCED_PROFILE = Profile(
    fault_rate=0.06,
    new_leader_fault_rate=0.1,
    repair_rate=0.1,
    request_rate=0.15,
    mean_elapsed_s=0.004,
    max_idle_s=0.15,
    faults={
        Action.TRANSFER: 4,
        Action.CUT: 2,
        Action.PAUSE: 2,
        Action.CRASH: 1,
        Action.FREEZE_IN_CALL: 2,
        Action.WAIT: 2,
    },
    requests={Action.CALL: 8, Action.SET: 1},
)


def draw_profile(random: Random) -> Profile:
    """Return a random profile: mixed faults in half of the schedules, else a specialized one."""
    return random.choice(
        (
            LEASE_PROFILE,
            FAILING_LEADERS_PROFILE,
            _draw_mixed_profile(random),
            _draw_mixed_profile(random),
        )
    )


def _draw_mixed_profile(random: Random) -> Profile:
    """Return a profile in which some kinds of faults are omitted or made more frequent."""
    return Profile(
        fault_rate=random.choice((0.02, 0.05, 0.15)),
        new_leader_fault_rate=random.choice((0.05, 0.1, 0.3)),
        repair_rate=random.choice((0.01, 0.03, 0.06)),
        mean_elapsed_s=random.choice((0.002, 0.005, 0.015)),
        max_idle_s=random.choice((0.05, 0.2, 0.5)),
        faults={
            action: frequency * random.choice((0, 1, 1, 3))
            for action, frequency in _FAULT_FREQUENCIES.items()
        },
    )


class StepGenerator:
    """Draws steps that mostly apply to the current state of a group."""

    def __init__(self, random: Random, group: SimulatedGroup, profile: Profile) -> None:
        self._random = random
        self._group = group
        self._profile = profile
        self._last_leader = ''
        self._steps_since_change = 0

    def next_step(self) -> Step:
        """Return the next step."""
        sample = self._random.random()
        elapsed_s = sample * 2 * self._profile.mean_elapsed_s
        sample = self._random.random()
        fault_rate = self._current_fault_rate()
        if sample < fault_rate:
            return self._draw_fault(elapsed_s)
        sample -= fault_rate
        if sample < self._profile.repair_rate:
            return self._draw_repair(elapsed_s)
        sample -= self._profile.repair_rate
        if sample < self._profile.request_rate:
            return self._draw_request(elapsed_s)
        if sample < self._profile.request_rate + self._profile.tick_rate:
            return Step(Action.TICK, self._choose_running_node(), elapsed_s=elapsed_s)
        return self._draw_message_step(Action.DELIVER, elapsed_s)

    def _current_fault_rate(self) -> float:
        leader = self._group.leader()
        name = '' if leader is None else leader.name
        if name != self._last_leader:
            self._last_leader = name
            self._steps_since_change = 0
        self._steps_since_change += 1
        is_new = bool(name) and self._steps_since_change < NEW_LEADER_STEPS
        return self._profile.new_leader_fault_rate if is_new else self._profile.fault_rate

    def _draw_fault(self, elapsed_s: float) -> Step:
        action = self._choose_action(self._profile.faults)
        match action:
            case Action.LOSE | Action.DUPLICATE:
                return self._draw_message_step(action, elapsed_s)
            case Action.WAIT:
                return Step(action, elapsed_s=self._random.uniform(0.1, 1))
            case Action.FREEZE_IN_CALL:
                return Step(action, self._choose_leader(), elapsed_s=elapsed_s)
            case Action.TRANSFER:
                return Step(
                    action, self._choose_leader(), self._choose_any_node(), elapsed_s=elapsed_s
                )
            case _:
                choice = self._random.randint(0, 1)
                victim = self._choose_leader() if choice else self._choose_any_node()
                return Step(action, victim, self._choose_any_node(), choice, elapsed_s)

    def _draw_repair(self, elapsed_s: float) -> Step:
        action = self._random.choice(_REPAIRS)
        nodes = self._group.nodes.values()
        if action is Action.RESTART:
            return Step(
                action, self._choose_node([each.name for each in nodes if not each.replica])
            )
        if action is Action.RESUME:
            return Step(action, self._choose_node([each.name for each in nodes if each.is_paused]))
        return Step(action, elapsed_s=elapsed_s)

    def _draw_request(self, elapsed_s: float) -> Step:
        action = self._choose_action(self._profile.requests)
        choice = self._random.randrange(VALUE_COUNT * VALUE_COUNT)
        return Step(action, self._choose_leader(), self._draw_member(action), choice, elapsed_s)

    def _draw_member(self, action: Action) -> str:
        """Return a node to which a membership change probably applies."""
        leader = self._group.leader()
        if leader is None or leader.replica is None:
            return self._choose_any_node()
        configuration = leader.replica.status().configuration
        running = {each.name for each in self._group.nodes.values() if each.replica}
        match action:
            case Action.ADD:
                return self._choose_node(sorted(running - configuration.members))
            case Action.PROMOTE:
                return self._choose_node(sorted(configuration.learners))
            case Action.REMOVE:
                return self._choose_node(sorted(configuration.members - running))
            case _:
                return self._choose_any_node()

    def _draw_message_step(self, action: Action, elapsed_s: float) -> Step:
        routes = [route for route, link in self._group.links.items() if link]
        if not routes:
            elapsed_s = self._random.uniform(0, self._profile.max_idle_s)
            return Step(Action.TICK, self._choose_running_node(), elapsed_s=elapsed_s)
        sender, recipient = self._random.choice(routes)
        is_first = self._random.random() < IN_ORDER_PROBABILITY
        choice = 0 if is_first else self._random.randrange(LINK_CAPACITY)
        return Step(action, sender, recipient, choice, elapsed_s)

    def _choose_any_node(self) -> str:
        return self._random.choice(tuple(self._group.nodes))

    def _choose_leader(self) -> str:
        """Return the leader of the highest term, or any node if there is no leader."""
        leader = self._group.leader()
        return self._choose_any_node() if leader is None else leader.name

    def _choose_running_node(self) -> str:
        nodes = self._group.nodes.values()
        return self._choose_node(
            [each.name for each in nodes if each.replica and not each.is_paused]
        )

    def _choose_node(self, names: list[str]) -> str:
        return self._random.choice(names) if names else self._choose_any_node()

    def _choose_action(self, frequencies: Mapping[Action, float]) -> Action:
        return self._random.choices(tuple(frequencies), tuple(frequencies.values()))[0]
