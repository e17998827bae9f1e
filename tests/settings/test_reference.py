"""Tests of the configuration reference."""

from __future__ import annotations

from pathlib import Path

from shallotmux.settings._reference import render_reference

PAGE = Path(__file__).parents[2] / 'docs' / 'configuration.md'


def test_reference_is_current() -> None:
    """Guards against a page that lacks a setting or shows an outdated default."""
    assert PAGE.read_text(encoding='utf-8') == render_reference()
