"""States that a control instance publishes to the entry instances."""

from __future__ import annotations

from shallotmux.fleet import FleetMembers, Listing, encode_endpoints, encode_members
from shallotmux.fleetnews import Publication


class FleetPublications:
    """The list of endpoints and the members of the fleet, each with its own positions.

    :param epoch: random number of this incarnation, not 0.
    """

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.endpoints = Publication(epoch)
        self.members = Publication(epoch)
        self._listing: Listing | None = None
        self._members: FleetMembers | None = None

    def update_listing(self, listing: Listing) -> None:
        """Publish a list of endpoints."""
        if listing != self._listing:
            self._listing = listing
            self.endpoints.update(encode_endpoints(listing))

    def update_members(self, members: FleetMembers) -> None:
        """Publish the live entry instances and the control instances."""
        if members != self._members:
            self._members = members
            self.members.update(encode_members(members))
