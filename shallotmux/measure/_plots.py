"""HTML page with plots of goodput, roles, queue length and price over time."""

from __future__ import annotations

import base64
import html
from collections.abc import Iterable
from io import BytesIO
from pathlib import Path
from typing import Any

from shallotmux.measure._figures import RunResult
from shallotmux.measure._tables import Comparison

DPI = 70

PAGE_TEMPLATE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Measurements</title>
<style>body{{font:15px sans-serif;max-width:70em;margin:2em auto}}pre{{background:#f4f4f4;padding:1em}}</style>
</head><body><h1>Decisions under a shifting mix</h1>{sections}</body></html>
"""


def write_report(folder: Path, comparisons: Iterable[Comparison]) -> Path:
    """Write the page with embedded images.

    :returns: the path of the page.
    :raises ImportError: if matplotlib, a development dependency, is not installed.
    """
    folder.mkdir(parents=True, exist_ok=True)
    page = folder / 'index.html'
    sections = ''.join(_format_section(each) for each in comparisons)
    page.write_text(PAGE_TEMPLATE.format(sections=sections), encoding='utf-8')
    return page


def _format_section(comparison: Comparison) -> str:
    image = base64.b64encode(_render_plots(comparison)).decode()
    return (
        f'<h2>{html.escape(comparison.title)}</h2>'
        f'<pre>{html.escape(comparison.table())}</pre>'
        f'<img alt="plots" src="data:image/png;base64,{image}">'
    )


def _render_plots(comparison: Comparison) -> bytes:
    from matplotlib.figure import Figure  # noqa: PLC0415

    figure = Figure(figsize=(13, 9))
    axes: Any = figure.subplots(4, 1, sharex=True)
    for name, results in (('naive', comparison.naive), ('current', comparison.current)):
        _draw_series(axes, name, results[0])
    for axis, label in zip(
        axes, ('goodput', 'engines by role', 'queued requests', 'price per hour'), strict=True
    ):
        axis.set_ylabel(label)
        axis.legend(fontsize='small', loc='upper left')
    axes[-1].set_xlabel(f'seconds, seed {comparison.current[0].spec.seed}')
    buffer = BytesIO()
    figure.savefig(buffer, format='png', dpi=DPI, bbox_inches='tight')
    return buffer.getvalue()


def _draw_series(axes: Any, name: str, result: RunResult) -> None:
    times = [sample.time_s for sample in result.samples]
    starts = [start for start, _, _ in result.bins]
    axes[0].plot(starts, [good / total for _, total, good in result.bins], label=name)
    for role in ('prefill', 'decode', 'mixed'):
        counts = [getattr(sample, role) for sample in result.samples]
        axes[1].step(times, counts, label=f'{name}, {role}', where='post')
    axes[2].plot(times, [sample.queued for sample in result.samples], label=name)
    prices = [sample.price_per_hour for sample in result.samples]
    axes[3].step(times, prices, label=name, where='post')
