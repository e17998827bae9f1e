"""Decide on role changes of engines."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from shallotmux.decisions._capacity import EngineRates, RoleCounts, WorkDemand, utilisation
from shallotmux.world import EngineRole

#: Limits of the forecast demand, relative to the short window.
FORECAST_LIMITS = (0.7, 1.4)


@dataclass(frozen=True, slots=True)
class RolePolicy:
    """Figures of the role controller.

    :param dwell_s: least time between two changes; also the time over which a gain counts.
    :param change_s: seconds for which a change removes an engine, drain included.
    :param margin: factor by which the gain must exceed the loss.
    :param pressed: utilisation above which requests start to miss their targets.
    :param rested: utilisation in all-mixed roles below which engines return to mixed.
    :param floor: engines that can prefill, and engines that can decode, at least.
    :param order_limit_s: time after which an order without effect is sent again.
    :param refusal_s: time for which an engine that refused is left alone.
    """

    dwell_s: float = 45.0
    change_s: float = 16.0
    margin: float = 2.5
    pressed: float = 0.6
    rested: float = 0.45
    floor: int = 1
    order_limit_s: float = 30.0
    refusal_s: float = 120.0


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """An engine as the controller sees it.

    :param queued_s: seconds of work on the engine, which a drain has to wait for.
    """

    name: str
    role: EngineRole
    queued_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RoleOrder:
    """An order to an engine to take a role.

    :param sent_s: time of the last sending.
    """

    endpoint: str
    role: EngineRole
    sent_s: float


@dataclass(frozen=True, slots=True)
class RoleControllerState:
    """What the controller remembers between decisions; kept as an intent in the zone's state."""

    last_change_s: float = -math.inf
    pending: RoleOrder | None = None
    refused_until: dict[str, float] = field(default_factory=dict)

    def refuse(self, endpoint: str, until_s: float) -> RoleControllerState:
        """Return the memory after an engine refused an order."""
        return replace(self, pending=None, refused_until={**self.refused_until, endpoint: until_s})


@dataclass(frozen=True, slots=True)
class RoleSnapshot:
    """Engines and measured demand at a time.

    :param short: demand in the last seconds.
    :param long: demand in the last minutes.
    """

    now: float
    engines: tuple[EngineStatus, ...]
    short: WorkDemand
    long: WorkDemand
    rates: EngineRates = field(default_factory=EngineRates)


@dataclass(frozen=True, slots=True)
class RoleDecision:
    """The order to send, if any, and the memory to keep.

    :param figures: utilisation now and after the change, gain and loss in engine seconds.
    """

    order: RoleOrder | None
    reason: str
    controller_state: RoleControllerState
    figures: tuple[tuple[str, float], ...] = ()


def decide_role(
    snapshot: RoleSnapshot, controller_state: RoleControllerState, policy: RolePolicy | None = None
) -> RoleDecision:
    """Decide whether one engine changes its role.

    One order is open at a time: a lost order is sent again as it was, a refused one blocks its
    engine for a while, and an engine that crashed or left in mid change settles the order.
    """
    rules = policy or RolePolicy()
    controller_state = _settle(snapshot, controller_state)
    if controller_state.pending is not None:
        return _resend(snapshot, controller_state, rules)
    if snapshot.now - controller_state.last_change_s < rules.dwell_s:
        return RoleDecision(None, 'minimum dwell', controller_state)
    return _compare(snapshot, controller_state, rules)


def forecast_demand(snapshot: RoleSnapshot) -> WorkDemand:
    """Return the demand expected over the dwell: the short window and its trend, bounded."""
    return WorkDemand(
        _extend(snapshot.short.prefill_tokens_per_s, snapshot.long.prefill_tokens_per_s),
        _extend(snapshot.short.decode_tokens_per_s, snapshot.long.decode_tokens_per_s),
    )


def _extend(short: float, long: float) -> float:
    lowest, highest = (short * limit for limit in FORECAST_LIMITS)
    return min(highest, max(lowest, short + (short - long) / 2))


def _settle(snapshot: RoleSnapshot, controller_state: RoleControllerState) -> RoleControllerState:
    pending = controller_state.pending
    if pending is None:
        return controller_state
    roles = {engine.name: engine.role for engine in snapshot.engines}
    settled = roles.get(pending.endpoint, pending.role) is pending.role
    return (
        replace(controller_state, pending=None, last_change_s=snapshot.now)
        if settled
        else controller_state
    )


def _resend(
    snapshot: RoleSnapshot, controller_state: RoleControllerState, rules: RolePolicy
) -> RoleDecision:
    pending = controller_state.pending
    if pending is None or snapshot.now - pending.sent_s < rules.order_limit_s:
        return RoleDecision(None, 'order pending', controller_state)
    again = replace(pending, sent_s=snapshot.now)
    return RoleDecision(again, 'order sent again', replace(controller_state, pending=again))


def _compare(
    snapshot: RoleSnapshot, controller_state: RoleControllerState, rules: RolePolicy
) -> RoleDecision:
    counts = _count(snapshot)
    forecast = forecast_demand(snapshot)
    busy = utilisation(counts, forecast, snapshot.rates)
    target = _rest(snapshot, counts, rules)
    reason = 'back to mixed under low load'
    if target is None:
        target = _best_step(snapshot, counts, rules)
        reason = 'gain exceeds the work lost'
    if target is None:
        return RoleDecision(None, 'no change gains enough', controller_state, (('busy', busy),))
    after = utilisation(target.counts, forecast, snapshot.rates)
    return _order(
        snapshot, controller_state, rules, target, reason, (('busy', busy), ('after', after))
    )


@dataclass(frozen=True, slots=True)
class _Step:
    """A change of one engine from a role to another, and the counts after it."""

    source: EngineRole
    target: EngineRole
    counts: RoleCounts


def _count(snapshot: RoleSnapshot) -> RoleCounts:
    found = Counter(engine.role for engine in snapshot.engines)
    return RoleCounts(found[EngineRole.PREFILL], found[EngineRole.DECODE], found[EngineRole.MIXED])


def _steps(counts: RoleCounts, floor: int) -> Iterator[_Step]:
    for source in EngineRole:
        for target in EngineRole:
            if source is target or not getattr(counts, source):
                continue
            after = replace(
                counts,
                **{
                    source: getattr(counts, source) - 1,
                    target: getattr(counts, target) + 1,
                },
            )
            if min(after.prefill, after.decode) + after.mixed >= floor:
                yield _Step(source, target, after)


def _rest(snapshot: RoleSnapshot, counts: RoleCounts, rules: RolePolicy) -> _Step | None:
    """Return a step back to mixed when all engines in mixed roles would be at ease."""
    if counts.mixed == counts.total:
        return None
    mixed = RoleCounts(mixed=counts.total)
    windows = (snapshot.short, snapshot.long, forecast_demand(snapshot))
    busiest = max(utilisation(mixed, window, snapshot.rates) for window in windows)
    if busiest > rules.rested:
        return None
    for step in _steps(counts, rules.floor):
        if step.target is EngineRole.MIXED:
            return step
    return None


def _best_step(snapshot: RoleSnapshot, counts: RoleCounts, rules: RolePolicy) -> _Step | None:
    steps = list(_steps(counts, rules.floor))
    gains = [(_gain_s(snapshot, counts, step, rules), place) for place, step in enumerate(steps)]
    best, place = max(gains, default=(0.0, 0))
    return steps[place] if best > rules.change_s * rules.margin else None


def _gain_s(snapshot: RoleSnapshot, counts: RoleCounts, step: _Step, rules: RolePolicy) -> float:
    """Return the engine seconds gained over the dwell, in the worse of two views of the demand.

    A change must pay under the demand of the short window as well as under the forecast, so that
    noise in one of them does not cause it.
    """
    gains = []
    for demand in (snapshot.short, forecast_demand(snapshot)):
        now = max(rules.pressed, utilisation(counts, demand, snapshot.rates))
        after = max(rules.pressed, utilisation(step.counts, demand, snapshot.rates))
        gains.append((now - after) * counts.total * rules.dwell_s)
    return min(gains)


def _order(  # noqa: WPS211
    snapshot: RoleSnapshot,
    controller_state: RoleControllerState,
    rules: RolePolicy,
    step: _Step,
    reason: str,
    figures: tuple[tuple[str, float], ...],
) -> RoleDecision:
    free = [
        engine
        for engine in snapshot.engines
        if engine.role is step.source
        and controller_state.refused_until.get(engine.name, -math.inf) <= snapshot.now
    ]
    if not free:
        return RoleDecision(None, 'all engines refused lately', controller_state, figures)
    chosen = min(free, key=lambda engine: (engine.queued_s, engine.name))
    order = RoleOrder(chosen.name, step.target, snapshot.now)
    return RoleDecision(order, reason, replace(controller_state, pending=order), figures)
