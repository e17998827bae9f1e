"""Charge requests to the quotas of customers, together with the other instances."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from contextlib import suppress

import msgspec
import trio
from prometheus_client import CollectorRegistry

from shallotmux.quotas._messages import decode_quota_message, encode_quota_message
from shallotmux.quotas._node import Asked, Charge, OverQuota, QuotaNode
from shallotmux.quotas._plan import QuotaTerms, plan_quota
from shallotmux.quotas._reports import QuotaReports
from shallotmux.quotas._stock import ROUND_S
from shallotmux.ratelimits import SendMessage
from shallotmux.routes import RouteTable

#: Time for which a request waits for the granter, and after which its ask is repeated. An answer takes one or
#: two milliseconds each way.
ANSWER_TIMEOUT_S = 0.04
REPEAT_AFTER_S = 0.015

#: Interval between two rounds while no customer has a quota.
IDLE_ROUND_S = 0.5

#: Messages that wait to be sent; further ones are dropped.
MAX_QUEUED = 1024


class CustomerQuotas:
    """Keeps the quotas of the current document.

    :param instance: address of this instance.
    :param identity: name and incarnation of this instance.
    :param entries: returns the addresses of the live entry instances.
    :param table: returns the current route table.
    :param registry: registry of the metrics.
    """

    def __init__(
        self,
        instance: str,
        identity: str,
        entries: Callable[[], Iterable[str]],
        table: Callable[[], RouteTable | None],
        terms: QuotaTerms,
        registry: CollectorRegistry | None = None,
    ) -> None:
        self.node = QuotaNode(instance, identity, trio.current_time())
        self.reports = QuotaReports(registry or CollectorRegistry())
        self._entries = entries
        self._table = table
        self._terms = terms
        self._applied: RouteTable | None = None
        self._waiting: dict[int, trio.Event] = {}
        channel = trio.open_memory_channel[tuple[str, bytes]](MAX_QUEUED)
        self._queue = channel[0]
        self._queued = channel[1]

    async def run(self, send: SendMessage) -> None:
        """Send messages and take part in the rounds until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, send)
            while True:
                self.run_round()
                await trio.sleep(ROUND_S if self.node.has_quotas else IDLE_ROUND_S)

    def run_round(self) -> None:
        """Send beats, ask for advances, give back what is not used, and report."""
        self._apply_table()
        if not self.node.has_quotas:
            return
        now = trio.current_time()
        self.node.run_round(self._entries(), now)
        self._flush()
        granter, election = self.node.granter, self.node.election
        self.reports.record_round(election.granted_slots(now), granter.buckets, now)

    def resign(self) -> None:
        """Leave granting to others, as this instance is about to stop. It still charges requests."""
        self.node.resign(trio.current_time())
        self._flush()

    def receive(self, content: bytes) -> bool:
        """Process a message; returns whether it is about quotas.

        Datagrams may come from anywhere, so an invalid one must not raise.
        """
        try:
            message = decode_quota_message(content)
        except msgspec.MsgspecError:
            return False
        if self.node.has_quotas:
            self.node.receive(message, trio.current_time())
            self._flush()
        return True

    async def charge(self, customer: str, amount: float) -> Charge | OverQuota | None:
        """Charge a request; returns None if the customer has no quota."""
        self._apply_table()
        verdict = self.node.charge(customer, amount, trio.current_time())
        self._flush()
        if isinstance(verdict, Asked):
            verdict = await self._await_answer(verdict.number)
        match verdict:
            case Charge():
                self.reports.record_charge(verdict)
            case OverQuota():
                self.reports.record_refusal(customer, verdict, trio.current_time())
        return verdict

    def give_back(self, charge: Charge) -> None:
        """Take back what was charged for a request that did not run and will not."""
        self.node.give_back(charge, trio.current_time())

    async def _await_answer(self, number: int) -> Charge | OverQuota | None:
        answered = trio.Event()
        self._waiting[number] = answered
        try:
            with trio.move_on_after(REPEAT_AFTER_S):
                await answered.wait()
            if not answered.is_set():
                self.node.repeat(number, trio.current_time())
                self._flush()
                with trio.move_on_after(ANSWER_TIMEOUT_S - REPEAT_AFTER_S):
                    await answered.wait()
        except trio.Cancelled:
            self.node.abandon(number, trio.current_time())
            raise
        finally:
            self._waiting.pop(number)
        return self.node.settle(number, trio.current_time())

    def _apply_table(self) -> None:
        table = self._table()
        if table is self._applied or table is None:
            return
        self._applied = table
        self.node.apply_plans(
            {
                each.name: plan_quota(each.quota, self._terms)
                for each in table.document.customers
                if each.quota is not None
            }
        )

    def _flush(self) -> None:
        """Queue the messages to be sent, and wake the requests that got an answer."""
        outbox, settled = self.node.outbox, self.node.settled
        # A beat goes to all instances.
        encoded: dict[int, bytes] = {}
        for instance, message in outbox:
            if id(message) not in encoded:
                encoded[id(message)] = encode_quota_message(message)
            with suppress(trio.WouldBlock):
                self._queue.send_nowait((instance, encoded[id(message)]))
        outbox.clear()
        for number in settled:
            if number in self._waiting:
                self._waiting[number].set()
        settled.clear()

    async def _send(self, send: SendMessage) -> None:
        while True:
            instance, content = await self._queued.receive()
            await send(instance, content)
