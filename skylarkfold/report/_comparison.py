"""Comparison of two results files."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses

from skylarkfold.report import _results


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """One figure that differs between two results files.

    :param measure: the measure's name.
    :param row: the label of its row.
    :param field: the figure's name.
    :param before: the earlier value; None if there was none.
    :param after: the later value; None if there is none.
    :param ratio: the later value divided by the earlier one; None if either is
        missing or the earlier one is zero.
    """

    measure: str
    row: str
    field: str
    before: float | None
    after: float | None
    ratio: float | None


def compare(
    before: _results.Results, after: _results.Results
) -> list[Difference]:
    """Return the figures that differ.

    Rows are matched by their text values, and rows with equal texts by
    their order.

    :param before: the earlier results.
    :param after: the later results.
    :returns: the differences, by measure.
    """
    names = sorted({*before.measures, *after.measures})
    return [
        difference
        for name in names
        for difference in _compare_measure(
            name, before.measures.get(name), after.measures.get(name)
        )
    ]


def _compare_measure(
    name: str,
    before: _results.Measured | None,
    after: _results.Measured | None,
) -> Iterator[Difference]:
    figures_before, figures_after = (
        _collect_figures(before),
        _collect_figures(after),
    )
    for row, field in dict.fromkeys([*figures_before, *figures_after]):
        value_before, value_after = (
            figures_before.get((row, field)),
            figures_after.get((row, field)),
        )
        if value_before != value_after:
            yield Difference(
                name,
                row,
                field,
                value_before,
                value_after,
                _compute_ratio(value_after, value_before),
            )


def _collect_figures(
    measured: _results.Measured | None,
) -> dict[tuple[str, str], float]:
    """Return the value of each figure by row label and field name."""
    figures: dict[tuple[str, str], float] = {}
    seen: dict[str, int] = {}
    for row in measured.rows if measured else ():
        texts = [each for each in row.values() if isinstance(each, str)]
        label = ' '.join(texts)
        seen[label] = seen.get(label, 0) + 1
        if seen[label] > 1:
            label = f'{label} #{seen[label]}'
        for field, value in row.items():
            if isinstance(value, int | float):
                figures[label, field] = value
    return figures


def _compute_ratio(after: float | None, before: float | None) -> float | None:
    if after is None or not before:
        return None
    return round(after / before, 3)
