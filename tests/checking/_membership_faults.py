"""Simulated groups with known faults in the decisions on their membership."""

from __future__ import annotations

from shallotmux.checking import ManagedGroup
from shallotmux.checking._node import Node
from shallotmux.control import ControlGroupView, next_group_change
from shallotmux.errors import MembershipRefused
from shallotmux.replication import MembershipChange, PromoteLearner, RemoveMember

#: Number of voters beyond which the replicas of :class:`FiveVoterGroup` refuse a promotion.
OLD_VOTER_LIMIT = 5


class FiveVoterGroup(ManagedGroup):
    """Group whose replicas refuse the sixth voter, which the decisions need for a moment."""

    def change_membership(self, node: Node, change: MembershipChange) -> None:
        """Propose a change unless it makes more than five voters."""
        if node.replica is not None and isinstance(change, PromoteLearner):
            if len(node.replica.status().configuration.voters) >= OLD_VOTER_LIMIT:
                raise MembershipRefused('too many voters', step='change membership')
        super().change_membership(node, change)


class RemoveFirstGroup(ManagedGroup):
    """Group that removes a silent voter before its successor is promoted."""

    def decide(self, view: ControlGroupView) -> MembershipChange | None:
        """Remove the silent voter instead of promoting a learner."""
        change = next_group_change(view)
        voters = view.configuration.voters
        lost = [each for each in sorted(voters) if view.is_lost(each)]
        live = [each for each in voters if view.is_live(each)]
        if isinstance(change, PromoteLearner) and lost and len(live) > (len(voters) - 1) // 2:
            return RemoveMember(lost[0])
        return change


class HastyPromotionGroup(ManagedGroup):
    """Group that promotes a learner at once, whatever its log holds."""

    def decide(self, view: ControlGroupView) -> MembershipChange | None:
        """Promote any learner while voters are missing or lost."""
        learners = sorted(view.configuration.learners)
        voters = view.configuration.voters
        vacancies = view.target_voters - len(voters)
        is_exchange_due = vacancies == 0 and any(map(view.is_lost, voters))
        if learners and (vacancies > 0 or is_exchange_due):
            return PromoteLearner(learners[0])
        return next_group_change(view)
