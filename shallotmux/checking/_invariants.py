"""Invariants of a replication group, checked after each step."""

from __future__ import annotations

from shallotmux.checking._node import ORDER, Node
from shallotmux.checking._violations import InvariantViolation
from shallotmux.replication import Effects, Entry, EntryKind, Role


class Invariants:
    """History of a group so far, against which each step is checked."""

    def __init__(self) -> None:
        self.committed_index = 0
        self._committed: dict[int, Entry] = {}
        self._appended: dict[tuple[int, int], tuple[bytes, int]] = {}
        self._leaders: dict[int, str] = {}
        self._leases: dict[str, tuple[Node, float]] = {}
        self._fencing_tokens: dict[str, tuple[int, int]] = {}

    def check_appended(self, node: Node, entries: tuple[Entry, ...]) -> None:
        """Check that entries of equal index and term equal each other, as do their predecessors."""
        for entry in entries:
            previous_term = node.log.term_at(entry.index - 1)
            content = (entry.payload, previous_term)
            if node.log.base >= entry.index:
                continue
            if self._appended.setdefault((entry.index, entry.term), content) != content:
                raise InvariantViolation(
                    'log-matching', f'{node.name} has stored a different entry {entry.index}'
                )

    def check_committed(self, node: Node, effects: Effects, nodes: dict[str, Node]) -> None:
        """Check that committed entries never change and are stored on a disk."""
        for entry in effects.committed:
            if self._committed.setdefault(entry.index, entry) != entry:
                raise InvariantViolation(
                    'committed-kept', f'{node.name} commits a different entry {entry.index}'
                )
        if effects.committed and effects.committed[-1].index > self.committed_index:
            self._check_on_disk(node, effects.committed[-1], nodes)
            self.committed_index = effects.committed[-1].index

    def check_leadership(self, node: Node) -> None:
        """Check that each term has one leader, and that the newest has all committed entries."""
        if node.replica is None:
            self._leases.pop(node.name, None)
            return
        status = node.replica.status()
        if status.role is not Role.LEADER:
            self._leases.pop(node.name, None)
            return
        self._leases[node.name] = (node, status.lease_end)
        if self._leaders.setdefault(status.term, node.name) != node.name:
            raise InvariantViolation(
                'one-leader-per-term',
                f'{node.name} and {self._leaders[status.term]} lead in term {status.term}',
            )
        newest = self._committed.get(self.committed_index)
        is_current = status.term == max(self._leaders)
        if newest is not None and is_current and not self._contains_entry(node, newest):
            raise InvariantViolation(
                'committed-kept', f'leader {node.name} lacks entry {newest.index}'
            )

    def check_leases(self, now: float) -> None:
        """Check that at most one node holds a lease at a point in real time."""
        if len(self._leases) < 2:
            return
        holders = [node.name for node, end in self._leases.values() if node.local_time(now) < end]
        if len(holders) > 1:
            raise InvariantViolation('one-lease-holder', f'{holders} hold a lease at {now:.4f}')

    def check_orders(self, node: Node, effects: Effects, now: float) -> None:
        """Send the orders that a lease holder has committed, and check their fencing tokens."""
        lease = self._leases.get(node.name)
        if lease is None or node.replica is None or node.local_time(now) >= lease[1]:
            return
        term = node.replica.status().term
        for entry in effects.committed:
            kind, _, target = entry.payload.decode('latin1').partition(' ')
            if entry.kind is EntryKind.COMMAND and kind == ORDER and entry.term == term:
                self._record_order(node.name, target, (entry.term, entry.index))

    def check_read(self, node: Node, index: int, committed: int) -> None:
        """Check that a read observes everything that was committed when it was requested."""
        if index < committed:
            raise InvariantViolation(
                'read-linearizable',
                f'{node.name} reads at index {index} after index {committed} was committed',
            )

    def _record_order(self, sender: str, target: str, token: tuple[int, int]) -> None:
        if token <= self._fencing_tokens.get(target, (0, 0)):
            raise InvariantViolation(
                'fencing-monotonic', f'{sender} sends {token} to {target} after a newer order'
            )
        self._fencing_tokens[target] = token

    def _contains_entry(self, node: Node, entry: Entry) -> bool:
        return node.log.base > entry.index or node.log.term_at(entry.index) == entry.term

    def _check_on_disk(self, node: Node, entry: Entry, nodes: dict[str, Node]) -> None:
        if node.replica is None:
            return
        configuration = node.replica.status().configuration
        disks = configuration.voters & configuration.disks
        if disks and not any(self._contains_entry(nodes[name], entry) for name in disks):
            raise InvariantViolation('committed-on-disk', f'entry {entry.index} is on no disk')
