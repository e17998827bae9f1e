"""Results of the checks as rows of a Markdown table."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from dataclasses import dataclass, field


@dataclass
class CheckResult:
    """Result of one check.

    :param figures: formatted measurements, as shown in the report.
    """

    name: str
    runs: int
    violations: list[str] = field(default_factory=list)
    figures: list[str] = field(default_factory=list)

    def render(self) -> str:
        """Return a row of a Markdown table, followed by a line for each violation."""
        cells = (self.name, str(self.runs), str(len(self.violations)), '; '.join(self.figures))
        return '\n'.join((f'| {" | ".join(cells)} |', *self.violations))


def format_spread(name: str, times_s: Sequence[float]) -> str:
    """Return the median, the minimum and the maximum of durations in seconds as text."""
    middle = statistics.median(times_s)
    return f'{name} {middle:.2f} s ({min(times_s):.2f} to {max(times_s):.2f})'
