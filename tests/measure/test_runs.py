"""Tests of the measurements, on short traces."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from shallotmux.measure._compare import compare_shapes, variant_for
from shallotmux.measure._figures import RunSpec, run_spec
from shallotmux.measure._plots import write_report
from shallotmux.measure._shapes import BUTTONS, KOCKICA, Shape, shape_named, with_load
from shallotmux.measure._variants import CURRENT, LOAD_ONLY, NAIVE
from shallotmux.measure._workload import LoadProgram, mean_work, sheet_fraction

SHORT = Shape('short', duration_s=60)


def test_same_seed_gives_the_same_figures() -> None:
    """Guards against hidden random sources that make comparisons meaningless."""
    first, second = (run_spec(RunSpec(BUTTONS, SHORT, CURRENT, 3)) for _ in range(2))
    assert first.figures == second.figures
    assert run_spec(RunSpec(BUTTONS, SHORT, CURRENT, 4)).figures != first.figures


def test_load_program_offers_the_stated_work() -> None:
    """Guards against a trace whose load or prefill share differs from its name."""
    trace = list(LoadProgram(replace(SHORT, duration_s=600), 6, 0.8, 1).requests())
    language = [each for each in trace if each.repeatable]
    work = len(language) * mean_work(sheet_fraction(0.34)) / 600
    assert work == pytest.approx(4.8, rel=0.05)
    prefill = sum(each.prompt_tokens for each in language) * 0.00005
    decode = sum(each.output_tokens for each in language) * 0.0005
    assert prefill / (prefill + decode) == pytest.approx(0.34, abs=0.02)


def test_affinity_raises_the_prefix_hits() -> None:
    """Guards against routing that ignores the caches."""
    shape = replace(SHORT, duration_s=120)
    blind = run_spec(RunSpec(BUTTONS, shape, LOAD_ONLY, 1)).figures
    current = run_spec(RunSpec(BUTTONS, shape, CURRENT, 1)).figures
    assert 10 * current.hit_share > 13 * blind.hit_share


def test_no_repeatable_request_is_lost_in_a_reclaim() -> None:
    """Guards against streams that end with the cheap endpoint they run on."""
    shape = replace(SHORT, reclaim_at_s=20)
    variant = variant_for(KOCKICA, CURRENT)
    figures = run_spec(RunSpec(with_load(KOCKICA, 0.6), shape, variant, 2)).figures
    assert not figures.lost
    assert 10 * figures.goodput > 9


def test_swing_ends_where_it_began() -> None:
    """Guards against a swing shape that does not reach or leave its peak."""
    swing = shape_named('swing')
    shares = [swing.prefill_share(time) for time in (0, 270, 599)]
    assert shares == pytest.approx([0.2, 0.7, 0.2])


def test_report_is_one_page_with_plots(tmp_path: Path) -> None:
    """Guards against a page without tables or without its images."""
    comparisons = compare_shapes((BUTTONS,), (1,), 1, (replace(SHORT, duration_s=20),))
    page = write_report(tmp_path, comparisons).read_text()
    assert 'worst-served customer' in page
    assert 'data:image/png;base64,' in page
    assert NAIVE.name in comparisons[0].table()
