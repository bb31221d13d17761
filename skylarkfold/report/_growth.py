"""What grows from a small run of a site to a large one."""

from __future__ import annotations

import dataclasses
import math

from skylarkfold import errors
from skylarkfold.report import _journal

# Below this an amount is too small for a rate of growth to mean anything:
# worth is told in ten-thousandths.
_LEAST_WORTH = 0.0005


@dataclasses.dataclass(frozen=True, slots=True)
class Growth:
    """One figure of one day at two sizes.

    :param day: the day.
    :param figure: what it is: worth that a part loses or a price takes, or
        an amount that is priced.
    :param small: at the smaller number of instances.
    :param large: at the larger one.
    :param change: the second less the first.
    :param exponent: how the figure grows with the number of instances: 0
        not at all, 1 in proportion, 2 as its square; None where one of the
        two is too small to tell.
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
    """Tell what grows with the number of instances.

    :param small: the run at few instances.
    :param large: the run of the same site at many.
    :returns: for each day that both played, what is lost by part, zone and
        kind of request, what each price takes, and the priced amounts;
        what costs most at the larger size first.
    :raises UsageError: if the two are not finished runs of one site at two
        sizes that have a day in common.
    """
    _check(small, large)
    later = {day.name: day for day in large.days}
    growths = []
    for day in small.days:
        if day.name in later:
            growths += _compare_days(day, later[day.name])
    if not growths:
        raise errors.UsageError('the two runs have no day in common')
    return growths


def _check(small: _journal.Entry, large: _journal.Entry) -> None:
    for entry in (small, large):
        if entry.error or not entry.ok or entry.days_left_out:
            raise errors.UsageError(f'run {entry.id} did not finish')
        if not entry.days or not all(day.balancers for day in entry.days):
            raise errors.UsageError(f'run {entry.id} tells no size')
    if small.site is None or small.site != large.site:
        reason = f'not of one site: {small.site} and {large.site}'
        raise errors.UsageError(reason)
    sizes = [
        min(day.balancers for day in small.days),
        max(day.balancers for day in large.days),
    ]
    if sizes[0] >= sizes[1]:
        reason = f'the second run is no larger: {sizes[0]}, {sizes[1]}'
        raise errors.UsageError(reason)


def _compare_days(small: _journal.Day, large: _journal.Day) -> list[Growth]:
    ratio = large.balancers / small.balancers
    growths = []
    for figures in (_list_losses, _list_amounts):
        known, later = figures(small), figures(large)
        rows = [
            _build(small.name, name, value, later[name], ratio)
            for name, value in known.items()
            if name in later and (value or later[name])
        ]
        growths += sorted(rows, key=lambda each: -abs(each.large))
    return growths


def _list_losses(day: _journal.Day) -> dict[str, float]:
    """List what a day loses of all worth, by what takes it."""
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


def _build(
    day: str, figure: str, small: float, large: float, ratio: float
) -> Growth:
    exponent = None
    if min(small, large) >= _LEAST_WORTH:
        exponent = round(math.log(large / small) / math.log(ratio), 2)
    return Growth(
        day,
        figure,
        round(small, 4),
        round(large, 4),
        round(large - small, 4),
        exponent,
    )
