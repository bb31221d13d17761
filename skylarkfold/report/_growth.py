"""Comparison of two runs of one site with different numbers of instances."""

from __future__ import annotations

import dataclasses
import math

from skylarkfold import errors
from skylarkfold.report import _journal

# Smaller values give no meaningful exponent, because worth is rounded to
# ten-thousandths.
_MIN_WORTH = 0.0005


@dataclasses.dataclass(frozen=True, slots=True)
class Growth:
    """One figure of one day at two numbers of instances.

    :param day: the name of the day.
    :param figure: a description: the worth that a part loses or that a price
        deducts, or a priced amount.
    :param small: the value at the smaller number of instances.
    :param large: the value at the larger number.
    :param change: ``large`` minus ``small``.
    :param exponent: the power of the number of instances with which the figure
        grows: 0 for constant, 1 for linear, 2 for quadratic growth; None if
        a value is too small.
    """

    day: str
    figure: str
    small: float
    large: float
    change: float
    exponent: float | None


def compare_sizes(
    small: _journal.Entry, large: _journal.Entry
) -> list[Growth]:
    """Compare a run with a run of the same site with more instances.

    :param small: the journal entry of the run with fewer instances.
    :param large: the journal entry of the run with more instances.
    :returns: for each day that both runs contain, the worth lost by part,
        zone and kind of request, the worth deducted by each price, and the
        priced amounts; the largest values of the larger run first.
    :raises UsageError: if a run did not finish, the sites differ, the second
        run is not larger, or the runs have no day in common.
    """
    _check_comparable(small, large)
    large_days = {day.name: day for day in large.days}
    growths = []
    for day in small.days:
        if day.name in large_days:
            growths += _compare_days(day, large_days[day.name])
    if not growths:
        raise errors.UsageError('the two runs have no day in common')
    return growths


def _check_comparable(small: _journal.Entry, large: _journal.Entry) -> None:
    for entry in (small, large):
        if entry.error or not entry.ok or entry.days_left_out:
            raise errors.UsageError(f'run {entry.id} did not finish')
        if not entry.days or not all(day.balancers for day in entry.days):
            raise errors.UsageError(
                f'run {entry.id} has no days or no number of instances'
            )
    if small.site is None or small.site != large.site:
        message = f'the runs are not of one site: {small.site}, {large.site}'
        raise errors.UsageError(message)
    sizes = [
        min(day.balancers for day in small.days),
        max(day.balancers for day in large.days),
    ]
    if sizes[0] >= sizes[1]:
        message = f'the second run is not larger: {sizes[0]}, {sizes[1]}'
        raise errors.UsageError(message)


def _compare_days(small: _journal.Day, large: _journal.Day) -> list[Growth]:
    ratio = large.balancers / small.balancers
    growths = []
    for list_figures in (_list_losses, _list_amounts):
        small_figures, large_figures = list_figures(small), list_figures(large)
        rows = [
            _build_growth(small.name, name, value, large_figures[name], ratio)
            for name, value in small_figures.items()
            if name in large_figures and (value or large_figures[name])
        ]
        growths += sorted(rows, key=lambda each: -abs(each.large))
    return growths


def _list_losses(day: _journal.Day) -> dict[str, float]:
    """Return the worth that a day loses, by cause."""
    losses = {'in all': 1 - day.worth}
    for name, weight, share in day.parts:
        losses[f'part: {name}'] = weight * (1 - share)
    for kind, shares in (('kind', day.by_class), ('zone', day.by_zone)):
        for number, share in enumerate(shares, 1):
            if share is not None:
                losses[f'{kind} {number}, not served in time'] = 1 - share
    for name, _, worth in day.prices:
        losses[f'price: {name}'] = worth
    return losses


def _list_amounts(day: _journal.Day) -> dict[str, float]:
    return {f'amount: {name}': amount for name, amount, _ in day.prices}


def _build_growth(
    day: str, figure: str, small: float, large: float, ratio: float
) -> Growth:
    exponent = None
    if min(small, large) >= _MIN_WORTH:
        exponent = round(math.log(large / small) / math.log(ratio), 2)
    return Growth(
        day,
        figure,
        round(small, 4),
        round(large, 4),
        round(large - small, 4),
        exponent,
    )
