"""Bounded memory of the beginnings of streams."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

import trio

from shallotmux.crashes import digest_subject
from shallotmux.origins._history import MAX_STREAM_LIFE_S
from shallotmux.origins._messages import OriginReport

#: Beginnings that are remembered; the oldest are forgotten.
MAX_ORIGINS = 65_536

#: Version of a stream whose beginning is not certain. No endpoint has it, so nothing continues such a
#: stream.
UNCERTAIN_VERSION = '?'


def make_origin_key(request_id: bytes, target: bytes, customer: str) -> int:
    """Return the key under which the beginning of a stream is known.

    Customer and target are part of it, so that callers who guess ids of others find nothing.

    :param request_id: id of the request that brought the first event.
    """
    return digest_subject(b'\n'.join((request_id, target, customer.encode())))


@dataclass(frozen=True, slots=True)
class Origin:
    """Beginning of a stream.

    :param version: software version of the endpoint that sent its first event.
    :param at: local time of that event.
    """

    service: str
    version: str
    at: float


class OriginStore:
    """Beginnings by their key, for as long as streams can last."""

    def __init__(self) -> None:
        self._origins: OrderedDict[int, Origin] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of beginnings."""
        return len(self._origins)

    def add(self, key: int, origin: Origin) -> Origin:
        """Add a beginning; returns what is known of it now.

        Two different beginnings under one key leave it uncertain which one a caller means.
        """
        known = self._origins.pop(key, None)
        if known is not None and (known.service, known.version) != (origin.service, origin.version):
            origin = Origin(origin.service, UNCERTAIN_VERSION, max(known.at, origin.at))
        self._origins[key] = origin
        self._expire()
        return origin

    def find(self, key: int) -> Origin | None:
        """Return a beginning, or None if it is not known."""
        origin = self._origins.get(key)
        if origin is None or trio.current_time() - origin.at > MAX_STREAM_LIFE_S:
            return None
        return origin

    def list_service(self, service: str, maximum: int) -> list[tuple[int, Origin]]:
        """Return the newest beginnings of a service."""
        found: list[tuple[int, Origin]] = []
        for key, origin in reversed(self._origins.items()):
            if len(found) == maximum:
                break
            if origin.service == service:
                found.append((key, origin))
        return found

    def merge(self, reports: Iterable[OriginReport]) -> None:
        """Add the beginnings that another instance reports."""
        now = trio.current_time()
        for each in reports:
            self.add(each.key, Origin(each.service, each.version, now - max(0.0, each.age_s)))

    def build_reports(self, keys: Iterable[int]) -> tuple[OriginReport, ...]:
        """Return those of the beginnings that are known."""
        found = ((key, self.find(key)) for key in keys)
        return tuple(make_report(key, origin) for key, origin in found if origin is not None)

    def _expire(self) -> None:
        oldest = trio.current_time() - MAX_STREAM_LIFE_S
        while self._origins:
            key, origin = next(iter(self._origins.items()))
            if origin.at >= oldest and len(self._origins) <= MAX_ORIGINS:
                return
            self._origins.pop(key)


def make_report(key: int, origin: Origin) -> OriginReport:
    """Return the report of a beginning."""
    return OriginReport(key, origin.service, origin.version, trio.current_time() - origin.at)
