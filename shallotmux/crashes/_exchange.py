"""Exchange of crash records with the control instances, each change once."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from shallotmux.crashes._messages import CrashNews, Position
from shallotmux.crashes._records import CrashRecords


@dataclass(frozen=True, slots=True)
class _PeerState:
    """What a peer has received and sent.

    :param received: position of the peer's news up to which they were merged.
    :param sent: number of the own change up to which this start of the peer has received them.
    """

    received: Position = Position()
    sent: int = 0


class CrashExchange:
    """Remembers which changes each control instance has, so that polls contain only new ones.

    A control instance that has restarted knows nothing, and is sent everything again.
    """

    def __init__(self, records: CrashRecords) -> None:
        self._records = records
        self._peers: dict[str, _PeerState] = {}

    def build(self, peer: str) -> tuple[CrashNews, Position]:
        """Return the news for a peer, and the position of its own news that this instance has."""
        state = self._peers.get(peer, _PeerState())
        after = Position(self._records.source, state.sent)
        return self._records.build_news(after), state.received

    def apply(self, peer: str, sent: CrashNews, answer: CrashNews) -> None:
        """Merge the answer of a peer, which has received what was sent."""
        self._records.merge(answer)
        state = self._peers.get(peer, _PeerState())
        known = state.received
        if known.source not in {0, answer.source}:
            self._peers[peer] = _PeerState(Position(answer.source, answer.number))
            return
        number = max(known.number, answer.number)
        self._peers[peer] = _PeerState(
            Position(answer.source, number), max(state.sent, sent.number)
        )

    def keep(self, peers: Collection[str]) -> None:
        """Forget all other peers."""
        self._peers = {name: state for name, state in self._peers.items() if name in peers}
