"""Output of results as a table or as JSON."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses

import msgspec

_DECIMALS = 4


def _format_value(value: object) -> str:
    if isinstance(value, float):
        return f'{value:.{_DECIMALS}g}'
    return str(value)


def format_table(results: Sequence[object]) -> list[str]:
    """Format results of one type as a table with aligned columns.

    :param results: instances of one dataclass.
    :returns: the lines, of which the first contains the field names.
    """
    if not results:
        return []
    names = [field.name for field in dataclasses.fields(results[0])]
    rows = [names]
    for result in results:
        rows.append([_format_value(getattr(result, name)) for name in names])
    widths = [max(map(len, column)) for column in zip(*rows)]
    return [
        '  '.join(cell.ljust(width) for cell, width in zip(row, widths))
        for row in rows
    ]


def print_results(results: Sequence[object], as_json: bool) -> None:
    """Print results.

    :param results: instances of one dataclass.
    :param as_json: whether to print one JSON object per line instead of a
        table.
    """
    if as_json:
        for result in results:
            print(msgspec.json.encode(result).decode())
        return
    for line in format_table(results):
        print(line.rstrip())
