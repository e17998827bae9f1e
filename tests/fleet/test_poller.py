"""Tests of the fleet state on an entry instance."""

from __future__ import annotations

import trio
import trio.testing

from shallotmux.errors import DocumentInvalid
from shallotmux.fleet import (
    FleetPoller,
    FleetView,
    Knowledge,
    ListedEndpoint,
    Listing,
    TrueClock,
    encode_fleet_message,
)
from shallotmux.routes import CallerLimits, RouteDocument
from shallotmux.transport import ForwardAnswer
from tests.support.log_lines import capture_lines


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


class OddNetwork:
    """Answers each poll with names of entry instances that no address can have."""

    async def forward(
        self, peer: str, group: str, command: bytes, timeout_s: float
    ) -> ForwardAnswer:
        """Return names of which one is an address."""
        names = ('10.0.0.1:7', 'x', '', '10.0.0.2:99999')
        knowledge = Knowledge(0, b'', (), None, 0, names, 0, neighbours=names)
        return ForwardAnswer(encode_fleet_message(knowledge))


async def test_names_that_are_no_addresses_are_ignored(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a process that ends because another one named itself oddly in a poll."""
    poller = FleetPoller(
        '10.0.0.1:7~1', OddNetwork(), ('10.0.0.9:7',), lambda _: document(1), TrueClock(), tuple
    )
    with trio.move_on_after(2):
        await poller.run()
    assert poller.view.entries == ('10.0.0.1:7',)
    assert poller.view.neighbours == ('10.0.0.1:7',)


class DocumentNetwork:
    """Answers each poll with a document."""

    async def forward(
        self, peer: str, group: str, command: bytes, timeout_s: float
    ) -> ForwardAnswer:
        """Return a document that another version of the program has accepted."""
        return ForwardAnswer(encode_fleet_message(Knowledge(0, b'{}', (), None, 0, (), 0)))


async def test_document_that_stays_unreadable_does_not_fill_the_log(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against five lines a second while an instance of another version refuses a document."""

    def refuse(content: bytes) -> RouteDocument:
        raise DocumentInvalid('routes: unknown kind', step='decode')

    poller = FleetPoller(
        '10.0.0.1:7~1', DocumentNetwork(), ('10.0.0.9:7',), refuse, TrueClock(), tuple
    )
    with capture_lines('shallotmux:document-unreadable') as lines, trio.move_on_after(30):
        await poller.run()
    assert 3 <= len(lines) <= 4
    assert lines[-1]['count'] > 50
