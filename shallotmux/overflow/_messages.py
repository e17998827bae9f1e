"""What instances tell each other about overflow between zones."""

from __future__ import annotations

import msgspec


class ServiceUse(msgspec.Struct, frozen=True, array_like=True):
    """Recent use of one service by the callers of one instance, wherever their requests were sent.

    :param requests_per_s: requests per second.
    :param service_ms: time for which a request occupies a slot, without waiting; 0 while unknown.
    :param kilobytes: mean size of a request and its response.
    """

    service: str
    requests_per_s: float
    service_ms: float = 0.0
    kilobytes: float = 0.0

    @property
    def work(self) -> float:
        """Return the number of slots that the requests occupy, on the average."""
        return self.requests_per_s * self.service_ms / 1000


class OverflowShare(msgspec.Struct, frozen=True, array_like=True):
    """Share of the requests for a service in one zone that are sent to a zone, which may be the same.

    The shares of a service and zone sum up to 1.
    """

    service: str
    from_zone: str
    to_zone: str
    share: float
