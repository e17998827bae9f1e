"""Tests that data and messages of the previous landing stay readable, and that this one's do there.

The files in ``data`` were written by the sources of 5d05a53.
"""

from __future__ import annotations

import json
import shutil
from base64 import b64decode
from pathlib import Path

import msgspec

from shallotmux.authority import GroupState
from shallotmux.replication import (
    AppendRequest,
    Effects,
    HardState,
    LogOffer,
    SnapshotRequest,
    decode_envelope,
    encode_envelope,
)
from shallotmux.storage import GroupStore
from shallotmux.storage._records import RecordReader

DATA = Path(__file__).parent / 'data'


def copy_group(folder: Path) -> Path:
    return Path(shutil.copytree(DATA / 'group-5d05a53', folder / 'group'))


def read_shape(path: Path) -> dict[str, type]:
    """Return the fields of the first record of a file, with the types of their content."""
    with path.open('rb') as file:
        payload = next(iter(RecordReader(file)))
    fields = msgspec.msgpack.decode(payload)
    return {name: type(content) for name, content in fields.items()}


def test_stored_group_of_the_previous_build_is_read(tmp_path: Path) -> None:
    """Guards against an upgrade that loses what was acknowledged."""
    store = GroupStore(copy_group(tmp_path))
    stored = store.load()
    store.close()
    assert stored is not None
    assert stored.hard_state == HardState(3, 'b:1')
    assert stored.snapshot is not None
    assert [each.index for each in stored.entries] == [4, 5, 6]
    state = GroupState()
    state.restore(stored.snapshot.index, stored.snapshot.term, stored.snapshot.payload)
    for entry in stored.entries:
        state.apply(entry)
    assert (state.zone.document.version, state.zone.document.content) == (6, b'{"version":6}')


def test_log_is_written_as_the_previous_build_writes_it(tmp_path: Path) -> None:
    """Guards against a downgrade, or an older build that takes over a disk, that cannot read it."""
    previous = GroupStore(copy_group(tmp_path))
    stored = previous.load()
    assert stored is not None
    previous.close()
    store = GroupStore(tmp_path / 'new')
    store.load()
    entries = stored.entries
    store.save(Effects(stored.hard_state, entries[:1], stored.snapshot))
    store.save(Effects(entries=entries[1:2]))
    store.save(Effects(stored.hard_state, entries[2:]))
    store.close()
    for name in ('log', 'snapshot'):
        assert read_shape(tmp_path / 'new' / name) == read_shape(DATA / 'group-5d05a53' / name)
    reopened = GroupStore(tmp_path / 'new')
    assert reopened.load() == stored
    reopened.close()


def test_messages_of_the_previous_build_are_read_and_written_alike() -> None:
    """Guards against members of two builds that do not understand each other in an upgrade."""
    recorded = json.loads((DATA / 'messages-5d05a53.json').read_text(encoding='ascii'))
    payloads = [b64decode(each) for each in recorded]
    messages = [decode_envelope(each) for each in payloads]
    assert [encode_envelope(each) for each in messages] == payloads
    kinds = {type(each.message) for each in messages}
    assert len(messages) == len(kinds) == 7
    assert {AppendRequest, SnapshotRequest, LogOffer} <= kinds


def test_unknown_fields_of_messages_are_ignored() -> None:
    """Guards against a field added later that ends the exchange with older members."""
    recorded = json.loads((DATA / 'messages-5d05a53.json').read_text(encoding='ascii'))
    for each in recorded:
        content = msgspec.msgpack.decode(b64decode(each))
        content['message']['added_later'] = 1
        assert decode_envelope(msgspec.msgpack.encode(content)) == decode_envelope(b64decode(each))
