"""Single figures out of the measures' results."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from skylarkfold.report import _results

Reduce = Callable[[Iterable[float]], float]


class Slopes:
    """Finds figures that measures printed.

    :param results: all results.
    """

    def __init__(self, results: _results.Results) -> None:
        self._results = results

    def list_rows(
        self, measure: str, **where: _results.Value
    ) -> list[_results.Row]:
        """List a measure's rows that have certain values.

        :param measure: the measure's name.
        :param where: the values that a row must have.
        :returns: the rows; none where the measure has not run.
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
        """Find one figure.

        :param measure: the measure's name.
        :param field: the figure's name.
        :param reduce: what makes one of several rows' figures.
        :param where: the values that a row must have.
        :returns: the figure; None where no row has it.
        """
        values = [
            row[field]
            for row in self.list_rows(measure, **where)
            if isinstance(row.get(field), int | float)
        ]
        return reduce(values) if values else None
