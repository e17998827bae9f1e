"""Limits that endpoints name, as known to one instance."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass

import trio
from eliot import log_message

from shallotmux.ratelimits._messages import LimitReport

#: Time after which a limit that no answer has repeated is forgotten.
LIMIT_TTL_S = 600.0

#: Maximum number of limits that are remembered, and in one report.
MAX_LIMITS = 256
MAX_REPORTED = 64

#: Time by which a reported observation must be newer than the known one to replace it. Reports look
#: newer by the time of each transfer, and would otherwise circulate for ever.
MIN_NEWER_S = 0.25

#: Largest limit that is believed; an endpoint with a larger one needs none.
MAX_LIMIT_PER_S = 1e5

#: Limit of an endpoint that names none any more.
LIFTED = -1.0


@dataclass(frozen=True, slots=True)
class _Observation:
    limit: float
    at: float


def parse_limit(text: bytes | None) -> float | None:
    """Return the limit in a header of an answer; None if there is none, or it is no such number."""
    if text is None or b'_' in text:
        return None
    try:
        limit = float(text)
    except ValueError:
        return None
    return limit if 0 <= limit <= MAX_LIMIT_PER_S else None


def _is_in_range(report: LimitReport) -> bool:
    is_limit = report.limit == LIFTED or 0 <= report.limit <= MAX_LIMIT_PER_S
    return is_limit and math.isfinite(report.age_s)


class KnownLimits:
    """Limits by the number of an endpoint's start; the newest observation of any instance counts."""

    def __init__(self) -> None:
        self._observations: dict[int, _Observation] = {}
        self._first_known: trio.Event | None = None

    @property
    def is_empty(self) -> bool:
        """Return whether nothing is known of any limit."""
        return not self._observations

    async def wait_for_any(self) -> None:
        """Wait until something is known of a limit."""
        if self.is_empty:
            self._first_known = self._first_known or trio.Event()
            await self._first_known.wait()

    def limit_of(self, endpoint: int) -> float | None:
        """Return the limit of an endpoint in requests per second, or None."""
        known = self._observations.get(endpoint)
        if known is None or known.limit < 0 or trio.current_time() - known.at > LIMIT_TTL_S:
            return None
        return known.limit

    def limited(self) -> dict[int, float]:
        """Return all limits by endpoint."""
        found = ((endpoint, self.limit_of(endpoint)) for endpoint in self._observations)
        return {endpoint: limit for endpoint, limit in found if limit is not None}

    def observe(self, endpoint: int, limit: float | None, sent_at: float) -> None:
        """Record what an answer said.

        :param limit: limit in the answer, None if it names none.
        :param sent_at: local time at which the request was sent. An answer to an earlier one does not
            tell that a limit has ended.
        """
        known = self._observations.get(endpoint)
        if limit is None and (known is None or sent_at <= known.at):
            return
        self._set(endpoint, LIFTED if limit is None else limit, trio.current_time())

    def merge(self, reports: Iterable[LimitReport]) -> None:
        """Merge the observations of another instance; those out of range are ignored."""
        now = trio.current_time()
        for each in filter(_is_in_range, reports):
            at = now - max(0.0, each.age_s)
            known = self._observations.get(each.endpoint)
            if known is None or at > known.at + MIN_NEWER_S:
                self._set(each.endpoint, each.limit, at)

    def build_reports(self, endpoints: Collection[int] | None = None) -> tuple[LimitReport, ...]:
        """Return the newest observations for other instances.

        :param endpoints: endpoints to report on; None for all.
        """
        now = trio.current_time()
        self._observations = {
            endpoint: each
            for endpoint, each in self._observations.items()
            if now - each.at <= LIMIT_TTL_S
        }
        newest = sorted(self._observations.items(), key=lambda item: item[1].at, reverse=True)
        return tuple(
            LimitReport(endpoint, each.limit, now - each.at)
            for endpoint, each in newest[:MAX_REPORTED]
            if endpoints is None or endpoint in endpoints
        )

    def _set(self, endpoint: int, limit: float, at: float) -> None:
        if self._first_known is not None:
            self._first_known.set()
            self._first_known = None
        known = self._observations.pop(endpoint, None)
        self._observations[endpoint] = _Observation(limit, at)
        if len(self._observations) > MAX_LIMITS:
            self._observations.pop(next(iter(self._observations)))
        if known is None or known.limit != limit:
            log_message(
                message_type='shallotmux:endpoint-limit',
                start=f'{endpoint:08x}',
                limit_per_s=None if limit < 0 else limit,
                age_s=round(trio.current_time() - at, 2),
            )
