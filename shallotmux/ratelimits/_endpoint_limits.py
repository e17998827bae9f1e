"""Keep the limits that endpoints name, together with the other instances."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable, Iterable

import msgspec
import trio
from eliot import log_message

from shallotmux.decoding import guard_decoder
from shallotmux.ratelimits._granting import PermitGranter, choose_granter
from shallotmux.ratelimits._known import KnownLimits
from shallotmux.ratelimits._messages import PermitGrant, PermitRequest
from shallotmux.ratelimits._stock import PermitStock
from shallotmux.transport import instance_name

#: Interval between two rounds of requests for permits and grants.
ROUND_INTERVAL_S = 0.1

#: Interval between two log lines that tell to whom permits were granted.
SUMMARY_INTERVAL_S = 5.0

#: Maximum number of endpoints in one message, so that it fits one datagram.
MAX_ENDPOINTS = 32

#: Maximum number of permits for one endpoint in one message.
MAX_GRANTED = 64

#: Maximum number of permits for one endpoint that one message may ask for.
MAX_WANTED = 4096

#: Endpoints whose granter is remembered. Datagrams may name any.
MAX_CHOSEN = 4096

#: Instances that a log line names.
MAX_LOGGED_INSTANCES = 16

#: Maximum number of granters, restarts included, whose last message is remembered.
MAX_GRANTERS = 1024

#: Shortest and longest time after which a caller may return if no endpoint has a permit left.
MIN_RETURN_S = 0.5
MAX_RETURN_S = 5.0

#: Sends a message to an instance.
SendMessage = Callable[[str, bytes], Awaitable[None]]

_decode = guard_decoder(msgspec.msgpack.Decoder(PermitRequest | PermitGrant).decode)


class EndpointLimits:
    """Lets requests pass to endpoints within the limits that they name for all instances together.

    One instance is chosen for each endpoint, by its number and the live instances. It grants permits
    at the rate of the limit to those that ask, so that what one does not need serves another. An
    instance that cannot reach it sends nothing to the endpoint.

    :param instance: address of this instance.
    :param identity: name and incarnation of this instance.
    :param instances: returns the addresses of the live entry instances.
    """

    def __init__(
        self,
        instance: str = '',
        identity: str = '',
        instances: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        self.known = KnownLimits()
        self._instance = instance
        self._identity = identity
        self._instances = instances
        self._stock = PermitStock()
        self._granter = PermitGranter()
        self._number = 0
        #: Permits granted since the last log line, by endpoint and instance.
        self._granted: defaultdict[int, Counter[str]] = defaultdict(Counter)
        self._logged_at = float('-inf')
        #: Permits granted to all instances, and received by this one, since its start.
        self.total_granted = 0
        self.total_received = 0
        #: Granter by endpoint, for the instances named beside.
        self._granters: dict[int, str] = {}
        self._chosen_among: frozenset[str] = frozenset()
        self._received: dict[str, int] = {}

    def has_room(self, endpoint: int) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        if self.known.limit_of(endpoint) is None:
            return True
        if self._stock.count(endpoint, trio.current_time()):
            return True
        self._stock.record_missed(endpoint)
        return False

    def take(self, endpoint: int) -> bool:
        """Use up a permit if the endpoint has a limit; returns whether a request may be sent."""
        if self.known.limit_of(endpoint) is None:
            return True
        return self._stock.take(endpoint, trio.current_time())

    def returns_in(self, endpoints: Iterable[int]) -> float | None:
        """Return the expected time to this instance's next permit; None if none has a limit."""
        limits = [self.known.limit_of(each) for each in endpoints]
        rate = sum(each for each in limits if each is not None)
        if not rate:
            return None
        sharing = len({self._instance, *self._instances()})
        return min(MAX_RETURN_S, max(MIN_RETURN_S, sharing / rate))

    async def run(self, send: SendMessage) -> None:
        """Ask for permits and grant them until cancelled."""
        while True:
            # Most services name no limit; rounds without one would only cost processor time.
            await self.known.wait_for_any()
            await trio.sleep(ROUND_INTERVAL_S)
            for instance, message in self.run_round():
                await send(instance, message)

    def receive(self, content: bytes) -> bool:
        """Process a message; returns whether it is about permits.

        Datagrams may come from anywhere, so an invalid one must not raise.
        """
        try:
            message = _decode(content)
        except msgspec.MsgspecError:
            return False
        match message:
            case PermitRequest():
                self._receive_request(message)
            case PermitGrant():
                self._receive_grant(message)
        return True

    def run_round(self) -> list[tuple[str, bytes]]:
        """Return the messages to send now, each with its receiver."""
        if self.known.is_empty:
            return []
        limits = self.known.limited()
        requests = self._request_permits(limits)
        self._granter.keep(each for each in self._granter.endpoints() if self._is_granter(each))
        grants = [
            message
            for endpoint in self._granter.endpoints()
            for message in self._grant(endpoint, limits.get(endpoint))
        ]
        self._log_granted(limits)
        return [*requests, *grants]

    def _request_permits(self, limits: dict[int, float]) -> list[tuple[str, bytes]]:
        now = trio.current_time()
        unused = self._stock.take_unused(now)
        wanted = self._stock.take_wanted(limits, now)
        by_granter: defaultdict[str, list[int]] = defaultdict(list)
        involved = set(wanted) | set(unused)
        for endpoint in involved:
            by_granter[self._choose_granter(endpoint)].append(endpoint)
        messages: list[tuple[str, bytes]] = []
        for granter, endpoints in by_granter.items():
            named = endpoints[:MAX_ENDPOINTS]
            request = PermitRequest(
                self._instance,
                {each: wanted[each] for each in named if each in wanted},
                self.known.build_reports(named),
                {each: unused[each] for each in named if each in unused},
            )
            if granter == self._instance:
                self._receive_request(request)
            else:
                messages.append((granter, msgspec.msgpack.encode(request)))
        return messages

    def _grant(self, endpoint: int, limit: float | None) -> list[tuple[str, bytes]]:
        messages: list[tuple[str, bytes]] = []
        if limit is None:
            return messages
        for instance, count in self._granter.grant(endpoint, limit, trio.current_time()).items():
            self._granted[endpoint][instance] += count
            self.total_granted += count
            self._number += 1
            grant = PermitGrant(self._identity, self._number, {endpoint: count})
            if instance == self._instance:
                self._add_permits(endpoint, count)
            else:
                messages.append((instance, msgspec.msgpack.encode(grant)))
        return messages

    def _receive_request(self, request: PermitRequest) -> None:
        self.known.merge(request.limits)
        now = trio.current_time()
        for endpoint, count in request.unused.items():
            self._granter.refund(endpoint, max(0, min(count, MAX_GRANTED)), now)
        for endpoint, count in request.wanted.items():
            if self._is_granter(endpoint) and self.known.limit_of(endpoint) is not None:
                wanted = max(1, min(count, MAX_WANTED))
                self._granter.request(endpoint, request.sender, wanted, now)

    def _receive_grant(self, grant: PermitGrant) -> None:
        if grant.number <= self._received.get(grant.sender, 0):
            return
        if len(self._received) > MAX_GRANTERS:
            self._received.clear()
        self._received[grant.sender] = grant.number
        granter = instance_name(grant.sender)
        for endpoint, count in grant.permits.items():
            # Another instance may still believe that it was chosen.
            if self._choose_granter(endpoint) == granter:
                self._add_permits(endpoint, max(0, min(count, MAX_GRANTED)))

    def _add_permits(self, endpoint: int, count: int) -> None:
        self.total_received += count
        self._stock.add(endpoint, count, trio.current_time())

    def _log_granted(self, limits: dict[int, float]) -> None:
        now = trio.current_time()
        if now - self._logged_at < SUMMARY_INTERVAL_S or not self._granted:
            return
        self._logged_at = now
        for endpoint, counts in self._granted.items():
            log_message(
                message_type='shallotmux:permits',
                start=f'{endpoint:08x}',
                limit_per_s=limits.get(endpoint),
                granted=dict(counts.most_common(MAX_LOGGED_INSTANCES)),
                instances=len(counts),
            )
        self._granted.clear()

    def _is_granter(self, endpoint: int) -> bool:
        return self._choose_granter(endpoint) == self._instance

    def _choose_granter(self, endpoint: int) -> str:
        instances = frozenset((self._instance, *self._instances()))
        if instances != self._chosen_among or len(self._granters) >= MAX_CHOSEN:
            self._chosen_among = instances
            self._granters.clear()
        if endpoint not in self._granters:
            self._granters[endpoint] = choose_granter(endpoint, instances)
        return self._granters[endpoint]
