"""Shapes of the traces, and the two deployments that run them."""

from __future__ import annotations

from dataclasses import dataclass, replace

from shallotmux.world import Defaults

#: Prefill share of the work in shapes without a swing (design page, section 1.8).
BASE_PREFILL_SHARE = 0.34

#: Lowest and highest prefill share of the swing, and the duration of each ramp in seconds.
SWING_LOW_SHARE = 0.2
SWING_HIGH_SHARE = 0.7
SWING_RAMP_S = 120.0

#: Start times of the phases of the swing in seconds: low, rising, high, falling, low.
SWING_PHASES = (0.0, 150.0, 270.0, 360.0, 480.0)

#: Factor on the request rate of the bursting customer, and the index of that customer.
BURST_FACTOR = 10.0
BURST_CUSTOMER = 3
BURST_START_S = 150.0
BURST_END_S = 300.0


@dataclass(frozen=True, slots=True)
class Shape:
    """Shape of a trace: how load, mix and failures develop over time.

    :param report_lag_s: age of load reports on arrival, in seconds.
    :param swing: whether the prefill share swings between its lowest and highest value.
    :param bursting: whether one customer multiplies its request rate for a while.
    :param reclaim_at_s: time of the reclaim notice for the cheap endpoints of a zone, or 0.
    :param crash_in_change: whether an engine crashes halfway through an ordered role change.
    :param wave: whether the level rises slowly from a quarter of the peak to the peak and falls
        back.
    :param burst_customer: index of the bursting customer.
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
        """Return the prefill share of the offered work at a time."""
        if not self.swing:
            return BASE_PREFILL_SHARE
        up = min(1.0, max(0.0, (now - SWING_PHASES[1]) / SWING_RAMP_S))
        down = min(1.0, max(0.0, (now - SWING_PHASES[3]) / SWING_RAMP_S))
        return SWING_LOW_SHARE + (up - down) * (SWING_HIGH_SHARE - SWING_LOW_SHARE)

    def level(self, now: float) -> float:
        """Return the load at a time, relative to the peak."""
        if not self.wave:
            return 1.0
        distance = abs(2 * now / self.duration_s - 1)
        return 1.0 - 0.75 * distance

    def burst_factor(self, now: float) -> float:
        """Return the factor on the request rate of the bursting customer at a time."""
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


def find_shape(name: str) -> Shape:
    """Return a shape by name.

    :raises KeyError: if no shape has the name.
    """
    return {shape.name: shape for shape in SHAPES}[name]


@dataclass(frozen=True, slots=True)
class Deployment:
    """Fleet of an operator.

    :param instances: number of entry instances.
    :param cheap_language: number of cheap engines among the language workers.
    :param cheap_orders: number of cheap engines among the order workers.
    :param load: uncached work in engine seconds per second and language worker at level 1.
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


#: Deployment whose weights favour the service of customers.
BUTTON_DIVISION = Deployment(
    'button division',
    tuple(f'jylland-{number}' for number in range(1, 5)),
    language_workers=6,
    order_workers=4,
    instances=8,
    cheap_language=2,
    cheap_orders=0,
    defaults=Defaults(weight_goodput=2, weight_worst_customer=3, weight_spend=0.5),
)

#: Deployment whose weights favour low spend.
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

DEPLOYMENTS = (BUTTON_DIVISION, KOCKICA)


def with_load(deployment: Deployment, load: float) -> Deployment:
    """Return a copy of the deployment with another load."""
    return replace(deployment, load=load)
