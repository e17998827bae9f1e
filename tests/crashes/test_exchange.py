"""Tests of the exchange of crash records with control instances that come and go."""

from __future__ import annotations

import trio
import trio.testing

from shallotmux.crashes import CrashExchange, CrashRecords

SUBJECT = 7


class Instance:
    """An instance with records, as polled or polling."""

    def __init__(self) -> None:
        self.records = CrashRecords()
        self.exchange = CrashExchange(self.records)
        #: Numbers of changes in the messages sent and received by the latest poll.
        self.sent = 0
        self.received = 0

    def poll(self, name: str, control: Instance, *, answer_lost: bool = False) -> None:
        """Exchange records with a control instance."""
        news, known = self.exchange.build(name)
        control.records.merge(news)
        answer = control.records.build_news(known)
        self.sent = len(news.crashes)
        self.received = len(answer.crashes)
        if not answer_lost:
            self.exchange.apply(name, news, answer)

    def is_quarantined(self) -> bool:
        """Return whether the subject must not run."""
        return self.records.quarantine_ends_in(frozenset((SUBJECT,)), 'r') > 0


async def test_each_change_is_sent_once(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against polls that carry all evidence each time."""
    entry, control = Instance(), Instance()
    for endpoint in range(3):
        await trio.sleep(1)
        entry.records.record_crash((SUBJECT,), endpoint)
    entry.poll('c', control)
    assert entry.sent == 3
    entry.poll('c', control)
    entry.poll('c', control)
    assert (entry.sent, entry.received) == (0, 0)


async def test_news_whose_answer_was_lost_is_sent_again(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against evidence that is lost with an answer."""
    entry, control, other = Instance(), Instance(), Instance()
    await trio.sleep(1)
    other.records.record_crash((SUBJECT,), 3)
    other.poll('c', control)
    await trio.sleep(1)
    entry.records.record_crash((SUBJECT,), 1)
    entry.poll('c', control, answer_lost=True)
    await trio.sleep(1)
    entry.records.record_crash((SUBJECT,), 2)
    entry.poll('c', control)
    assert entry.is_quarantined()
    assert control.is_quarantined()


async def test_evidence_survives_restarts(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against evidence that is gone after an observer, or a control instance, restarts."""
    entries, control = [Instance(), Instance()], Instance()
    await trio.sleep(1)
    entries[0].records.record_crash((SUBJECT,), 1)
    await trio.sleep(1)
    entries[0].records.record_crash((SUBJECT,), 2)
    await trio.sleep(1)
    entries[1].records.record_crash((SUBJECT,), 3)
    for entry in (*entries, *entries):
        entry.poll('c', control)
    entries[0] = Instance()
    entries[0].poll('c', control)
    assert entries[0].is_quarantined()
    for entry in (*entries, *entries):
        entry.poll('c', control)
    control = Instance()
    for entry in (*entries, *entries):
        entry.poll('c', control)
    assert control.is_quarantined()


async def test_evidence_reaches_other_control_instances(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against evidence that stays at the control instance that the observer polled."""
    observer, relay, distant = Instance(), Instance(), Instance()
    controls = [Instance(), Instance()]
    for endpoint in range(3):
        await trio.sleep(1)
        observer.records.record_crash((SUBJECT,), endpoint)
    observer.poll('c-0', controls[0])
    relay.poll('c-0', controls[0])
    relay.poll('c-1', controls[1])
    distant.poll('c-1', controls[1])
    assert distant.is_quarantined()
