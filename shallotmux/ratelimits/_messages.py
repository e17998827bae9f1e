"""Messages between instances about the limits that endpoints name, and permits under them."""

from __future__ import annotations

import msgspec


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """Limit that an endpoint named, or that it names none any more.

    :param endpoint: identifies one start of the endpoint.
    :param limit: requests per second from all instances together; negative if there is none.
    :param age_s: time since the endpoint said so.
    """

    endpoint: int
    limit: float
    age_s: float


class PermitRequest(msgspec.Struct, frozen=True, array_like=True, tag='permits-wanted'):
    """Request for permits to send requests to endpoints that the receiver grants them for.

    :param sender: name of the instance.
    :param wanted: number of permits by endpoint.
    :param limits: limits of these endpoints, as the sender knows them.
    :param unused: number of permits that expired unused since the last message, by endpoint.
    """

    sender: str
    wanted: dict[int, int]
    limits: tuple[LimitReport, ...]
    unused: dict[int, int]


class PermitGrant(msgspec.Struct, frozen=True, array_like=True, tag='permits'):
    """Permits for one instance, which expire soon.

    :param sender: name and incarnation of the instance that grants them.
    :param number: sequence number, by which duplicate messages are detected.
    :param permits: number of permits by endpoint.
    """

    sender: str
    number: int
    permits: dict[int, int]
