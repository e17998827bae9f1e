"""Random generation of losses, replacements and quiet times for a managed group."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from random import Random

from shallotmux.checking._managed_group import Instance, ManagedGroup
from shallotmux.checking._simulated_group import (
    VALUE_COUNT,
    Action,
    SimulatedGroup,
    Step,
)

#: Range of the length of a time with disturbances, in seconds.
DISTURBED_S = (1.0, 25.0)
#: Longest time between two steps of a quiet time.
QUIET_STEP_S = 1.0
#: Ranges of the time between two disturbances: at once, within one membership change, and within the
#: time in which a voter is replaced.
_PAUSES_S = ((0.0, 0.1), (0.0, 0.6), (0.5, 7.0))

_DISTURBANCES = {
    Action.RETIRE: 9,
    Action.WIPE: 4,
    Action.CRASH: 3,
    Action.PAUSE: 4,
    Action.ISOLATE: 3,
    Action.SPLIT: 1,
}
_REQUESTS = {Action.SET: 12, Action.READ: 3, Action.COMPACT: 3}
_INTERFERENCES = {Action.TRANSFER: 1, Action.LOSE: 2, Action.DUPLICATE: 2}
_KIND_WEIGHTS = (4, 4, 4, 3)
#: Longest wait for a change of the voters, and longest time from there to the next disturbance. Few
#: disturbances at random times fall between two changes, which follow each other within 0.3 s.
CHANGE_WAIT_S = 8.0
AFTER_CHANGE_S = 0.4


class ManagedStepGenerator:
    """Draws times with disturbances in turn with quiet times, after which the group is checked."""

    def __init__(self, random: Random, group: SimulatedGroup) -> None:
        if not isinstance(group, ManagedGroup):
            raise TypeError('the group must be a ManagedGroup')
        self._random = random
        self._group = group
        self._is_quiet = True
        #: Draws the steps that follow the present one, the last of them first.
        self._follow_ups: list[Callable[[], Step]] = []
        self._phase_ends_at = group.managed.settle_s + QUIET_STEP_S
        self._pending: deque[Step] = deque()

    def next_step(self) -> Step:
        """Return the next step."""
        if self._group.now >= self._phase_ends_at:
            self._start_phase()
        if self._pending:
            return self._pending.popleft()
        if self._is_quiet:
            return self._draw_quiet_step()
        return self._draw_step()

    def _start_phase(self) -> None:
        self._is_quiet = not self._is_quiet
        self._follow_ups.clear()
        length_s = self._random.uniform(*DISTURBED_S)
        if self._is_quiet:
            length_s = self._group.managed.settle_s + QUIET_STEP_S
            self._pending.extend(self._draw_repairs())
        self._phase_ends_at = self._group.now + length_s

    def _draw_repairs(self) -> list[Step]:
        """Return the repairs after which no more instances are lost than tolerated."""
        steps = [self._repair_of(each) for each in self._disturbed_instances()]
        steps += [Step(Action.START) for _ in self._group.lost_disks.missing]
        self._random.shuffle(steps)
        left = self._random.randint(0, self._group.managed.tolerated)
        return [Step(Action.HEAL), *steps[left:]]

    def _disturbed_instances(self) -> list[Instance]:
        instances = self._group.instances.values()
        return [each for each in instances if not each.is_retired and not self._group.is_up(each)]

    def _repair_of(self, instance: Instance) -> Step:
        node = self._group.nodes[instance.identity]
        if instance.direction is not None:
            return Step(Action.HEAL, instance.name)
        return Step(Action.RESUME if node.is_paused else Action.RESTART, instance.name)

    def _draw_quiet_step(self) -> Step:
        elapsed_s = self._random.uniform(0, QUIET_STEP_S)
        if self._random.choice((True, False)):
            return self._draw_request(elapsed_s, _REQUESTS)
        return Step(Action.WAIT, elapsed_s=elapsed_s)

    def _draw_step(self) -> Step:
        if self._follow_ups:
            return self._follow_ups.pop()()
        elapsed_s = self._random.uniform(*self._random.choice(_PAUSES_S))
        draw = self._random.choices(
            (
                self._draw_disturbance,
                self._draw_repair,
                self._draw_interference,
                self._draw_race,
            ),
            _KIND_WEIGHTS,
        )[0]
        return draw(elapsed_s)

    def _draw_disturbance(self, elapsed_s: float) -> Step:
        action = self._random.choices(tuple(_DISTURBANCES), tuple(_DISTURBANCES.values()))[0]
        choice = self._random.randrange(VALUE_COUNT * VALUE_COUNT)
        return Step(action, self._choose_victim(), '', choice, elapsed_s)

    def _draw_race(self, elapsed_s: float) -> Step:
        """Disturb a voter, and lose as many disks as tolerated while the group replaces it."""
        self._follow_ups = [self._draw_disk_loss for _ in range(self._group.managed.tolerated)]
        self._follow_ups.append(lambda: Step(Action.AWAIT_CHANGE, elapsed_s=CHANGE_WAIT_S))
        return self._draw_disturbance(elapsed_s)

    def _draw_disk_loss(self) -> Step:
        elapsed_s = self._random.uniform(0, AFTER_CHANGE_S / self._group.managed.tolerated)
        action = self._random.choice((Action.WIPE, Action.RETIRE))
        return Step(action, self._choose_victim(), elapsed_s=elapsed_s)

    def _draw_repair(self, elapsed_s: float) -> Step:
        steps = [self._repair_of(each) for each in self._disturbed_instances()]
        steps += (Step(Action.START, elapsed_s=elapsed_s), Step(Action.HEAL, elapsed_s=elapsed_s))
        step = self._random.choice(steps)
        return Step(step.action, step.subject, elapsed_s=elapsed_s)

    def _draw_interference(self, elapsed_s: float) -> Step:
        return self._draw_request(elapsed_s, _REQUESTS | _INTERFERENCES)

    def _draw_request(self, elapsed_s: float, frequencies: Mapping[Action, float]) -> Step:
        action = self._random.choices(tuple(frequencies), tuple(frequencies.values()))[0]
        choice = self._random.randrange(VALUE_COUNT * VALUE_COUNT)
        if action in {Action.LOSE, Action.DUPLICATE}:
            routes = [route for route, link in self._group.links.items() if link]
            if routes:
                return Step(action, *self._random.choice(routes), choice, elapsed_s)
        return Step(action, self._leader(), self._choose_identity(), choice, elapsed_s)

    def _choose_victim(self) -> str:
        """Return an instance that runs: often the leader or a voter."""
        instances = [each for each in self._group.instances.values() if self._group.is_up(each)]
        leader = self._group.leader()
        if leader is None or leader.replica is None or not instances:
            return self._random.choice(tuple(self._group.instances))
        voters = leader.replica.status().configuration.voters
        running_voters = [each for each in instances if each.identity in voters]
        leading = [each for each in instances if each.identity == leader.name]
        chosen = self._random.choice((leading, running_voters, running_voters, instances))
        return self._random.choice(chosen or instances).name

    def _choose_identity(self) -> str:
        return self._random.choice(tuple(self._group.instances.values())).identity

    def _leader(self) -> str:
        leader = self._group.leader()
        return self._choose_identity() if leader is None else leader.name
