"""Parse what workers report of themselves."""

from __future__ import annotations

import msgspec

from shallotmux.decoding import DECODE_ERRORS

#: Path at which a worker reports its state.
REPORT_PATH = '/report'


class _WorkerReport(msgspec.Struct):
    # Unix time of the start in milliseconds.
    born: int | None = None


def read_start(content: bytes) -> int | None:
    """Return the start time in milliseconds that a worker reports, or None if it has none.

    :raises ValueError: if the report is not valid.
    """
    try:
        return msgspec.json.decode(content, type=_WorkerReport).born
    except DECODE_ERRORS as error:
        raise ValueError(str(error)) from error
