"""Send the leader's plans to the other control instances."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import trio
from eliot import log_message

from shallotmux.errors import ShallotmuxError
from shallotmux.plannedchanges._book import Plan, PlanBook
from shallotmux.plannedchanges._held import HeldPlans
from shallotmux.plannedchanges._messages import (
    PLANS_GROUP,
    PlanReport,
    decode_plan_report,
    encode_plan_report,
)
from shallotmux.transport import ForwardAnswer, PeerNetwork, Refusal

#: Interval at which plans are sent again, so that an instance that missed them learns of them.
REFRESH_INTERVAL_S = 0.5

#: Timeout of a call with plans. The delay of orders allows for it.
CALL_TIMEOUT_S = 0.5


class PlanPublisher:
    """Sends all plans at each change, and repeats them while there are any.

    :param peers: returns the names of the control instances.
    :param leads: returns whether this instance may act as leader in a term.
    :param held: plans that this instance answers polls with.
    """

    def __init__(
        self,
        name: str,
        network: PeerNetwork,
        peers: Callable[[], tuple[str, ...]],
        book: PlanBook,
        leads: Callable[[int], bool],
        held: HeldPlans,
    ) -> None:
        self._name = name
        self._network = network
        self._peers = peers
        self._book = book
        self._leads = leads
        self._held = held
        self._has_changed = trio.Event()
        book.on_step.append(self._notice_change)

    async def run(self) -> None:
        """Publish until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                with trio.move_on_after(REFRESH_INTERVAL_S):
                    await self._has_changed.wait()
                self._has_changed = trio.Event()
                self._publish(nursery)

    def _notice_change(self, plan: Plan, reason: str) -> None:
        self._has_changed.set()

    def _publish(self, nursery: trio.Nursery) -> None:
        now = trio.current_time()
        plans = self._book.report(now)
        if not plans or not self._leads(self._book.term):
            return
        self._held.merge(plans, now)
        content = encode_plan_report(PlanReport(plans))
        for peer in self._peers():
            if peer != self._name:
                # An instance that does not answer must not delay the others.
                nursery.start_soon(self._send, peer, content)

    async def _send(self, peer: str, content: bytes) -> None:
        try:
            await self._network.forward(peer, PLANS_GROUP, content, CALL_TIMEOUT_S)
        except ShallotmuxError as error:
            log_message(
                message_type='shallotmux:plans-unsent', level='debug', peer=peer, error=str(error)
            )


def answer_plan_report(held: HeldPlans, payload: bytes) -> ForwardAnswer:
    """Merge the plans of a leader, and return the answer to it."""
    try:
        report = decode_plan_report(payload)
    except msgspec.DecodeError as error:
        return ForwardAnswer(refusal=Refusal.INVALID, detail=str(error))
    held.merge(report.plans, trio.current_time())
    return ForwardAnswer()
