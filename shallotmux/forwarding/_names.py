"""Names of the headers exchanged with callers and endpoints."""

from __future__ import annotations

from dataclasses import dataclass, fields


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names of one dialect, in lower case.

    :param request_id: identifies one attempt of a caller; endpoints echo it.
    :param deadline: milliseconds until the sender stops waiting.
    :param model: model that a request is for.
    :param token_counts: tokens of the prompt, and maximum tokens of the answer.
    :param prompt_parts: parts of the prompt in order, each with its tokens.
    :param last_event_id: id of the last event received, to resume a stream.
    :param resumed_request: id of the request that brought the first event of a stream to be resumed.
    :param customer: customer for whom a request runs; set by the system alone.
    :param expected_endpoint: endpoint that a request is meant for.
    :param not_run: marks an answer as proof that the request did not run.
    :param load: numbers of running requests, waiting requests and slots of an endpoint, and on some its
        pace in percent.
    :param limit: requests per second that an endpoint takes from all instances together.
    :param leaving: in an answer, tells that the endpoint is about to stop and takes no new work.
    :param priority: urgency of a request at an engine.
    :param role: asks an engine for one phase only, such as prefill.
    :param cache_source: address and handle from which an engine fetches the KV cache of a prompt.
    :param expected_version: version of the model weights that a request is meant for.
    :param pin: milliseconds for which an engine is asked to keep the KV cache of a request.
    :param hold: reservation at an engine that a request uses.
    :param cache_backup: engine to which the KV cache of a running request is copied.
    :param cache_peer: address of an engine from which cached prefixes are fetched.
    :param retry_after: seconds after which a refused request may be retried.
    """

    request_id: bytes = b'x-request-id'
    deadline: bytes = b'x-deadline-ms'
    model: bytes = b'x-model'
    token_counts: bytes = b'x-token-counts'
    prompt_parts: bytes = b'x-prompt-parts'
    last_event_id: bytes = b'last-event-id'
    resumed_request: bytes = b'x-resumed-request'
    customer: bytes = b'x-customer'
    expected_endpoint: bytes = b'x-expect-endpoint'
    not_run: bytes = b'x-not-run'
    load: bytes = b'x-endpoint-load'
    limit: bytes = b'x-endpoint-limit'
    leaving: bytes = b'x-endpoint-leaving'
    priority: bytes = b'x-priority'
    role: bytes = b'x-engine-role'
    cache_source: bytes = b'x-cache-source'
    expected_version: bytes = b'x-expect-version'
    pin: bytes = b'x-cache-pin-ms'
    hold: bytes = b'x-cache-hold'
    cache_backup: bytes = b'x-cache-backup'
    cache_peer: bytes = b'x-cache-peer'
    retry_after: bytes = b'retry-after'

    @property
    def reserved(self) -> frozenset[bytes]:
        """Return the headers that only the system may set."""
        return frozenset(
            (
                self.customer,
                self.expected_endpoint,
                self.not_run,
                self.priority,
                self.role,
                self.cache_source,
                self.expected_version,
                self.pin,
                self.hold,
                self.cache_backup,
                self.cache_peer,
            )
        )

    def __post_init__(self) -> None:
        """Check that all names are in lower case, as headers are compared in lower case."""
        for each in fields(self):
            name = getattr(self, each.name)
            if name != name.lower():
                raise ValueError(f'header name {name!r} is not in lower case')


#: Hop-by-hop headers (RFC 9110, section 7.6.1), and ``expect``, which the receiving hop answers.
CONNECTION_HEADERS = frozenset(
    (
        b'connection',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
