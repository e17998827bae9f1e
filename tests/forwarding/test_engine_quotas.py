"""Tests of prompts under the quotas of their customers, with prefill on another engine."""

from __future__ import annotations

from dataclasses import replace

import trio

from shallotmux.routes import CustomerQuota
from tests.forwarding._harness import (
    ForwarderHarness,
    ReceivedRequest,
    ScriptedEndpoint,
    run_forwarder,
)
from tests.forwarding.test_engines import (
    DIALECT,
    answer_prefill,
    configure_engines,
    generate,
    refuse,
)
from tests.forwarding.test_quotas import Quotas, hang_up


def limit(harness: ForwarderHarness, quotas: Quotas) -> None:
    """Give the customer a quota of requests."""
    harness.forwarder.quota_gate.quotas = quotas  # type: ignore[assignment]
    view = harness.forwarder.view
    assert view.table is not None
    customer = replace(view.table.document.customers[0], quota=CustomerQuota(1, 1))
    view.apply_document(replace(view.table.document, version=3, customers=(customer,)))


async def answer_slowly(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Answer a prefill after the charge has become too old."""
    await trio.sleep(0.2)
    return await answer_prefill(stream, received)


async def test_decode_after_a_prefill_belongs_to_its_charge() -> None:
    """Guards against prompts that cost their customers twice when their prefill takes long."""
    prefill, decode = ScriptedEndpoint(answer_slowly), ScriptedEndpoint(generate)
    async with run_forwarder(prefill, decode, dialect=DIALECT) as harness:
        configure_engines(harness, [prefill], [decode])
        quotas = Quotas(1, valid_s=0.15)
        limit(harness, quotas)
        assert (await harness.make_request('/ask/')).status == 200
    assert len(prefill.received) == len(decode.received) == 1
    assert (len(quotas.charged), quotas.returned) == (1, 0)


async def test_refused_prefills_cost_nothing() -> None:
    """Guards against quota that is lost with each prefill that an engine refuses without running it."""
    prefill, decode = ScriptedEndpoint(refuse), ScriptedEndpoint(refuse)
    async with run_forwarder(prefill, decode, dialect=DIALECT) as harness:
        configure_engines(harness, [prefill], [decode])
        quotas = Quotas(1)
        limit(harness, quotas)
        assert (await harness.make_request('/ask/')).status == 503
    assert prefill.received
    assert (len(quotas.charged), quotas.returned) == (1, 1)


async def test_refused_decode_does_not_return_the_charge_of_its_prefill() -> None:
    """Guards against work of prefill engines that no quota limits, as engines that generate are full."""
    prefill, decode = ScriptedEndpoint(answer_prefill), ScriptedEndpoint(refuse)
    async with run_forwarder(prefill, decode, dialect=DIALECT) as harness:
        configure_engines(harness, [prefill], [decode])
        quotas = Quotas(1)
        limit(harness, quotas)
        assert (await harness.make_request('/ask/')).status == 503
    assert len(prefill.received) == 1
    assert (len(quotas.charged), quotas.returned) == (1, 0)


async def test_prompt_that_may_have_been_prefilled_is_charged_again_elsewhere() -> None:
    """Guards against prompts of which two engines do the work for one charge."""
    prefill, decode = ScriptedEndpoint(hang_up), ScriptedEndpoint(generate)
    async with run_forwarder(prefill, decode, dialect=DIALECT) as harness:
        configure_engines(harness, [prefill], [decode])
        quotas = Quotas(2)
        limit(harness, quotas)
        assert (await harness.make_request('/ask/')).status == 200
    assert len(prefill.received) == 1
    assert (len(quotas.charged), quotas.returned) == (2, 0)


async def test_prefill_that_is_sent_late_is_charged_anew() -> None:
    """Guards against a second prefill that arrives long after the charge, since the first was refused late."""

    async def refuse_late(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        await trio.sleep(0.2)
        return await refuse(stream, received)

    prefills = [ScriptedEndpoint(refuse_late), ScriptedEndpoint(refuse_late)]
    decode = ScriptedEndpoint(generate)
    async with run_forwarder(*prefills, decode, dialect=DIALECT) as harness:
        configure_engines(harness, prefills, [decode])
        quotas = Quotas(1, valid_s=0.15)
        limit(harness, quotas)
        assert (await harness.make_request('/ask/')).status == 200
    assert [len(each.received) for each in prefills] == [1, 1]
    assert (len(quotas.charged), quotas.returned) == (3, 2)
