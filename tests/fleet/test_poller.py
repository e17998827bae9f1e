"""Tests of the fleet state on an entry instance."""

from __future__ import annotations

from shallotmux.fleet import FleetView, ListedEndpoint, Listing
from shallotmux.routes import CallerLimits, RouteDocument


def document(version: int) -> RouteDocument:
    """Return a document without routes."""
    return RouteDocument(version, (), (), CallerLimits(), ())


def test_older_documents_are_ignored() -> None:
    """Guards against a lagging control instance that reverts the current document."""
    view = FleetView()
    assert view.apply_document(document(4))
    assert not view.apply_document(document(3))
    assert not view.apply_document(document(4))
    assert view.version == 4


def test_older_lists_are_ignored() -> None:
    """Guards against an older list that brings removed endpoints back."""
    view = FleetView()
    newer = Listing((ListedEndpoint('e-1', 'desk', '10.0.0.1:1', 'a'),))
    view.update_listing(newer, 10)
    view.update_listing(Listing(), 9)
    assert view.listing == newer


def test_equal_lists_do_not_notify_again() -> None:
    """Guards against callbacks for each poll while nothing changes."""
    view = FleetView()
    notified: list[Listing] = []
    view.on_listing.append(notified.append)
    listing = Listing((ListedEndpoint('e-1', 'desk', '10.0.0.1:1', 'a'),))
    view.update_listing(listing, 1)
    view.update_listing(listing, 2)
    assert notified == [listing]
