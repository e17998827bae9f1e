"""Tests of the configuration document and the usage reports in the replicated state."""

from __future__ import annotations

import msgspec
import pytest

from shallotmux.authority import (
    AcceptReport,
    Applied,
    DocumentRead,
    FixReport,
    PutDocument,
    ReadDocument,
    Refused,
    ReportCount,
    ZoneState,
    decode_command,
    encode_command,
)


def read(state: ZoneState) -> DocumentRead:
    """Return the document in force."""
    found = state.apply(ReadDocument('read'))
    assert isinstance(found, DocumentRead)
    return found


def test_highest_version_wins() -> None:
    """Guards against a document that falls back to an older or another content."""
    state = ZoneState()
    assert isinstance(state.apply(PutDocument('1', 4, b'four')), Applied)
    assert isinstance(state.apply(PutDocument('2', 3, b'three')), Applied)
    assert isinstance(state.apply(PutDocument('3', 4, b'other four')), Applied)
    assert read(state) == DocumentRead(4, b'four')
    state.apply(PutDocument('4', 9, b'nine'))
    assert read(state) == DocumentRead(9, b'nine')


def test_read_shows_what_came_before_it() -> None:
    """Guards against a read that is answered from the result of an earlier one."""
    state = ZoneState()
    assert read(state) == DocumentRead(0, b'')
    state.apply(PutDocument('1', 1, b'one'))
    assert read(state).version == 1


def test_commands_keep_their_form() -> None:
    """Guards against a log whose document entries cannot be read again."""
    command = PutDocument('1', 4, b'\x00\xff')
    assert decode_command(encode_command(command)) == command
    fixed = FixReport('2', 7, (ReportCount('a', 3),))
    assert decode_command(encode_command(fixed)) == fixed


def test_first_counts_of_a_window_stay() -> None:
    """Guards against two reports of one window with different counts."""
    state = ZoneState()
    state.apply(FixReport('1', 7, (ReportCount('a', 3),)))
    assert isinstance(state.apply(FixReport('2', 7, (ReportCount('a', 4),))), Refused)
    assert isinstance(state.apply(FixReport('3', 6, (ReportCount('a', 1),))), Refused)
    assert [each.counts for each in state.reports.unaccepted()] == [(ReportCount('a', 3),)]


def test_accepted_report_is_not_sent_again() -> None:
    """Guards against reports that wait for ever, and ones accepted before they were fixed."""
    state = ZoneState()
    assert isinstance(state.apply(AcceptReport('1', 7)), Refused)
    state.apply(FixReport('2', 7, ()))
    state.apply(AcceptReport('3', 7))
    assert not state.reports.unaccepted()


def test_snapshot_holds_document_and_reports() -> None:
    """Guards against a configuration or report that a restart from a snapshot loses."""
    state = ZoneState()
    state.apply(PutDocument('1', 4, b'four'))
    state.apply(FixReport('2', 7, (ReportCount('a', 3),)))
    restored = ZoneState.restore(state.snapshot())
    assert read(restored) == DocumentRead(4, b'four')
    assert restored.reports.unaccepted() == state.reports.unaccepted()
    assert isinstance(restored.apply(FixReport('3', 7, ())), Refused)


@pytest.mark.parametrize('part', ['document', 'reports'])
def test_snapshot_of_earlier_release_is_read(part: str) -> None:
    """Guards against instances that cannot start on the disk of an earlier release."""
    plain = msgspec.msgpack.decode(ZoneState().snapshot())
    plain.pop(part)
    assert ZoneState.restore(msgspec.msgpack.encode(plain)).document.version == 0
