"""Sweeps of the users' bench: one day run on fleets of several sizes.

The bench runs real processes, so unlike the measures, which use virtual
clocks, a sweep includes the cost of sockets and of the interpreter.
"""

from __future__ import annotations

from collections.abc import Iterator
import pathlib
import re

import msgspec

from skylarkfold import errors
from skylarkfold.report import _results

# A row has a name, a "middle / most" pair for each size, the power and the
# value extrapolated to the target size.
_PAIR_PATTERN = re.compile(r'([\d.]+) / ([\d.]+)')
_ROW_PATTERN = re.compile(r'^(?P<name>\S.*?)\s{2,}(?P<rest>[\d.]+ / .*)$')
_DAY_PATTERN = re.compile(
    r'^sweep-(?P<size>\d+)\s+\S+\s+\S+\s+(?P<worth>[\d.]+)'
)
_BROKEN_MARK = 'BROKEN'


class Amount(msgspec.Struct, frozen=True):
    """One amount, measured at each size.

    :param name: its name and unit.
    :param middle: the value of the middle instance, by size.
    :param most: the value of the busiest instance, or the longest time, by
        size.
    :param power: the power of the number of instances with which ``most``
        grows.
    :param at_target: ``most`` extrapolated to the target size; not measured.
    """

    name: str
    middle: list[float]
    most: list[float]
    power: float
    at_target: float


class Sweep(msgspec.Struct, frozen=True):
    """The results of one sweep.

    :param site: the deployment.
    :param commit: the commit of the sources.
    :param sizes: the requested numbers of instances.
    :param worth: the worth of the day, by size.
    :param broken: the sizes at which a rule was broken.
    :param amounts: the measured amounts.
    """

    site: str
    commit: str
    sizes: list[int]
    worth: list[float]
    broken: list[int]
    amounts: list[Amount]


def parse_sweep(text: str, site: str, commit: str) -> Sweep:
    """Parse the output of a sweep.

    :param text: the output of the bench.
    :param site: the deployment.
    :param commit: the commit of the sources.
    :returns: the sweep.
    :raises DecodeError: if the output is not that of a complete sweep.
    """
    worth_by_size = {}
    broken = []
    amounts = []
    for line in text.splitlines():
        day_match = _DAY_PATTERN.match(line)
        row_match = _ROW_PATTERN.match(line)
        if day_match is not None:
            size = int(day_match['size'])
            worth_by_size[size] = float(day_match['worth'])
            if _BROKEN_MARK in line:
                broken.append(size)
        elif row_match is not None:
            amounts.append(_parse_amount(row_match['name'], row_match['rest']))
    sizes = sorted(worth_by_size)
    is_complete = all(len(each.middle) == len(sizes) for each in amounts)
    if not sizes or not amounts or not is_complete:
        raise errors.DecodeError('not the output of a complete sweep')
    worth = [worth_by_size[size] for size in sizes]
    return Sweep(site, commit, sizes, worth, broken, amounts)


def _parse_amount(name: str, rest: str) -> Amount:
    pairs = _PAIR_PATTERN.findall(rest)
    power, at_target = _PAIR_PATTERN.sub('', rest).split()
    return Amount(
        name,
        [float(middle) for middle, _ in pairs],
        [float(most) for _, most in pairs],
        float(power),
        float(at_target),
    )


def read_sweeps(path: str | pathlib.Path) -> list[Sweep]:
    """Read the stored sweeps.

    :param path: the file; a missing file holds no sweeps.
    :returns: the sweeps.
    :raises SettingsError: if it can't be read.
    """
    if not pathlib.Path(path).exists():
        return []
    return _results.read_typed(path, list[Sweep])


def write_sweeps(sweeps: list[Sweep], path: str | pathlib.Path) -> None:
    """Store sweeps.

    :param sweeps: the sweeps.
    :param path: the file.
    """
    data = msgspec.json.format(msgspec.json.encode(sweeps), indent=1)
    pathlib.Path(path).write_bytes(data + b'\n')


def format_sweep(sweep: Sweep) -> Iterator[str]:
    """Format a sweep as a table.

    :param sweep: the sweep.
    :returns: lines of Markdown.
    """
    sizes = ' | '.join(str(size) for size in sweep.sizes)
    worth = ', '.join(f'{each:.3f}' for each in sweep.worth)
    broken = ', '.join(str(size) for size in sweep.broken)
    yield f'### {sweep.site}, {sweep.commit}'
    yield ''
    yield f'Worth {worth}; a rule broken at: {broken or "no size"}.'
    yield ''
    yield f'| middle / busiest or longest | {sizes} | power | at full size |'
    yield '| --- |' + ' --- |' * (len(sweep.sizes) + 2)
    for each in sweep.amounts:
        pairs = ' | '.join(
            f'{middle:g} / {most:g}'
            for middle, most in zip(each.middle, each.most, strict=True)
        )
        target = f'{each.at_target:g}'
        yield f'| {each.name} | {pairs} | {each.power:g} | {target} |'
    yield ''
