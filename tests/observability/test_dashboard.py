"""Tests of the dashboard."""

from __future__ import annotations

import json
import re
from pathlib import Path

from shallotmux.observability import Metrics

PAGE = Path(__file__).parents[2] / 'docs' / 'dashboards' / 'shallotmux.json'


def test_dashboard_names_existing_metrics() -> None:
    """Guards against panels of metrics that do not exist, and metrics without a panel."""
    panels = json.loads(PAGE.read_text())['panels']
    queries = ' '.join(target['expr'] for panel in panels for target in panel['targets'])
    used = set(re.findall(r'shallotmux_[a-z_]+', queries))
    used = {re.sub('_(total|bucket|count|sum|info)$', '', name) for name in used}
    assert used == {family.name for family in Metrics().registry.collect()}
