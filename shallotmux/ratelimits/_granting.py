"""Grant permits under the limits of endpoints: pure functions and the state of one granter."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

#: Time between the first request for permits of an endpoint and the first grant. Another instance may
#: have granted them before; its last permits expire meanwhile, and all instances hear of the change.
HANDOVER_S = 2.0

#: Time after which a granter that nobody asks for permits of an endpoint forgets it.
FORGET_S = 60.0

#: Time after which a request for permits that was not granted is dropped. Instances repeat theirs.
WANT_TTL_S = 0.3

#: Instances that can wait for permits of one endpoint, more than a deployment has. Datagrams may name any.
MAX_WAITING = 1024

#: Permits that may be granted at once after a pause, in seconds of the limit; at least one.
BURST_S = 0.25


def choose_granter(endpoint: int, instances: Iterable[str]) -> str:
    """Return the instance that grants the permits of an endpoint.

    All instances that know the same instances choose the same one, and few endpoints change theirs
    when an instance comes or goes.
    """
    return max(instances, key=lambda each: _weigh(endpoint, each))


def rank_granters(subject: int, instances: Iterable[str]) -> tuple[str, ...]:
    """Return instances in the order in which they are chosen for a subject, the first choice first."""
    return tuple(sorted(instances, key=lambda each: _weigh(subject, each), reverse=True))


def _weigh(subject: int, instance: str) -> bytes:
    return blake2b(f'{subject} {instance}'.encode(), digest_size=8).digest()


@dataclass(slots=True)
class _Bucket:
    """Permits of one endpoint that can be granted, and who waits for them.

    :param filled_until: time up to which permits were added; in the future during a handover.
    :param waiting: number of permits and time of the request, by instance, in order of arrival.
    """

    filled_until: float
    asked_at: float
    permits: float = 0.0
    waiting: OrderedDict[str, tuple[int, float]] = field(default_factory=OrderedDict)

    def refill(self, limit: float, now: float) -> None:
        """Add the permits of the time since the last refill."""
        added = limit * max(0.0, now - self.filled_until)
        self.filled_until = max(self.filled_until, now)
        self.permits = min(max(1.0, limit * BURST_S), self.permits + added)


class PermitGranter:
    """Grants the permits of the endpoints for which this instance was chosen.

    The permits of an endpoint that were granted in any time do not exceed its limit by more than a
    burst. Instances that wait are served in turn, one permit each.
    """

    def __init__(self) -> None:
        self._buckets: dict[int, _Bucket] = {}

    def request(self, endpoint: int, instance: str, count: int, now: float) -> None:
        """Add a request for permits; it replaces an earlier one of the same instance."""
        bucket = self._buckets.get(endpoint)
        if bucket is None or now - bucket.asked_at > FORGET_S:
            bucket = _Bucket(now + HANDOVER_S, now)
            self._buckets[endpoint] = bucket
        bucket.asked_at = now
        bucket.waiting[instance] = (count, now)
        if len(bucket.waiting) > MAX_WAITING:
            bucket.waiting.popitem(last=False)

    def refund(self, endpoint: int, count: int, now: float) -> None:
        """Add permits back that expired unused, unless the former granter granted them."""
        bucket = self._buckets.get(endpoint)
        if bucket is not None and now >= bucket.filled_until:
            bucket.permits += count

    def grant(self, endpoint: int, limit: float, now: float) -> dict[str, int]:
        """Return the permits to grant now, by instance."""
        bucket = self._buckets.get(endpoint)
        granted: dict[str, int] = {}
        if bucket is None:
            return granted
        bucket.refill(limit, now)
        while bucket.permits >= 1 and bucket.waiting:
            instance, (count, asked_at) = bucket.waiting.popitem(last=False)
            if now - asked_at > WANT_TTL_S:
                continue
            bucket.permits -= 1
            granted[instance] = granted.get(instance, 0) + 1
            if count > 1:
                bucket.waiting[instance] = (count - 1, asked_at)
        return granted

    def keep(self, endpoints: Iterable[int]) -> None:
        """Forget the endpoints for which another instance is chosen now."""
        kept = frozenset(endpoints)
        self._buckets = {name: each for name, each in self._buckets.items() if name in kept}

    def endpoints(self) -> tuple[int, ...]:
        """Return the endpoints for which permits were requested."""
        return tuple(self._buckets)
