"""Accounting of the disks that count as lost in a simulated group."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class LostDisks:
    """Instances whose disk is lost and not made up for yet.

    A lost disk counts until its instance is back, or a new one has taken its place, and the group
    has then had time to replace the voter. That time starts again if the group is interrupted by
    more losses than it tolerates.

    :param replace_s: time that the group is given to replace a voter.
    """

    tolerated: int
    replace_s: float
    _remaining_s: dict[str, float] = field(default_factory=dict)
    _missing: list[str] = field(default_factory=list)

    @property
    def counting(self) -> frozenset[str]:
        """Return the instances whose loss counts."""
        return frozenset(self._remaining_s)

    @property
    def missing(self) -> tuple[str, ...]:
        """Return the instances that are not back and have no successor, the oldest loss first."""
        return tuple(self._missing)

    def may_lose(self, instance: str) -> bool:
        """Return whether an instance may lose its disk now."""
        return len(self.counting | {instance}) <= self.tolerated

    def lose(self, instance: str) -> None:
        """Record that an instance has lost its disk."""
        self._remaining_s[instance] = self.replace_s
        if instance not in self._missing:
            self._missing.append(instance)

    def restore(self, instance: str) -> None:
        """Record that an instance is back, or that a new one takes its place."""
        if instance in self._missing:
            self._missing.remove(instance)

    def advance(self, elapsed_s: float, *, is_interrupted: bool) -> None:
        """Let time pass.

        :param is_interrupted: whether more instances are lost than the group tolerates.
        """
        for instance in sorted(self.counting - set(self._missing)):
            if is_interrupted:
                self._remaining_s[instance] = self.replace_s
                continue
            self._remaining_s[instance] -= elapsed_s
            if self._remaining_s[instance] <= 0:
                self._remaining_s.pop(instance)
