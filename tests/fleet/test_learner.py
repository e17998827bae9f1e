"""Tests of what an entry instance keeps of what it learns."""

from __future__ import annotations

from shallotmux.fleet import FleetView, ListedEndpoint, Listing
from shallotmux.routes import CallerLimits, RouteDocument


def document(version: int) -> RouteDocument:
    """Return a document without routes."""
    return RouteDocument(version, (), (), CallerLimits(), ())


def test_documents_only_move_forward() -> None:
    """Guards against a control instance that is behind and takes back what is in force."""
    view = FleetView()
    assert view.apply_document(document(4))
    assert not view.apply_document(document(3))
    assert not view.apply_document(document(4))
    assert view.version == 4


def test_lists_only_move_forward() -> None:
    """Guards against an older list that brings endpoints back which are gone."""
    view = FleetView()
    newer = Listing((ListedEndpoint('e-1', 'desk', '10.0.0.1:1', 'a'),))
    view.update_listing(newer, 10)
    view.update_listing(Listing(), 9)
    assert view.listing == newer


def test_equal_lists_are_not_told_again() -> None:
    """Guards against work for each poll while nothing changes."""
    view = FleetView()
    told: list[Listing] = []
    view.on_listing.append(told.append)
    listing = Listing((ListedEndpoint('e-1', 'desk', '10.0.0.1:1', 'a'),))
    view.update_listing(listing, 1)
    view.update_listing(listing, 2)
    assert told == [listing]
