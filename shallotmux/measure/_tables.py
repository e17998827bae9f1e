"""Tables of figures that compare naive and current decisions by median and range."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from shallotmux.measure._figures import Figures, RunResult, figure_ranges, median_figures

#: Label in the table, field of :class:`Figures`, and number of decimal places.
ROWS = (
    ('goodput', 'goodput', 3),
    ('worst-served customer', 'worst', 3),
    ('other customers', 'others', 3),
    ('role changes', 'role_changes', 0),
    ('cost of 1000 good requests', 'cost', 3),
    ('cheap share of tokens', 'cheap_share', 3),
    ('requests lost', 'lost', 0),
    ('prefix-hit share of sheets', 'hit_share', 3),
    ('p95 first token, s', 'p95_s', 2),
)


@dataclass(frozen=True, slots=True)
class Comparison:
    """Results of two variants on the same traces."""

    title: str
    naive: tuple[RunResult, ...]
    current: tuple[RunResult, ...]

    def table(self) -> str:
        """Return the table in Markdown."""
        naive, current = _columns(self.naive), _columns(self.current)
        seeds = ', '.join(str(each.spec.seed) for each in self.current)
        lines = [
            f'### {self.title}',
            '',
            f'Seeds {seeds}; median (largest minus smallest).',
            '',
            '| figure | naive | current |',
            '| --- | --- | --- |',
        ]
        for name, key, digits in ROWS:
            cells = ' | '.join(_cell(column, key, digits) for column in (naive, current))
            lines.append(f'| {name} | {cells} |')
        return '\n'.join([*lines, ''])


def _columns(results: Sequence[RunResult]) -> tuple[Figures, Figures]:
    figures = [each.figures for each in results]
    return median_figures(figures), figure_ranges(figures)


def _cell(column: tuple[Figures, Figures], key: str, digits: int) -> str:
    median, value_range = (getattr(each, key) for each in column)
    return f'{median:.{digits}f} ({value_range:.{digits}f})'
