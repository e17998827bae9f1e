"""Decide which engine changes its role."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from shallotmux.decisions._capacity import EngineRates, RoleCounts, WorkDemand, utilisation
from shallotmux.world import EngineRole

#: Lower and upper bound of the forecast demand, relative to the short window.
FORECAST_LIMITS = (0.7, 1.4)


@dataclass(frozen=True, slots=True)
class RolePolicy:
    """Parameters of the role controller.

    :param dwell_s: minimum time between two changes; also the time over which a gain counts.
    :param downtime_s: time for which a change takes an engine out of service, drain included.
    :param gain_margin: factor by which the gain must exceed the loss.
    :param high_utilisation: utilisation above which requests start to miss their targets.
    :param low_utilisation: utilisation, with all engines mixed, up to which engines return to the
        mixed role.
    :param min_engines: minimum number of engines that can prefill, and of those that can decode.
    :param resend_after_s: time after which an order without effect is sent again.
    :param refusal_backoff_s: time for which an engine that refused an order gets no other one.
    """

    dwell_s: float = 45.0
    downtime_s: float = 16.0
    gain_margin: float = 2.5
    high_utilisation: float = 0.6
    low_utilisation: float = 0.45
    min_engines: int = 1
    resend_after_s: float = 30.0
    refusal_backoff_s: float = 120.0


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """An engine as seen by the controller.

    :param queued_s: seconds of work on the engine, which must finish before it is drained.
    """

    name: str
    role: EngineRole
    queued_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RoleOrder:
    """An order to an engine to change to a role.

    :param sent_s: time at which the order was last sent.
    """

    endpoint: str
    role: EngineRole
    sent_s: float


@dataclass(frozen=True, slots=True)
class RoleControllerState:
    """State of the controller between decisions.

    The pending order is also stored as an intent in the zone's state.

    :param refused_until: time until which an engine that refused an order gets no other one.
    """

    last_change_s: float = -math.inf
    pending: RoleOrder | None = None
    refused_until: dict[str, float] = field(default_factory=dict)

    def with_refusal(self, endpoint: str, until_s: float) -> RoleControllerState:
        """Return the state after an engine refused an order."""
        return replace(self, pending=None, refused_until={**self.refused_until, endpoint: until_s})


@dataclass(frozen=True, slots=True)
class RoleSnapshot:
    """Engines and measured demand at one point in time.

    :param short: mean demand over the short window.
    :param long: mean demand over the long window.
    """

    now: float
    engines: tuple[EngineStatus, ...]
    short: WorkDemand
    long: WorkDemand
    rates: EngineRates = field(default_factory=EngineRates)


@dataclass(frozen=True, slots=True)
class RoleDecision:
    """The order to send, if any, and the next state of the controller.

    :param figures: utilisation now (``busy``) and after the change (``after``).
    """

    order: RoleOrder | None
    reason: str
    controller_state: RoleControllerState
    figures: tuple[tuple[str, float], ...] = ()


def decide_role(
    snapshot: RoleSnapshot, controller_state: RoleControllerState, policy: RolePolicy | None = None
) -> RoleDecision:
    """Decide whether one engine changes its role.

    At most one order is pending. A lost order is sent again unchanged, a refused one excludes its
    engine for a while, and the order to an engine that crashed or left counts as settled.
    """
    rules = policy or RolePolicy()
    controller_state = _clear_settled_order(snapshot, controller_state)
    if controller_state.pending is not None:
        return _resend(snapshot, controller_state, rules)
    if snapshot.now - controller_state.last_change_s < rules.dwell_s:
        return RoleDecision(None, 'minimum dwell', controller_state)
    return _evaluate_changes(snapshot, controller_state, rules)


def forecast_demand(snapshot: RoleSnapshot) -> WorkDemand:
    """Return the demand expected over the dwell time: the short window and its bounded trend."""
    return WorkDemand(
        _extrapolate(snapshot.short.prefill_tokens_per_s, snapshot.long.prefill_tokens_per_s),
        _extrapolate(snapshot.short.decode_tokens_per_s, snapshot.long.decode_tokens_per_s),
    )


def _extrapolate(short: float, long: float) -> float:
    lowest, highest = (short * limit for limit in FORECAST_LIMITS)
    return min(highest, max(lowest, short + (short - long) / 2))


def _clear_settled_order(
    snapshot: RoleSnapshot, controller_state: RoleControllerState
) -> RoleControllerState:
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
    if pending is None or snapshot.now - pending.sent_s < rules.resend_after_s:
        return RoleDecision(None, 'order pending', controller_state)
    again = replace(pending, sent_s=snapshot.now)
    return RoleDecision(again, 'order sent again', replace(controller_state, pending=again))


def _evaluate_changes(
    snapshot: RoleSnapshot, controller_state: RoleControllerState, rules: RolePolicy
) -> RoleDecision:
    counts = _count(snapshot)
    forecast = forecast_demand(snapshot)
    busy = utilisation(counts, forecast, snapshot.rates)
    target = _step_to_mixed(snapshot, counts, rules)
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
class _RoleStep:
    """A change of one engine from one role to another, and the counts after it."""

    source: EngineRole
    target: EngineRole
    counts: RoleCounts


def _count(snapshot: RoleSnapshot) -> RoleCounts:
    found = Counter(engine.role for engine in snapshot.engines)
    return RoleCounts(found[EngineRole.PREFILL], found[EngineRole.DECODE], found[EngineRole.MIXED])


def _steps(counts: RoleCounts, min_engines: int) -> Iterator[_RoleStep]:
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
            if min(after.prefill, after.decode) + after.mixed >= min_engines:
                yield _RoleStep(source, target, after)


def _step_to_mixed(
    snapshot: RoleSnapshot, counts: RoleCounts, rules: RolePolicy
) -> _RoleStep | None:
    """Return a step back to the mixed role if all engines as mixed had low utilisation."""
    if counts.mixed == counts.total:
        return None
    mixed = RoleCounts(mixed=counts.total)
    windows = (snapshot.short, snapshot.long, forecast_demand(snapshot))
    busiest = max(utilisation(mixed, window, snapshot.rates) for window in windows)
    if busiest > rules.low_utilisation:
        return None
    for step in _steps(counts, rules.min_engines):
        if step.target is EngineRole.MIXED:
            return step
    return None


def _best_step(snapshot: RoleSnapshot, counts: RoleCounts, rules: RolePolicy) -> _RoleStep | None:
    steps = list(_steps(counts, rules.min_engines))
    gains = [(_gain_s(snapshot, counts, step, rules), index) for index, step in enumerate(steps)]
    best, index = max(gains, default=(0.0, 0))
    return steps[index] if best > rules.downtime_s * rules.gain_margin else None


def _gain_s(
    snapshot: RoleSnapshot, counts: RoleCounts, step: _RoleStep, rules: RolePolicy
) -> float:
    """Return the engine seconds gained over the dwell time, under the worse of two demands.

    A change must pay off under the demand of the short window and under the forecast, so that
    noise in one of them does not trigger it.
    """
    gains = []
    for demand in (snapshot.short, forecast_demand(snapshot)):
        now = max(rules.high_utilisation, utilisation(counts, demand, snapshot.rates))
        after = max(rules.high_utilisation, utilisation(step.counts, demand, snapshot.rates))
        gains.append((now - after) * counts.total * rules.dwell_s)
    return min(gains)


def _order(  # noqa: WPS211
    snapshot: RoleSnapshot,
    controller_state: RoleControllerState,
    rules: RolePolicy,
    step: _RoleStep,
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
