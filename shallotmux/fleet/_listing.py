"""The platform's list of endpoints."""

from __future__ import annotations

import enum
import zlib

import msgspec


class EngineRole(enum.Enum):
    """Phase of inference that an engine runs."""

    #: Runs prefill for other engines.
    PREFILL = 'prefill'
    #: Generates answers; runs prefill more slowly, interleaved with the decoding of other requests.
    DECODE = 'decode'
    #: Runs both phases, or is not an engine.
    MIXED = 'mixed'


class ListedEndpoint(msgspec.Struct, frozen=True):
    """One endpoint of the list.

    :param identity: id of the endpoint, which usually changes when the endpoint restarts.
    :param address: IP address and port; another endpoint may reuse it later.
    :param is_leaving: whether the endpoint accepts no new work.
    :param is_cheap: whether the platform may reclaim the endpoint.
    :param cold_s: remaining warm-up time in seconds, in which the endpoint is slower.
    :param started_ms: start time in milliseconds; tells restarts under the same identity apart.
    :param software_version: version of the endpoint's software, not of a model's weights; empty if it is
        not listed.
    """

    identity: str
    service: str
    address: str
    zone: str
    slots: int = 0
    is_leaving: bool = False
    role: EngineRole = EngineRole.MIXED
    is_cheap: bool = False
    cold_s: float = 0.0
    started_ms: int = 0
    software_version: str = ''

    @property
    def start_number(self) -> int:
        """Return a number that identifies this start of the endpoint in messages."""
        return zlib.crc32(f'{self.identity} {self.started_ms}'.encode())


class Listing(msgspec.Struct, frozen=True):
    """The complete list of endpoints."""

    endpoints: tuple[ListedEndpoint, ...] = ()

    def versions(self) -> frozenset[tuple[str, str]]:
        """Return each service with each software version of its endpoints."""
        return frozenset((each.service, each.software_version) for each in self.endpoints)
