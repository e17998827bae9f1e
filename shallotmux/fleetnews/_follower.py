"""Copy of a published state at an entry instance."""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from typing import Generic, TypeVar

from shallotmux.fleetnews._messages import NO_STATE, StateChange, StateMark

Item = TypeVar('Item')


class Applied(enum.Enum):
    """What became of a change."""

    #: The state is the one that the change leads to, and is equal to the one before.
    EQUAL = 'equal'
    #: Items were added, changed or removed.
    CHANGED = 'changed'
    #: All items were replaced.
    REPLACED = 'replaced'
    #: The change starts from another state than the present one, and was dropped.
    STALE = 'stale'
    #: The number of items is not that of the publication; the whole is needed.
    GAP = 'gap'


class Follower(Generic[Item]):
    """Copy of one state of one publication.

    :param decode: decodes a value; raises :class:`msgspec.DecodeError` if it is not valid.
    """

    def __init__(self, decode: Callable[[bytes], Item]) -> None:
        self._decode = decode
        self._items: dict[str, Item] = {}
        #: Mark of the state, which the next poll names.
        self.mark = NO_STATE

    @property
    def items(self) -> Mapping[str, Item]:
        """Return the items by key."""
        return self._items

    def has(self, mark: StateMark) -> bool:
        """Return whether the copy has a state."""
        return self.mark == mark

    def apply(self, change: StateChange) -> Applied:
        """Apply a change if it starts from the present state.

        :raises msgspec.DecodeError: if a value is not valid; the copy is as before.
        """
        if change.base != self.mark:
            return Applied.STALE
        values = {key: self._decode(value) for key, value in change.changed}
        if change.is_whole:
            self._items = values
            self.mark = change.mark
            return Applied.REPLACED
        removed = frozenset(change.removed)
        kept = {key: value for key, value in self._items.items() if key not in removed}
        items = kept | values
        if len(items) != change.count:
            self.mark = NO_STATE
            return Applied.GAP
        self.mark = change.mark
        self._items = items
        return Applied.CHANGED if values or removed else Applied.EQUAL
