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
    """Return the current document."""
    found = state.apply(ReadDocument('read'))
    assert isinstance(found, DocumentRead)
    return found


def test_highest_version_wins() -> None:
    """Guards against a document replaced by one with a lower or equal version."""
    state = ZoneState()
    assert isinstance(state.apply(PutDocument('1', 4, b'four')), Applied)
    assert isinstance(state.apply(PutDocument('2', 3, b'three')), Applied)
    assert isinstance(state.apply(PutDocument('3', 4, b'other four')), Applied)
    assert read(state) == DocumentRead(4, b'four')
    state.apply(PutDocument('4', 9, b'nine'))
    assert read(state) == DocumentRead(9, b'nine')


def test_read_returns_latest_write() -> None:
    """Guards against a read answered from the stored result of an earlier read."""
    state = ZoneState()
    assert read(state) == DocumentRead(0, b'')
    state.apply(PutDocument('1', 1, b'one'))
    assert read(state).version == 1


def test_encoding_round_trip_of_commands() -> None:
    """Guards against log entries of documents and reports that cannot be decoded."""
    command = PutDocument('1', 4, b'\x00\xff')
    assert decode_command(encode_command(command)) == command
    fixed = FixReport('2', 7, (ReportCount('a', 3),))
    assert decode_command(encode_command(fixed)) == fixed


def test_counts_of_a_fixed_window_do_not_change() -> None:
    """Guards against two reports of the same window with different counts."""
    state = ZoneState()
    state.apply(FixReport('1', 7, (ReportCount('a', 3),)))
    assert isinstance(state.apply(FixReport('2', 7, (ReportCount('a', 4),))), Refused)
    assert isinstance(state.apply(FixReport('3', 6, (ReportCount('a', 1),))), Refused)
    assert [each.counts for each in state.reports.unaccepted()] == [(ReportCount('a', 3),)]


def test_accepted_report_is_not_sent_again() -> None:
    """Guards against reports that are sent for ever or accepted before they are fixed."""
    state = ZoneState()
    assert isinstance(state.apply(AcceptReport('1', 7)), Refused)
    state.apply(FixReport('2', 7, ()))
    state.apply(AcceptReport('3', 7))
    assert not state.reports.unaccepted()


def test_snapshot_holds_document_and_reports() -> None:
    """Guards against a document or report lost in a restart from a snapshot."""
    state = ZoneState()
    state.apply(PutDocument('1', 4, b'four'))
    state.apply(FixReport('2', 7, (ReportCount('a', 3),)))
    restored = ZoneState.restore(state.snapshot())
    assert read(restored) == DocumentRead(4, b'four')
    assert restored.reports.unaccepted() == state.reports.unaccepted()
    assert isinstance(restored.apply(FixReport('3', 7, ())), Refused)


@pytest.mark.parametrize('part', ['document', 'reports'])
def test_snapshot_of_earlier_release_is_read(part: str) -> None:
    """Guards against instances that cannot start from a snapshot of an earlier release."""
    plain = msgspec.msgpack.decode(ZoneState().snapshot())
    plain.pop(part)
    assert ZoneState.restore(msgspec.msgpack.encode(plain)).document.version == 0
