"""Output of responses as tables or JSON."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import click

Row = Mapping[str, Any]


def print_json(content: object) -> None:
    """Print a value as indented JSON."""
    click.echo(json.dumps(content, indent=2, ensure_ascii=False))


def print_rows(rows: Sequence[Row], columns: Iterable[str] = ()) -> None:
    """Print rows as a table with a header.

    :param columns: columns to print; by default the keys of the first row.
    """
    names = list(columns) or list(rows[0] if rows else ())
    if not rows:
        click.echo('nothing to show')
        return
    lines = [names, *([_cell(row.get(name, '')) for name in names] for row in rows)]
    widths = [max(len(line[index]) for line in lines) for index in range(len(names))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        click.echo('  '.join(cells).rstrip())


def _cell(content: Any) -> str:
    match content:
        case bool():
            return 'yes' if content else 'no'
        case str():
            return content
        case list() if all(isinstance(each, str) for each in content):
            return ', '.join(content)
        case _:
            return json.dumps(content, ensure_ascii=False)
