"""Simulated group whose membership follows the decisions of the control plane.

Instances lose their disks, never return, and are replaced by new ones at new addresses. Time passes
in short slices, in each of which all running nodes tick, receive messages and decide.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from random import Random

from shallotmux.checking._losses import LostDisks
from shallotmux.checking._node import Node
from shallotmux.checking._settlement import check_leader, check_learner, check_voters
from shallotmux.checking._simulated_group import (
    Action,
    SimulatedGroup,
    SimulatedGroupOptions,
    Step,
)
from shallotmux.checking._simulated_member import SimulatedMember
from shallotmux.control import ControlGroupView, choose_timeouts, next_group_change
from shallotmux.errors import MembershipRefused, NotLeader
from shallotmux.replication import (
    AddLearner,
    Configuration,
    MembershipChange,
    PromoteLearner,
    RemoveMember,
    StoredGroup,
    bootstrap_group,
)
from shallotmux.transport import new_identity

#: Length of a slice: the longest time between two ticks of a replica with a heartbeat of 0.2 s.
SLICE_S = 0.05

#: Probability that the next message of a link, and those behind it, wait for another slice.
DELAY_PROBABILITY = 0.15

#: Time for which an instance counts as lost after it is back, for its log to be complete.
CATCH_UP_S = 4.0

_DISTURBANCES = frozenset(
    (Action.CRASH, Action.PAUSE, Action.ISOLATE, Action.WIPE, Action.RETIRE, Action.SPLIT)
)
#: Steps that may make the leader change.
_INTERFERENCES = frozenset((Action.TRANSFER, Action.LOSE, Action.DUPLICATE))
_REPAIRS = frozenset((Action.RESTART, Action.RESUME, Action.HEAL, Action.START))


@dataclass(slots=True)
class Instance:
    """An address of the deployment, at which a node runs.

    :param identity: name of the node; it changes when the disk is lost.
    :param direction: what an isolated instance cannot do: 0 send and receive, 1 send, 2 receive;
        None if it is connected.
    :param back_at: time since when the instance is back after a loss.
    """

    name: str
    identity: str
    direction: int | None = None
    is_retired: bool = False
    back_at: float = -CATCH_UP_S


class ManagedGroup(SimulatedGroup):
    """Group of control instances."""

    def __init__(self, options: SimulatedGroupOptions, seed: int) -> None:
        self.managed = options.managed
        self.instances: dict[str, Instance] = {}
        self.lost_disks = LostDisks(self.managed.tolerated, self.managed.replacement_s)
        self._timeouts = choose_timeouts(self.managed.tolerated, self.managed.replacement_s)
        self._voter_changes = 0
        self._members: dict[str, SimulatedMember] = {}
        self._half: frozenset[str] = frozenset()
        self._next_slice_at = 0.0
        self._disturbed_at = 0.0
        super().__init__(options, seed)

    def perform(self, step: Step) -> None:
        """Let the time before a step pass, and perform the step."""
        self._pass_time(step.elapsed_s, stops_at_change=step.action is Action.AWAIT_CHANGE)
        if step.action in _DISTURBANCES or step.action in _REPAIRS:
            if self._change_instance(step):
                self._disturbed_at = self.now
                self._update_cuts()
            return
        if step.action in _INTERFERENCES:
            self._disturbed_at = self.now
        super().perform(replace(step, elapsed_s=0))

    def decide(self, view: ControlGroupView) -> MembershipChange | None:
        """Return the membership change that the leader proposes; tests inject faults here."""
        return next_group_change(view)

    def change_membership(self, node: Node, change: MembershipChange) -> None:
        """Propose a membership change; tests inject faults here.

        :raises MembershipRefused: if the replica refuses it.
        """
        if node.replica is not None:
            node.replica.change_membership(change, node.local_time(self.now))

    def is_up(self, instance: Instance) -> bool:
        """Return whether an instance runs and reaches the others."""
        node = self.nodes[instance.identity]
        is_running = node.replica is not None and not node.is_paused
        return is_running and instance.direction is None and not instance.is_retired

    def lost_instances(self) -> frozenset[str]:
        """Return the instances that count as lost."""
        lost = {
            each.name
            for each in self.instances.values()
            if not each.is_retired
            and (not self.is_up(each) or self.now - each.back_at < CATCH_UP_S)
        }
        return self.lost_disks.counting | lost

    def _pass_time(self, duration_s: float, *, stops_at_change: bool) -> None:
        """Let time pass, on demand until a leader changes the voters."""
        end = self.now + duration_s
        changes = self._voter_changes
        while self._next_slice_at <= end:
            self.now = self._next_slice_at
            self._run_slice()
            self._next_slice_at += SLICE_S
            if stops_at_change and self._voter_changes != changes:
                return
        self.now = end

    def _start_group(self) -> None:
        names = [f'n{number}' for number in range(1, self.managed.instances + 1)]
        voters = frozenset(names[: self.managed.initial_voters])
        stored = bootstrap_group(Configuration(voters, disks=voters))
        for name in names:
            self._start_instance(name, stored if name in voters else StoredGroup())

    def _start_instance(self, name: str, stored: StoredGroup) -> None:
        self.instances[name] = Instance(name, name)
        self._start_node(name, stored)

    def _start_node(self, identity: str, stored: StoredGroup) -> None:
        self._add_node(identity, stored, has_disk=True)
        self._start_member(self.nodes[identity])

    def _start_member(self, node: Node) -> None:
        self._members[node.name] = SimulatedMember(
            node, self.managed.tolerated, self._timeouts, node.local_time(self.now)
        )

    def _run_slice(self) -> None:
        running = [each for each in self.nodes.values() if each.replica and not each.is_paused]
        self._random.shuffle(running)
        for node in running:
            if node.replica is not None:
                node.replica.tick(node.local_time(self.now))
                self._process_effects(node)
        self._deliver_messages()
        for node in running:
            self._run_member(node)
        self.invariants.check_leases(self.now)
        is_interrupted = len(self.lost_instances()) > self.managed.tolerated or bool(self._half)
        self.lost_disks.advance(SLICE_S, is_interrupted=is_interrupted)
        self._check_settled(is_interrupted=is_interrupted)

    def _deliver_messages(self) -> None:
        routes = [route for route, link in self.links.items() if link]
        self._random.shuffle(routes)
        for route in routes:
            # What a stopped process has not read waits for it.
            if self.nodes[route[1]].is_paused:
                continue
            for _ in tuple(self.links[route]):
                if self._random.random() < DELAY_PROBABILITY:
                    break
                self._handle_message(Step(Action.DELIVER, *route))

    def _run_member(self, node: Node) -> None:
        """Ask to join, and on the leader change the membership, at the interval of the member."""
        member = self._members[node.name]
        now = node.local_time(self.now)
        if node.replica is None:
            return
        if member.asks_to_join(node.replica, now):
            self._send_join_requests(node)
        view = member.view(node.replica, now)
        change = None if view is None else self.decide(view)
        if view is None or change is None or not self._propose_change(node, change):
            return
        if isinstance(change, RemoveMember) and view.is_live(change.name):
            member.keep_as_learner(change.name, now)

    def _send_join_requests(self, node: Node) -> None:
        for instance in self.instances.values():
            peer = self.nodes[instance.identity]
            is_reached = (node.name, peer.name) not in self._cut_links
            if is_reached and peer.replica is not None and not peer.is_paused and peer is not node:
                self._members[peer.name].receive_join(node.name, peer.local_time(self.now))

    def _propose_change(self, node: Node, change: MembershipChange) -> bool:
        """Propose a change and return whether the replica accepted it."""
        try:
            self.change_membership(node, change)
        except (NotLeader, MembershipRefused):
            return False
        if not isinstance(change, AddLearner):
            self._voter_changes += 1
        if isinstance(change, PromoteLearner):
            self.promotions += 1
            check_learner(node, self.nodes[change.name], self.options.replica.max_batch_entries)
        self._process_effects(node)
        return True

    def _change_instance(self, step: Step) -> bool:
        """Disturb or repair an instance; return whether the step applies."""
        match step.action:
            case Action.SPLIT:
                return self._split(step)
            case Action.START:
                return self._start_new_instance()
            case Action.HEAL if not step.subject:
                was_split = bool(self._half)
                self._half = frozenset()
                return was_split
        instance = self.instances.get(step.subject)
        if instance is None or instance.is_retired:
            return False
        if step.action in _DISTURBANCES:
            return self._may_disturb(instance, step.action) and self._disturb(instance, step)
        return self._repair(instance, step.action)

    def _split(self, step: Step) -> bool:
        """Cut the connections between two halves of the instances."""
        names = sorted(name for name, each in self.instances.items() if not each.is_retired)
        Random(f'split/{step.choice}').shuffle(names)
        is_applicable = not self._half
        if is_applicable:
            self._half = frozenset(names[: len(names) // 2])
        return is_applicable

    def _start_new_instance(self) -> bool:
        """Start an instance at a new address, which succeeds the one that was lost first."""
        retired = [each for each in self.lost_disks.missing if self.instances[each].is_retired]
        if not retired:
            return False
        self.lost_disks.restore(retired[0])
        self._start_instance(f'n{len(self.instances) + 1}', StoredGroup())
        return True

    def _may_disturb(self, instance: Instance, action: Action) -> bool:
        if action in {Action.WIPE, Action.RETIRE}:
            if not self.lost_disks.may_lose(instance.name) or self._is_starting():
                return False
        lost = self.lost_instances() | {instance.name}
        return self.managed.may_overlap or len(lost) <= self.managed.tolerated

    def _is_starting(self) -> bool:
        """Return whether the deployment has not had the time to reach its number of voters."""
        return self.now < self.managed.settle_s

    def _disturb(self, instance: Instance, step: Step) -> bool:
        node = self.nodes[instance.identity]
        match step.action:
            case Action.WIPE:
                self._stop(node)
                self.lost_disks.lose(instance.name)
            case Action.RETIRE:
                self._stop(node)
                instance.is_retired = True
                self.lost_disks.lose(instance.name)
            case Action.CRASH if node.replica is not None:
                self._stop(node)
            case Action.PAUSE if node.replica is not None and not node.is_paused:
                node.is_paused = True
            case Action.ISOLATE if instance.direction is None:
                instance.direction = step.choice % 3
            case _:
                return False
        return True

    def _stop(self, node: Node) -> None:
        node.replica = None
        node.is_paused = False
        self._process_effects(node)

    def _repair(self, instance: Instance, action: Action) -> bool:
        node = self.nodes[instance.identity]
        match action:
            case Action.RESTART if node.replica is None:
                self._restart_instance(instance, node)
            case Action.RESUME if node.is_paused:
                node.is_paused = False
            case Action.HEAL if instance.direction is not None:
                instance.direction = None
            case _:
                return False
        instance.back_at = self.now
        return True

    def _restart_instance(self, instance: Instance, node: Node) -> None:
        """Restart an instance, under a new identity if it has lost its disk."""
        if instance.name in self.lost_disks.missing:
            self.lost_disks.restore(instance.name)
            instance.identity = new_identity(instance.name, self._random)
            self._start_node(instance.identity, StoredGroup())
            return
        node.start(self.options.replica, self.now)
        self._process_effects(node)
        self._start_member(node)

    def _update_cuts(self) -> None:
        """Cut the links of isolated instances and between the halves of a split."""
        self._cut_links.clear()
        for sender in self.instances.values():
            for recipient in self.instances.values():
                is_across = (sender.name in self._half) != (recipient.name in self._half)
                is_split = bool(self._half) and is_across
                if is_split or sender.direction in {0, 1} or recipient.direction in {0, 2}:
                    self._cut_links.add((sender.identity, recipient.identity))

    def _check_settled(self, *, is_interrupted: bool) -> None:
        """Check leader and voters once the group has had the time to settle."""
        undisturbed_s = self.now - self._disturbed_at
        if is_interrupted or undisturbed_s < self.managed.elect_s or self._is_starting():
            return
        live = frozenset(each.identity for each in self.instances.values() if self.is_up(each))
        leader = self.leader()
        check_leader(leader, live, self.now)
        if leader is not None and undisturbed_s >= self.managed.settle_s:
            check_voters(leader, live, self.managed.tolerated, self.now)
