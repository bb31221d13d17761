"""The page with the results of all measures."""

from __future__ import annotations

from collections.abc import Iterator
import itertools

from skylarkfold.report import _results

HEADING = """\
# Measures

Written by `make measure` from what each command printed; edit nothing
here. Each measure names its command, date, commit and machine. Ratios
compare within one run; times and rates depend on the machine and on
what else it did.
"""


def format_page(results: _results.Results, plots: dict[str, str]) -> str:
    """Format the page.

    :param results: the results of all measures.
    :param plots: the paths of the plots by title.
    :returns: the page in Markdown.
    """
    parts = [HEADING]
    for name, measured in results.measures.items():
        parts.append('\n'.join(_format_measure(name, measured)))
    parts += [f'![{title}]({path})\n' for title, path in plots.items()]
    return '\n'.join(parts)


def _format_measure(name: str, measured: _results.Measured) -> Iterator[str]:
    yield f'## {name}\n'
    yield f'`{measured.command}`, {measured.date} UTC, commit'
    yield f'{measured.commit}, {measured.seconds:g} s, on'
    yield f'{measured.machine}.\n'
    if measured.error:
        yield f'**Failed**: {measured.error}\n'
    for fields, rows in itertools.groupby(measured.rows, key=tuple):
        yield from _format_table(fields, list(rows))
        yield ''


def _format_table(
    fields: tuple[str, ...], rows: list[_results.Row]
) -> Iterator[str]:
    if len(rows) == 1:
        fields, rows = ('figure', 'value'), _transpose(rows[0])
    yield f'| {" | ".join(fields)} |'
    yield f'|{" --- |" * len(fields)}'
    for row in rows:
        cells = (format_value(row[field]) for field in fields)
        yield f'| {" | ".join(cells)} |'


def _transpose(row: _results.Row) -> list[_results.Row]:
    return [{'figure': name, 'value': value} for name, value in row.items()]


def format_value(value: _results.Value) -> str:
    """Format one value for a table.

    :param value: the value.
    :returns: its text; floats below 10,000 have four significant digits.
    """
    if isinstance(value, bool) or value is None:
        return str(value).lower()
    if isinstance(value, int):
        return f'{value:,}'
    if isinstance(value, float):
        return f'{value:,.0f}' if abs(value) >= 10_000 else f'{value:.4g}'
    return value
