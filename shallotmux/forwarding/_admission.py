"""Authenticate and route a request, or refuse it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from shallotmux.forwarding._headers import parse_duration_ms
from shallotmux.forwarding._job import Job
from shallotmux.forwarding._messages import CallerRequest, Reply
from shallotmux.forwarding._names import HeaderNames
from shallotmux.forwarding._refusals import Refusal, refuse_not_run
from shallotmux.placement import Prompt
from shallotmux.routes import DocumentCustomer, ForwardedRoute, RouteTable, choose_service

#: Retry-after time for requests that arrive before the first configuration is loaded.
RETRY_UNCONFIGURED_S = 0.3


@dataclass(frozen=True, slots=True)
class Dialect:
    """Header names and formats that callers and endpoints of a deployment use.

    :param names: header names.
    :param key_scheme: ``Authorization`` scheme under which customers send their keys.
    :param read_prompt: parses the prompt description of a request; returns None if there is none.
    :param read_handle: parses the KV cache handle in the body of a prefill answer; returns None if
        there is none.
    :param prefill_headers: headers that ask an engine to prefill a prompt without generating.
    :param report_path: path at which an endpoint of a streaming route tells when it started; empty if
        endpoints do not tell.
    :param read_start: parses that answer; returns the start time in milliseconds, or None if it has
        none. Raises :exc:`ValueError` for an invalid answer.
    :param read_tokens: returns the tokens that a request names, for quotas; None if it names none.
    """

    names: HeaderNames = field(default_factory=HeaderNames)
    key_scheme: str = 'Bearer'
    read_prompt: Callable[[CallerRequest], Prompt | None] = lambda _: None
    read_handle: Callable[[bytes], str | None] = lambda _: None
    prefill_headers: tuple[tuple[bytes, bytes], ...] = ()
    report_path: str = ''
    read_start: Callable[[bytes], int | None] = lambda _: None
    read_tokens: Callable[[CallerRequest], int | None] = lambda _: None


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request that was admitted, as a job to forward."""

    job: Job


def admit_request(
    request: CallerRequest,
    reply: Reply,
    table: RouteTable | None,
    dialect: Dialect,
    draw: Callable[[], float],
) -> Admitted | Refusal:
    """Return the job for a request, or its refusal.

    :param draw: returns random numbers in [0, 1), for routes that split traffic among services.
    """
    if table is None:
        return refuse_not_run('no configuration yet', RETRY_UNCONFIGURED_S)
    if not request.target.startswith(b'/'):
        return Refusal(400, 'the target is no path')
    route = table.find_route(request.text(b'host'), request.path)
    if route is None:
        return Refusal(404, 'no route')
    customer = None
    if table.needs_keys and not route.is_open:
        customer = table.find_customer(_parse_key(request, dialect.key_scheme))
        if customer is None:
            return Refusal(401, 'unknown key')
    request_id = request.header(dialect.names.request_id)
    if not request_id:
        return Refusal(400, 'the request has no id')
    if any(
        name == dialect.names.request_id and text != request_id for name, text in request.headers
    ):
        return Refusal(400, 'the request has two ids')
    return Admitted(
        _build_job(
            request,
            reply,
            route,
            customer,
            dialect,
            choose_service(route, draw()),
            table.document.version,
        )
    )


def _build_job(
    request: CallerRequest,
    reply: Reply,
    route: ForwardedRoute,
    customer: DocumentCustomer | None,
    dialect: Dialect,
    service: str,
    document_version: int,
) -> Job:
    caller_timeout_ms = parse_duration_ms(request.header(dialect.names.deadline))
    limit_ms = (
        route.timeout_ms if caller_timeout_ms is None else min(caller_timeout_ms, route.timeout_ms)
    )
    priority = route.priority
    if customer is not None and customer.priority is not None:
        priority = customer.priority
    quota = None if customer is None else customer.quota
    return Job(
        request,
        reply,
        route,
        service,
        request.header(dialect.names.request_id) or b'',
        request.received_at + limit_ms / 1000,
        customer='' if customer is None else customer.name,
        priority=priority,
        prompt=dialect.read_prompt(request) if route.has_prompt else None,
        document_version=document_version,
        quota_amount=quota.amount_of(dialect.read_tokens(request)) if quota else 0.0,
    )


def _parse_key(request: CallerRequest, scheme: str) -> str:
    """Return the key in the ``Authorization`` header, or an empty string."""
    given, _, key = request.text(b'authorization').partition(' ')
    return key.strip() if given.lower() == scheme.lower() else ''
