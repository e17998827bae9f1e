"""Copy of the list of endpoints that a control instance publishes."""

from __future__ import annotations

from shallotmux.fleet._listing import ListedEndpoint, Listing
from shallotmux.fleet._members import build_listing, decode_endpoint
from shallotmux.fleetnews import Applied, Follower, StateChange, StateMark


class ListingCopy:
    """Follows the changes of a published list; its list is the same object until one changes it."""

    def __init__(self) -> None:
        self._follower: Follower[ListedEndpoint] = Follower(decode_endpoint)
        self.listing = Listing()

    @property
    def mark(self) -> StateMark:
        """Return the mark of the state, which the next request names."""
        return self._follower.mark

    def has(self, mark: StateMark) -> bool:
        """Return whether the copy has a state."""
        return self._follower.has(mark)

    def apply(self, change: StateChange) -> Applied:
        """Apply a change if it starts from the present state.

        :raises msgspec.DecodeError: if a value is not valid; the copy is as before.
        """
        applied = self._follower.apply(change)
        if applied in {Applied.CHANGED, Applied.REPLACED}:
            self.listing = build_listing(self._follower.items)
        return applied
