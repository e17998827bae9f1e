"""Queued prefill tokens that other instances have told."""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import trio

from shallotmux.fleet._load_messages import LoadMessage, decode_load_message, engine_checksum

#: Age after which the load of a peer is ignored.
LOAD_TTL_S = 1.0

#: Maximum number of senders whose load is remembered, four times as many as send to one instance.
#: Datagrams may name any, and each remembered one may take 35 KB.
MAX_SENDERS = 128

#: Largest number of queued tokens in a message, far beyond what an engine can hold.
MAX_TOKENS = 1 << 40


@dataclass(frozen=True, slots=True)
class _PeerLoad:
    number: int
    at: float
    tokens: dict[int, int]
    is_near: bool


def _is_far(_: str) -> bool:
    return False


class PeerLoads:
    """Queued prefill tokens of the other instances.

    The sum for each engine is kept up to date, since it is read for each engine of each choice.

    :param is_near: returns whether a sender is in the zone of this instance.
    """

    def __init__(self, is_near: Callable[[str], bool] = _is_far) -> None:
        #: Loads by sender, the one received last at the end.
        self._loads: OrderedDict[str, _PeerLoad] = OrderedDict()
        self._totals: Counter[int] = Counter()
        self._near_totals: Counter[int] = Counter()
        self._is_near = is_near

    def receive(self, content: bytes) -> LoadMessage | None:
        """Process a message, and return it; invalid and out-of-order ones are dropped.

        Datagrams may come from anywhere, so an invalid one must not raise.
        """
        try:
            message = decode_load_message(content)
        except msgspec.MsgspecError:
            return None
        if any(not 0 <= tokens <= MAX_TOKENS for tokens in message.tokens.values()):
            return None
        known = self._loads.get(message.sender)
        if known is not None:
            if message.number <= known.number:
                return None
            self._remove(message.sender)
        now = trio.current_time()
        is_near = self._is_near(message.sender)
        self._loads[message.sender] = _PeerLoad(message.number, now, message.tokens, is_near)
        self._totals.update(message.tokens)
        if is_near:
            self._near_totals.update(message.tokens)
        if len(self._loads) > MAX_SENDERS:
            self._remove(next(iter(self._loads)))
        return message

    def tokens_at(self, identity: str, near_scale: float = 1.0, far_scale: float = 1.0) -> float:
        """Return the queued prefill tokens of other instances at an engine.

        :param near_scale: factor on those of the own zone.
        :param far_scale: factor on those of other zones.
        """
        if not self._loads:
            return 0.0
        self._remove_expired()
        engine = engine_checksum(identity)
        total = self._totals.get(engine, 0)
        near = self._near_totals.get(engine, 0)
        return near_scale * near + far_scale * (total - near)

    def _remove_expired(self) -> None:
        oldest = trio.current_time() - LOAD_TTL_S
        while self._loads:
            sender, load = next(iter(self._loads.items()))
            if load.at >= oldest:
                return
            self._remove(sender)

    def _remove(self, sender: str) -> None:
        load = self._loads.pop(sender)
        _subtract(self._totals, load.tokens)
        if load.is_near:
            _subtract(self._near_totals, load.tokens)


def _subtract(totals: Counter[int], tokens: dict[int, int]) -> None:
    for engine, queued in tokens.items():
        totals[engine] -= queued
        if not totals[engine]:
            totals.pop(engine)
