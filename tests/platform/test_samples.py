"""Tests of what stand-ins of the platform send."""

from __future__ import annotations

import pytest

from shallotmux.errors import DocumentInvalid
from shallotmux.platform import decode_document
from shallotmux.platform._samples import (
    encode_document,
    encode_invalid_documents,
    read_document_items,
    read_document_version,
)
from shallotmux.routes import check_document


@pytest.mark.parametrize('number', range(len(encode_invalid_documents(1, 'desk', '/a/'))))
def test_invalid_sample_is_refused(number: int) -> None:
    """Guards against a soak that sends valid configurations as invalid ones."""
    content = encode_invalid_documents(1, 'desk', '/a/')[number]
    with pytest.raises(DocumentInvalid):
        check_document(decode_document(content))


def test_sample_is_valid_and_can_be_read_back() -> None:
    """Guards against checks on a configuration that was never in force."""
    content = encode_document(7, 'desk', 2, ('/a/', '/b/'), ('key-1', 'key-2'))
    check_document(decode_document(content))
    assert read_document_version(content) == 7
    items = read_document_items(content)
    assert items >= {'/a/', '/b/', 'key-1', 'key-2', '/safe/', '/unsafe/', '/stream/', '/keyed/'}
    assert not any('padding' in each for each in items)
