"""Lookup of single figures in the results of the measures."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from skylarkfold.report import _results

Reduce = Callable[[Iterable[float]], float]


class MeasuredFigures:
    """Lookup of rows and figures in the results of the measures.

    :param results: the results of all measures.
    """

    def __init__(self, results: _results.Results) -> None:
        self._results = results

    def list_rows(
        self, measure: str, **where: _results.Value
    ) -> list[_results.Row]:
        """Return a measure's rows that have certain values.

        :param measure: the measure's name.
        :param where: the values that a row must have, by field.
        :returns: the rows; empty if the measure has no results.
        """
        measured = self._results.measures.get(measure)
        return [
            row
            for row in (measured.rows if measured else ())
            if all(row.get(name) == value for name, value in where.items())
        ]

    def find(
        self,
        measure: str,
        field: str,
        reduce: Reduce = max,
        **where: _results.Value,
    ) -> float | None:
        """Return one figure.

        :param measure: the measure's name.
        :param field: the name of the field.
        :param reduce: the function that combines the values of several rows.
        :param where: the values that a row must have, by field.
        :returns: the figure; None if no row has it.
        """
        values = [
            row[field]
            for row in self.list_rows(measure, **where)
            if isinstance(row.get(field), int | float)
        ]
        return reduce(values) if values else None
