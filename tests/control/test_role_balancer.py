"""Tests of the role changes that the leader orders."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace

import pytest
import trio
import trio.testing

from shallotmux.authority import GroupState
from shallotmux.control import KnowledgeService
from shallotmux.control._duties import CONTROL_LOOP_S, LeaderDependencies
from shallotmux.control._platform import LISTING_DELAY_S, DutyHolder, DutyOutcome
from shallotmux.control._role_balancer import (
    MAX_CHANGES_PER_ROUND,
    REFUSAL_BACKOFF_S,
    RoleBalancer,
)
from shallotmux.fleet import EngineRole, ListedEndpoint, Listing, TrueClock
from shallotmux.plannedchanges import ORDER_DELAY_S
from shallotmux.routes import CallerLimits, EngineProfile, RouteDocument, Service

SERVICE = Service('llm', '/healthz', 8, EngineProfile(64, 400_000, 1000, 1e6, 5, 3))


def make_engine(number: int, zone: str) -> ListedEndpoint:
    """Return a decode engine; a higher number means a later start."""
    address = f'10.0.0.{number}:1'
    role = EngineRole.DECODE
    return ListedEndpoint(f'e-{number}', 'llm', address, zone, 64, role=role, started_ms=number)


async def run_balancer(answer: Callable[[str], DutyOutcome], seconds: float) -> list[str]:
    """Run the balancer on six decode engines and return the identities of those it ordered.

    :param answer: returns the outcome of an order to an engine.
    """
    changed: list[str] = []

    async def change_role(
        endpoint: ListedEndpoint, role: EngineRole, holder: DutyHolder
    ) -> DutyOutcome:
        assert role is EngineRole.PREFILL
        changed.append(endpoint.identity)
        return answer(endpoint.identity)

    knowledge = KnowledgeService(GroupState(), TrueClock(), lambda: ('10.0.0.1:7',))
    engines = tuple(make_engine(number, 'ab'[number % 2]) for number in range(1, 7))
    knowledge.update_listing(Listing(engines), trio.current_time())
    guard = SimpleNamespace(check=lambda: None)
    term = SimpleNamespace(
        holder=lambda: DutyHolder('instance', 1, guard), record_outcome=lambda *_: None
    )
    table = SimpleNamespace(document=RouteDocument(1, (), (SERVICE,), CallerLimits(), ()))
    platform = SimpleNamespace(change_role=change_role)
    balancer = RoleBalancer(LeaderDependencies(knowledge, platform, term, lambda: table))  # type: ignore[arg-type]
    with trio.move_on_after(seconds):
        await balancer.run()
    return changed


async def test_engines_that_boot_with_the_same_role_are_changed_together(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a burst that is prefilled by two engines while the others wait their turn."""
    seconds = 1.5 * CONTROL_LOOP_S + ORDER_DELAY_S
    changed = await run_balancer(lambda _: DutyOutcome.ACCEPTED, seconds)
    assert len(changed) == MAX_CHANGES_PER_ROUND
    assert set(changed) <= {'e-5', 'e-6'}


async def test_refused_change_is_not_followed_by_another(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against orders to one engine after the other while engines refuse them."""
    seconds = 1.5 * CONTROL_LOOP_S + ORDER_DELAY_S
    assert len(await run_balancer(lambda _: DutyOutcome.UNAVAILABLE, seconds)) == 1


@pytest.mark.parametrize('outcome', (DutyOutcome.UNAVAILABLE, DutyOutcome.NOT_SENT))
async def test_engine_that_refuses_for_ever_is_passed_over(
    outcome: DutyOutcome, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against roles that stay as they are since the first choice refuses every order."""

    def answer(identity: str) -> DutyOutcome:
        return outcome if identity == 'e-6' else DutyOutcome.ACCEPTED

    ordered = await run_balancer(answer, REFUSAL_BACKOFF_S / 2)
    assert ordered.count('e-6') == 1
    assert len(set(ordered)) > 1


async def test_engine_that_never_changes_is_passed_over(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against orders that only one engine gets, again and again, and never carries out."""
    change_s = 3 + LISTING_DELAY_S
    ordered = await run_balancer(lambda _: DutyOutcome.UNKNOWN, 2.5 * change_s)
    assert len(ordered) > 1
    assert len(set(ordered)) == len(ordered)
