"""Shapes of the traces, and the two deployments they run on."""

from __future__ import annotations

from dataclasses import dataclass, replace

from shallotmux.world import Defaults

#: Prefill share of the work outside a swing (design, section 1.8).
BASE_SHARE = 0.34

#: Prefill shares between which the swing moves, and the time it takes, in seconds.
SWING_LOW = 0.2
SWING_HIGH = 0.7
SWING_RAMP_S = 120.0

#: Starts of the phases of the swing: low, up, high, down, low.
SWING_PHASES = (0.0, 150.0, 270.0, 360.0, 480.0)

#: Factor of the bursting customer, and its place among the customers.
BURST_FACTOR = 10.0
BURST_CUSTOMER = 3
BURST_START_S = 150.0
BURST_END_S = 300.0


@dataclass(frozen=True, slots=True)
class Shape:
    """A trace shape.

    :param report_lag_s: age of load reports when they arrive.
    :param reclaim_at_s: when the cheap endpoints of a zone get notice, or 0.
    :param crash_in_change: whether an engine crashes in the middle of an ordered role change.
    :param wave: whether the level follows a slow wave from a quarter to the peak and back.
    """

    name: str
    duration_s: float = 600.0
    report_lag_s: float = 0.3
    swing: bool = False
    bursting: bool = False
    reclaim_at_s: float = 0.0
    crash_in_change: bool = False
    wave: bool = False
    burst_customer: int = BURST_CUSTOMER

    def prefill_share(self, now: float) -> float:
        """Return the prefill share of the work offered at a time."""
        if not self.swing:
            return BASE_SHARE
        up = min(1.0, max(0.0, (now - SWING_PHASES[1]) / SWING_RAMP_S))
        down = min(1.0, max(0.0, (now - SWING_PHASES[3]) / SWING_RAMP_S))
        return SWING_LOW + (up - down) * (SWING_HIGH - SWING_LOW)

    def level(self, now: float) -> float:
        """Return the load relative to the peak."""
        if not self.wave:
            return 1.0
        place = abs(2 * now / self.duration_s - 1)
        return 1.0 - 0.75 * place

    def burst(self, now: float) -> float:
        """Return the factor on the bursting customer's requests."""
        active = self.bursting and BURST_START_S <= now < BURST_END_S
        return BURST_FACTOR if active else 1.0


SHAPES = (
    Shape('steady'),
    Shape('swing', swing=True),
    Shape('burst', bursting=True),
    Shape('cheap-gone', reclaim_at_s=300.0),
    Shape('lag-5s', report_lag_s=5.0),
    Shape('crash-in-change', swing=True, crash_in_change=True),
    Shape('noise-hour', duration_s=3600.0),
    Shape('wave', duration_s=1800.0, wave=True),
)


def shape_named(name: str) -> Shape:
    """Return a shape by name.

    :raises KeyError: if there is none.
    """
    return {shape.name: shape for shape in SHAPES}[name]


@dataclass(frozen=True, slots=True)
class Deployment:
    """A firm's fleet.

    :param load: uncached work per second and language worker at level 1.
    """

    name: str
    zones: tuple[str, ...]
    language_workers: int
    order_workers: int
    instances: int
    cheap_language: int
    cheap_orders: int
    defaults: Defaults
    load: float = 1.0


BUTTONS = Deployment(
    'button division',
    tuple(f'jylland-{number}' for number in range(1, 5)),
    language_workers=6,
    order_workers=4,
    instances=8,
    cheap_language=2,
    cheap_orders=0,
    defaults=Defaults(weight_goodput=2, weight_worst_customer=3, weight_spend=0.5),
)

KOCKICA = Deployment(
    'Kockica',
    tuple(f'hr-north-{number}' for number in range(1, 4)),
    language_workers=6,
    order_workers=3,
    instances=9,
    cheap_language=3,
    cheap_orders=1,
    defaults=Defaults(weight_goodput=1, weight_worst_customer=0.5, weight_spend=3),
)

DEPLOYMENTS = (BUTTONS, KOCKICA)


def with_load(deployment: Deployment, load: float) -> Deployment:
    """Return the deployment at another load."""
    return replace(deployment, load=load)
