"""Tests of the benchmarks on short traces."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from shallotmux.measure._compare import compare_shapes, variant_for
from shallotmux.measure._figures import RunSpec, run_spec
from shallotmux.measure._plots import write_report
from shallotmux.measure._shapes import BUTTON_DIVISION, KOCKICA, Shape, find_shape, with_load
from shallotmux.measure._variants import CURRENT, LOAD_ONLY, NAIVE
from shallotmux.measure._workload import LoadGenerator, mean_work_s, sheet_fraction

SHORT = Shape('short', duration_s=60)


def test_same_seed_gives_the_same_figures() -> None:
    """Guards against unseeded randomness, which would make runs incomparable."""
    first, second = (run_spec(RunSpec(BUTTON_DIVISION, SHORT, CURRENT, 3)) for _ in range(2))
    assert first.figures == second.figures
    assert run_spec(RunSpec(BUTTON_DIVISION, SHORT, CURRENT, 4)).figures != first.figures


def test_load_generator_offers_the_specified_work() -> None:
    """Guards against a trace whose load or prefill share differs from the specified one."""
    trace = list(LoadGenerator(replace(SHORT, duration_s=600), 6, 0.8, 1).requests())
    language = [each for each in trace if each.repeatable]
    work = len(language) * mean_work_s(sheet_fraction(0.34)) / 600
    assert work == pytest.approx(4.8, rel=0.05)
    prefill = sum(each.prompt_tokens for each in language) * 0.00005
    decode = sum(each.output_tokens for each in language) * 0.0005
    assert prefill / (prefill + decode) == pytest.approx(0.34, abs=0.02)


def test_affinity_increases_prefix_hits() -> None:
    """Guards against routing that ignores prefix caches."""
    shape = replace(SHORT, duration_s=120)
    load_only = run_spec(RunSpec(BUTTON_DIVISION, shape, LOAD_ONLY, 1)).figures
    current = run_spec(RunSpec(BUTTON_DIVISION, shape, CURRENT, 1)).figures
    assert 10 * current.hit_share > 13 * load_only.hit_share


def test_no_repeatable_request_is_lost_in_a_reclaim() -> None:
    """Guards against streams that are lost when their cheap endpoint is reclaimed."""
    shape = replace(SHORT, reclaim_at_s=20)
    variant = variant_for(KOCKICA, CURRENT)
    figures = run_spec(RunSpec(with_load(KOCKICA, 0.6), shape, variant, 2)).figures
    assert not figures.lost
    assert 10 * figures.goodput > 9


def test_swing_returns_to_its_initial_share() -> None:
    """Guards against a swing whose prefill share does not reach its peak or stays there."""
    swing = find_shape('swing')
    shares = [swing.prefill_share(time) for time in (0, 270, 599)]
    assert shares == pytest.approx([0.2, 0.7, 0.2])


def test_report_contains_tables_and_plots(tmp_path: Path) -> None:
    """Guards against a report without tables or embedded plots."""
    comparisons = compare_shapes((BUTTON_DIVISION,), (1,), 1, (replace(SHORT, duration_s=20),))
    page = write_report(tmp_path, comparisons).read_text()
    assert 'worst-served customer' in page
    assert 'data:image/png;base64,' in page
    assert NAIVE.name in comparisons[0].table()
