"""Headers and formats that callers and workers of the platform use."""

from __future__ import annotations

from shallotmux.forwarding import Dialect
from shallotmux.platform._names import HEADERS
from shallotmux.platform._prompts import read_handle, read_prompt, read_tokens
from shallotmux.platform._worker_reports import REPORT_PATH, read_start

DIALECT = Dialect(
    names=HEADERS,
    key_scheme='Token',
    read_prompt=read_prompt,
    read_handle=read_handle,
    prefill_headers=((HEADERS.role, b'prefill'),),
    report_path=REPORT_PATH,
    read_start=read_start,
    read_tokens=read_tokens,
)
