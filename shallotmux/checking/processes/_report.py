"""Rows of the report."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from dataclasses import dataclass, field


@dataclass
class Row:
    """Result of one check.

    :param figures: what was measured, as shown in the report.
    """

    name: str
    runs: int
    violations: list[str] = field(default_factory=list)
    figures: list[str] = field(default_factory=list)

    def render(self) -> str:
        """Return the row of a table, and the violations below it."""
        cells = (self.name, str(self.runs), str(len(self.violations)), '; '.join(self.figures))
        return '\n'.join((f'| {" | ".join(cells)} |', *self.violations))


def spread(name: str, times_s: Sequence[float]) -> str:
    """Return the median, the least and the greatest of times in seconds."""
    middle = statistics.median(times_s)
    return f'{name} {middle:.2f} s ({min(times_s):.2f} to {max(times_s):.2f})'
