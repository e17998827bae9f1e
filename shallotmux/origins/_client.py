"""Tell control instances of the beginnings of streams, and ask them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

import msgspec
import trio
from eliot import log_message

from shallotmux.errors import ShallotmuxError
from shallotmux.origins._messages import (
    OriginAnswer,
    OriginCall,
    OriginReport,
    decode_origin_answer,
    encode_origin_message,
)
from shallotmux.rendezvous import rank_owners

#: Control instances that are told of one beginning, so that it outlives one of them.
COPIES = 2

#: Control instances that are asked for one beginning. It exceeds :data:`COPIES`, as an instance that did
#: not answer is passed over when a beginning is told.
MAX_ASKED = 4

#: Asked control instances that may leave a question unanswered while the others together still know
#: every beginning that was told: one fewer than the copies.
MAX_UNANSWERED = COPIES - 1

#: Beginnings and questions in one call.
MAX_IN_CALL = 256

#: Calls to one peer at a time. More than one, so that a lost message does not hold up what follows.
MAX_CALLS_IN_FLIGHT = 4

#: Timeout of a call, after which its peer is passed over for a while.
CALL_TIMEOUT_S = 0.6
RETRY_PEER_AFTER_S = 2.0

#: Time for which the first event of a stream waits until a control instance knows its beginning.
ACK_TIMEOUT_S = 0.2

#: Time for which a retry waits for the answers of control instances. Those that answer usually do so
#: within milliseconds; the time is for slow links.
ASK_TIMEOUT_S = 0.6

#: Sends an encoded call to a control instance; returns its encoded answer.
CallControl = Callable[[str, bytes, float], Awaitable[bytes]]


class Question:
    """A wanted beginning, and the answers of the peers that were asked.

    :param asked: number of peers.
    """

    def __init__(self, key: int, asked: int) -> None:
        self.key = key
        self.reports: list[OriginReport] = []
        #: Peers that have not answered.
        self.unanswered = asked
        self._missing = asked
        self.is_settled = trio.Event()

    def record_answer(self, report: OriginReport | None, *, has_answered: bool) -> None:
        """Record what a peer knows, or that it knows nothing or did not answer."""
        self._missing -= 1
        self.unanswered -= has_answered
        if report is not None:
            self.reports.append(report)
        if report is not None or self._missing <= 0:
            self.is_settled.set()


@dataclass(slots=True)
class _Outbox:
    """What waits for the next call to one peer."""

    reports: list[tuple[OriginReport, trio.Event]] = field(default_factory=list)
    questions: list[Question] = field(default_factory=list)
    calls: int = 0
    avoided_until: float = float('-inf')

    def take(self) -> tuple[list[tuple[OriginReport, trio.Event]], list[Question]]:
        """Remove and return the content of the next call."""
        taken = self.reports[:MAX_IN_CALL], self.questions[:MAX_IN_CALL]
        del self.reports[:MAX_IN_CALL]
        del self.questions[:MAX_IN_CALL]
        return taken


class OriginClient:
    """Calls control instances, with a few calls at a time to each.

    What arrives meanwhile goes with the next one, so the number of calls is bounded under load.

    :param peers: returns the names of the control instances.
    """

    def __init__(self, call: CallControl, peers: Callable[[], Sequence[str]]) -> None:
        self._call = call
        self._peers = peers
        self._outboxes: dict[str, _Outbox] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Send calls until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await trio.sleep_forever()
            finally:
                # A request must not start a call in a nursery that has ended.
                self._nursery = None

    def tell(self, report: OriginReport) -> trio.Event:
        """Send a beginning; returns an event that is set once a control instance knows it."""
        is_known = trio.Event()
        ranked = self._rank(report.key)
        now = trio.current_time()
        usable = [each for each in ranked if self._outbox(each).avoided_until <= now]
        for peer in (usable or ranked)[:COPIES]:
            self._outbox(peer).reports.append((report, is_known))
            self._start_calling(peer)
        return is_known

    async def ask(self, key: int) -> Question:
        """Return a question with what the first control instance that knows a beginning reports."""
        peers = self._rank(key)[:MAX_ASKED]
        question = Question(key, len(peers))
        for peer in peers:
            self._outbox(peer).questions.append(question)
            self._start_calling(peer)
        if peers:
            with trio.move_on_after(ASK_TIMEOUT_S):
                await question.is_settled.wait()
        return question

    def _rank(self, key: int) -> list[str]:
        """Return the control instances in an order that all instances compute for a key."""
        peers = self._peers()
        self._outboxes = {name: each for name, each in self._outboxes.items() if name in peers}
        return rank_owners(key.to_bytes(8), peers)

    def _outbox(self, peer: str) -> _Outbox:
        return self._outboxes.setdefault(peer, _Outbox())

    def _start_calling(self, peer: str) -> None:
        outbox = self._outbox(peer)
        if self._nursery is not None and outbox.calls < MAX_CALLS_IN_FLIGHT:
            outbox.calls += 1
            self._nursery.start_soon(self._call_repeatedly, peer, outbox)

    async def _call_repeatedly(self, peer: str, outbox: _Outbox) -> None:
        """Call a peer until nothing waits for it."""
        try:
            while outbox.reports or outbox.questions:
                reports, questions = outbox.take()
                try:
                    answer = await self._send(peer, reports, questions)
                except (ShallotmuxError, msgspec.DecodeError) as error:
                    outbox.avoided_until = trio.current_time() + RETRY_PEER_AFTER_S
                    log_message(
                        message_type='shallotmux:origins-untold',
                        peer=peer,
                        beginnings=len(reports),
                        questions=len(questions),
                        reason=str(error),
                    )
                    answer = None
                _settle(answer, reports, questions)
        finally:
            outbox.calls -= 1

    async def _send(
        self,
        peer: str,
        reports: list[tuple[OriginReport, trio.Event]],
        questions: list[Question],
    ) -> OriginAnswer:
        call = OriginCall(
            tuple(report for report, _ in reports), tuple(each.key for each in questions)
        )
        content = await self._call(peer, encode_origin_message(call), CALL_TIMEOUT_S)
        return decode_origin_answer(content)


def _settle(
    answer: OriginAnswer | None,
    reports: list[tuple[OriginReport, trio.Event]],
    questions: list[Question],
) -> None:
    """Pass the answer of a peer on to those who wait for it; None if there was none."""
    known = {each.key: each for each in answer.known} if answer else {}
    if answer is not None:
        for _, is_known in reports:
            is_known.set()
    for question in questions:
        question.record_answer(known.get(question.key), has_answered=answer is not None)
