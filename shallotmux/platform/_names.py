"""Header names and paths of the platform."""

from __future__ import annotations

from shallotmux.forwarding import HeaderNames

HEADERS = HeaderNames(
    request_id=b'x-shallotmux-request-id',
    deadline=b'x-shallotmux-deadline-ms',
    model=b'x-shallotmux-model',
    token_counts=b'x-shallotmux-token-counts',
    # Contains the ids and sizes of all parts of the prompt, not a hash of a prefix.
    prompt_parts=b'x-shallotmux-prefix-hash',
    last_event_id=b'last-event-id',
    resumed_request=b'resumes',
    customer=b'x-shallotmux-tenant',
    expected_endpoint=b'x-shallotmux-expect-instance',
    not_run=b'x-shallotmux-not-executed',
    load=b'x-shallotmux-instance-load',
    limit=b'server-limit',
    leaving=b'server-leaving',
    priority=b'x-shallotmux-request-priority',
    role=b'x-shallotmux-stage',
    cache_source=b'x-shallotmux-kv-source',
    expected_version=b'x-shallotmux-expect-version',
    pin=b'x-shallotmux-pin-ms',
    hold=b'x-shallotmux-kv-hold',
    cache_backup=b'x-shallotmux-kv-backup',
    cache_peer=b'kv-fetch',
)

#: Headers with the name of the instance that is authorized to call, and with its fencing token.
HOLDER_HEADER = b'X-Shallotmux-Duty-Holder'
FENCING_TOKEN_HEADER = b'X-Shallotmux-Fence-Token'

#: Paths at which operators submit and read the configuration.
PUT_PATH = '/Config.Put'
GET_PATH = '/Config.Get'
