"""Step-by-step simulation of a replication group, its network and its clocks."""

from __future__ import annotations

import enum
from collections import deque
from dataclasses import dataclass
from random import Random
from typing import Any

from shallotmux.checking._history import History
from shallotmux.checking._invariants import Invariants
from shallotmux.checking._managed_options import ManagedOptions
from shallotmux.checking._node import COMPARE_AND_SET, ORDER, Node
from shallotmux.checking._unfenced import LeaderCalls
from shallotmux.errors import MembershipRefused, NotLeader
from shallotmux.replication import (
    AddLearner,
    Configuration,
    Effects,
    Envelope,
    MembershipChange,
    PromoteLearner,
    RemoveMember,
    Replica,
    ReplicaOptions,
    Role,
    StoredGroup,
    bootstrap_group,
)

#: Maximum number of messages in transit on one link; when it is full, the oldest is lost.
LINK_CAPACITY = 12
#: Maximum number of operations of one history. The cost of the linearizability check grows with the
#: number that overlap.
MAX_OPERATIONS = 40
#: Maximum number of operations of one history without a response. Each overlaps with all later
#: ones: a history with dozens of them took more than ten minutes and 4 GB to check.
MAX_UNANSWERED = 6
#: Number of values of the replicated register, and number of targets of order commands.
VALUE_COUNT = 3


class Action(enum.Enum):
    """Kinds of steps."""

    DELIVER = 'deliver'
    LOSE = 'lose'
    DUPLICATE = 'duplicate'
    TICK = 'tick'
    WAIT = 'wait'
    CRASH = 'crash'
    CRASH_BEFORE_SEND = 'crash before send'
    RESTART = 'restart'
    PAUSE = 'pause'
    RESUME = 'resume'
    CUT = 'cut'
    HEAL = 'heal'
    SET = 'set'
    READ = 'read'
    ORDER = 'order'
    TRANSFER = 'transfer'
    ADD = 'add'
    PROMOTE = 'promote'
    REMOVE = 'remove'
    COMPACT = 'compact'
    CALL = 'call'
    FREEZE_IN_CALL = 'freeze in call'
    WIPE = 'wipe'
    RETIRE = 'retire'
    START = 'start'
    ISOLATE = 'isolate'
    SPLIT = 'split'
    AWAIT_CHANGE = 'await change'


@dataclass(frozen=True, slots=True)
class Step:
    """One step of a schedule; a step that does not apply only advances time.

    :param subject: node that performs the step, or sender of the link.
    :param peer: recipient of the link, or member that a leadership transfer or a membership change
        names.
    :param elapsed_s: simulated time that passes before the step; the longest wait for a change.
    :param choice: position of a message on its link, argument of a command, or for a cut link 1 if
        both directions are cut.
    """

    action: Action
    subject: str = ''
    peer: str = ''
    choice: int = 0
    elapsed_s: float = 0


@dataclass(frozen=True, slots=True)
class SimulatedGroupOptions:
    """Options of the simulated group.

    :param clock_rate_spread: largest relative difference of two nodes' clock rates.
    :param takeover_delay_s: time on its own clock for which a new leader makes no calls.
    :param reads_use_lease: whether a valid lease answers reads; otherwise a majority confirms each.
    :param voters: number of voters; the first ``disks`` of them have a disk, and the last
        ``witnesses`` are witnesses.
    :param managed: options of :class:`~shallotmux.checking.ManagedGroup`.
    """

    replica: ReplicaOptions
    voters: int = 3
    disks: int = 3
    witnesses: int = 0
    clock_rate_spread: float = 0.02
    takeover_delay_s: float = 0
    reads_use_lease: bool = True
    managed: ManagedOptions = ManagedOptions()


class SimulatedGroup:
    """Nodes, network links and simulated time of one schedule."""

    def __init__(self, options: SimulatedGroupOptions, seed: int) -> None:
        self.options = options
        self.now = 0.0
        self.nodes: dict[str, Node] = {}
        self.links: dict[tuple[str, str], deque[Envelope]] = {}
        self.invariants = Invariants()
        self.history = History()
        self._seed = seed
        self._random = Random(f'world/{seed}')
        self._cut_links: set[tuple[str, str]] = set()
        # Operation numbers by node, index and term of the proposed entry.
        self._proposed: dict[tuple[str, int, int], int] = {}
        # Committed index at the request and operation number, -1 for none, by node and read token.
        self._reads: dict[tuple[str, int], tuple[int, int]] = {}
        self._node_summaries: dict[str, tuple[Any, ...]] = {}
        self._drops_messages = False
        #: Number of learners that were promoted by the control plane's decisions.
        self.promotions = 0
        self.calls = LeaderCalls(options.takeover_delay_s)
        self._start_group()

    def perform(self, step: Step) -> None:
        """Perform one step and check the invariants.

        :raises InvariantViolation: if one is violated.
        """
        self.now += step.elapsed_s
        self.calls.target.advance(self.now)
        match step.action:
            case Action.DELIVER | Action.LOSE | Action.DUPLICATE:
                self._handle_message(step)
            case Action.CUT | Action.HEAL:
                self._change_links(step)
            case _:
                self._perform_on_node(step)
        self.invariants.check_leases(self.now)

    def state_hash(self) -> int:
        """Return a hash of the protocol state, excluding times."""
        return hash(frozenset(self._node_summaries.items()))

    def describe_roles(self) -> list[tuple[str, str]]:
        """Return the name, role and term of each node for the trace of a schedule."""
        return [
            (name, f'is {summary[0] or "stopped"} in term {summary[1]}')
            for name, summary in self._node_summaries.items()
        ]

    def leader(self) -> Node | None:
        """Return the leader of the highest term among the running nodes, or None."""
        leaders = [
            (summary[1], name)
            for name, summary in self._node_summaries.items()
            if summary[0] == Role.LEADER.value
        ]
        return self.nodes[max(leaders)[1]] if leaders else None

    def keeps_majority_without(self, name: str) -> bool:
        """Return whether a majority of voters keeps its state if a diskless node is lost.

        Without a majority the group cannot recover, and the rest of the schedule tests nothing.
        """
        configurations = {
            node.replica.status().configuration
            for node in self.nodes.values()
            if node.replica is not None
        }
        surviving = {
            node.name for node in self.nodes.values() if node.has_disk or node.replica is not None
        }
        return all(
            len(each.voters & surviving - {name}) >= each.majority
            for each in configurations
            if each.voters
        )

    def restart(self, node: Node) -> None:
        """Restart a node; a diskless one joins as a new member under a new identity."""
        if node.has_disk:
            node.start(self.options.replica, self.now)
            return
        base, _, number = node.name.partition('.')
        successor = f'{base}.{int(number or 0) + 1}'
        if successor not in self.nodes:
            self._add_node(successor, StoredGroup(), has_disk=False)

    def _start_group(self) -> None:
        names = [f'n{number}' for number in range(1, self.options.voters + 1)]
        disks = frozenset(names[: self.options.disks])
        witnesses = frozenset(names[len(names) - self.options.witnesses :])
        configuration = Configuration(frozenset(names), frozenset(), disks, witnesses)
        for name in names:
            self._add_node(name, bootstrap_group(configuration), has_disk=name in disks)
        self._add_node('spare', StoredGroup(), has_disk=True)

    def _add_node(self, name: str, stored: StoredGroup, *, has_disk: bool) -> None:
        clock_rate = 1 + self._random.choice((0, 1)) * self.options.clock_rate_spread
        node = Node(name, stored, has_disk=has_disk, clock_rate=clock_rate, seed=self._seed)
        self.nodes[name] = node
        node.start(self.options.replica, self.now)
        self._process_effects(node)

    def _handle_message(self, step: Step) -> None:
        link = self.links.get((step.subject, step.peer))
        node = self.nodes.get(step.peer)
        if not link or node is None:
            return
        position = step.choice % len(link)
        envelope = link[position]
        if step.action is not Action.DUPLICATE:
            del link[position]
        if step.action is Action.LOSE or node.replica is None or node.is_paused:
            return
        node.replica.receive(envelope, node.local_time(self.now))
        self._process_effects(node)

    def _change_links(self, step: Step) -> None:
        if step.action is Action.HEAL:
            self._cut_links.clear()
            return
        self._cut_links.add((step.subject, step.peer))
        if step.choice:
            self._cut_links.add((step.peer, step.subject))

    def _perform_on_node(self, step: Step) -> None:
        node = self.nodes.get(step.subject)
        if node is None:
            return
        if node.replica is None:
            if step.action is Action.RESTART:
                self.restart(node)
                self._process_effects(node)
            return
        if node.is_paused and step.action not in {Action.RESUME, Action.CRASH}:
            return
        self._perform_on_running(step, node, node.replica)

    def _perform_on_running(self, step: Step, node: Node, replica: Replica) -> None:
        now = node.local_time(self.now)
        match step.action:
            case Action.TICK:
                replica.tick(now)
            case Action.CRASH:
                self._crash(node)
            case Action.CRASH_BEFORE_SEND:
                replica.tick(now)
                self._drops_messages = True
                self._process_effects(node)
                self._drops_messages = False
                self._crash(node)
            case Action.PAUSE | Action.RESUME:
                node.is_paused = step.action is Action.PAUSE
            case Action.COMPACT:
                self._compact(node, replica)
            case Action.CALL | Action.FREEZE_IN_CALL:
                is_frozen = step.action is Action.FREEZE_IN_CALL
                self.calls.make(node, self.now, step.choice, is_frozen=is_frozen)
            case _:
                self._submit(step, node, replica)
        self._process_effects(node)

    def _crash(self, node: Node) -> None:
        if node.has_disk or self.keeps_majority_without(node.name):
            node.replica = None

    def _compact(self, node: Node, replica: Replica) -> None:
        if node.applied_index > node.log.base:
            replica.compact(node.applied_index, str(node.value).encode())

    def _submit(self, step: Step, node: Node, replica: Replica) -> None:
        now = node.local_time(self.now)
        try:
            match step.action:
                case Action.SET:
                    self._propose_set(step, node, replica)
                case Action.READ:
                    self._request_read(node, replica)
                case Action.ORDER:
                    self._propose_order(step, node, replica)
                case Action.TRANSFER:
                    replica.transfer(step.peer, now)
                case _:
                    replica.change_membership(self._membership_change(step), now)
        except (NotLeader, MembershipRefused):
            return

    def _membership_change(self, step: Step) -> MembershipChange:
        match step.action:
            case Action.ADD:
                member = self.nodes.get(step.peer)
                return AddLearner(step.peer, member is not None and member.has_disk)
            case Action.PROMOTE:
                return PromoteLearner(step.peer)
            case _:
                return RemoveMember(step.peer)

    def _propose_order(self, step: Step, node: Node, replica: Replica) -> None:
        command = f'{ORDER} target{step.choice % VALUE_COUNT}'
        replica.propose(command.encode(), node.local_time(self.now))

    def _propose_set(self, step: Step, node: Node, replica: Replica) -> None:
        history_is_full = len(self.history.operations) >= MAX_OPERATIONS
        if history_is_full or len(self._proposed) >= MAX_UNANSWERED:
            self._propose_order(step, node, replica)
            return
        expected, value = divmod(step.choice, VALUE_COUNT)
        command = f'{COMPARE_AND_SET} {expected % VALUE_COUNT} {value}'
        index, term = replica.propose(command.encode(), node.local_time(self.now))
        operation_number = self.history.begin('set', (expected % VALUE_COUNT, value))
        self._proposed[node.name, index, term] = operation_number

    def _request_read(self, node: Node, replica: Replica) -> None:
        uses_lease = self.options.reads_use_lease
        token = replica.read_index(node.local_time(self.now), uses_lease=uses_lease)
        operation_number = -1
        if len(self.history.operations) < MAX_OPERATIONS:
            operation_number = self.history.begin('get', ())
        self._reads[node.name, token] = (self.invariants.committed_index, operation_number)

    def _process_effects(self, node: Node) -> None:
        """Process the effects of a node until it has none left, and check the invariants."""
        while node.replica is not None:
            effects = node.replica.take_effects()
            before = node.log.last_index
            node.log.save(effects)
            self.invariants.check_appended(node, effects.entries)
            node.replica.mark_persisted(max(before, node.log.last_index))
            self.invariants.check_leadership(node)
            self.invariants.check_committed(node, effects, self.nodes)
            self.invariants.check_orders(node, effects, self.now)
            node.apply(effects)
            self._finish_operations(node, effects)
            self._send(effects)
            if not effects.entries and effects.snapshot is None:
                break
        self._node_summaries[node.name] = _summarize(node)
        self.calls.update(node, self.now)

    def _finish_operations(self, node: Node, effects: Effects) -> None:
        for entry in effects.committed:
            operation_number = self._proposed.pop((node.name, entry.index, entry.term), None)
            if operation_number is not None:
                self.history.end(operation_number, node.results[entry.index, entry.term])
        for ready in effects.reads:
            committed_index, operation_number = self._reads.pop((node.name, ready.token))
            self.invariants.check_read(node, ready.index, committed_index)
            if operation_number >= 0:
                self.history.end(operation_number, node.value)

    def _send(self, effects: Effects) -> None:
        if self._drops_messages:
            return
        for envelope in effects.messages:
            route = (envelope.sender, envelope.recipient)
            if route in self._cut_links or envelope.recipient not in self.nodes:
                continue
            link = self.links.setdefault(route, deque(maxlen=LINK_CAPACITY))
            link.append(envelope)


def _summarize(node: Node) -> tuple[Any, ...]:
    """Return the role, the term and the other parts of a node's protocol state."""
    if node.replica is None:
        return ('', node.log.hard_state.term, node.log.hard_state.vote, node.log.last_index)
    status = node.replica.status()
    last = (status.last_index, node.log.term_at(status.last_index), status.commit_index)
    return (status.role.value, status.term, status.leader, last, node.is_paused)
