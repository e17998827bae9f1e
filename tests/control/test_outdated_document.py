"""Tests of the document that control instances offer right after a restart."""

from __future__ import annotations

import trio
import trio.testing

from shallotmux.control import KnowledgeService
from shallotmux.fleet import Poll, TrueClock, decode_knowledge, encode_fleet_message
from tests.control._instances import SEEDS, ControlGroup, ControlInstance

#: Enough documents for a snapshot, with others after it.
DOCUMENTS = 300


class Offers:
    """Answers of an instance to polls."""

    def __init__(self, instance: ControlInstance) -> None:
        member = instance.member
        self._service = KnowledgeService(member.state, TrueClock(), member.peers)

    def document(self) -> bytes:
        """Return the document offered to an entry instance without one."""
        answer = self._service.answer(encode_fleet_message(Poll('entry~1', 0)))
        return decode_knowledge(answer.result).document


async def restart(group: ControlGroup, *names: str) -> list[Offers]:
    """Commit documents, kill all instances and start some of them again."""
    for version in range(1, DOCUMENTS + 1):
        assert await group.put(version)
    await trio.sleep(1)
    for killed in SEEDS:
        await group.kill(killed)
    return [Offers(await group.start(name)) for name in names]


async def test_document_older_than_acknowledged_is_not_offered_after_a_restart(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against an entry instance that starts with an older document than the confirmed one."""
    offers = await restart(group, *SEEDS)
    seen = set()
    for _ in range(400):
        await trio.sleep(0.01)
        seen.update(each.document() for each in offers)
    assert seen == {b'', b'%d' % DOCUMENTS}


async def test_instance_that_finds_no_leader_offers_what_it_has(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against entry instances that serve nothing while there is no majority."""
    offers = (await restart(group, SEEDS[0]))[0]
    await trio.sleep(4)
    assert not offers.document()
    await trio.sleep(2)
    assert 0 < int(offers.document()) < DOCUMENTS
