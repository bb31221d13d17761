"""What a sweep of the users' bench printed: one day on fleets of three sizes.

The bench plays real processes, so its slopes count what the measures' virtual
clocks leave out: sockets, the interpreter, all decisions at once.
"""

from __future__ import annotations

from collections.abc import Iterator
import pathlib
import re

import msgspec

from skylarkfold import errors
from skylarkfold.report import _results

# A row: its name, a pair for each size, the power, the value at full size.
_PAIR = re.compile(r'([\d.]+) / ([\d.]+)')
_ROW = re.compile(r'^(?P<name>\S.*?)\s{2,}(?P<rest>[\d.]+ / .*)$')
_DAY = re.compile(r'^sweep-(?P<size>\d+)\s+\S+\s+\S+\s+(?P<worth>[\d.]+)')
_BROKEN = 'BROKEN'


class Amount(msgspec.Struct, frozen=True):
    """One amount, at each size.

    :param name: what it is, with its unit.
    :param middle: of the middle instance, by size.
    :param most: of the busiest one, or the longest time, by size.
    :param power: how the latter grows with the number of instances.
    :param at_target: what that leads to at the full size; not played.
    """

    name: str
    middle: list[float]
    most: list[float]
    power: float
    at_target: float


class Sweep(msgspec.Struct, frozen=True):
    """One sweep.

    :param site: the deployment that was swept.
    :param commit: of which sources.
    :param sizes: how many instances were asked for.
    :param worth: of the day at each size.
    :param broken: the sizes at which a rule was broken.
    :param amounts: what was seen.
    """

    site: str
    commit: str
    sizes: list[int]
    worth: list[float]
    broken: list[int]
    amounts: list[Amount]


def parse_sweep(text: str, site: str, commit: str) -> Sweep:
    """Read what the bench printed.

    :param text: its output.
    :param site: the deployment.
    :param commit: of the sources that were played.
    :returns: the sweep.
    :raises DecodeError: if it is none that was played to its end.
    """
    days = {}
    broken = []
    amounts = []
    for line in text.splitlines():
        day = _DAY.match(line)
        row = _ROW.match(line)
        if day is not None:
            size = int(day['size'])
            days[size] = float(day['worth'])
            if _BROKEN in line:
                broken.append(size)
        elif row is not None:
            amounts.append(_parse_amount(row['name'], row['rest']))
    sizes = sorted(days)
    is_whole = all(len(each.middle) == len(sizes) for each in amounts)
    if not sizes or not amounts or not is_whole:
        raise errors.DecodeError('no sweep that was played to its end')
    worth = [days[size] for size in sizes]
    return Sweep(site, commit, sizes, worth, broken, amounts)


def _parse_amount(name: str, rest: str) -> Amount:
    pairs = _PAIR.findall(rest)
    power, at_target = _PAIR.sub('', rest).split()
    return Amount(
        name,
        [float(middle) for middle, _ in pairs],
        [float(most) for _, most in pairs],
        float(power),
        float(at_target),
    )


def read_sweeps(path: str | pathlib.Path) -> list[Sweep]:
    """Read the sweeps that are kept.

    :param path: the file; one that is not there holds none.
    :returns: the sweeps.
    :raises SettingsError: if it can't be read.
    """
    if not pathlib.Path(path).exists():
        return []
    return _results.read_typed(path, list[Sweep])


def write_sweeps(sweeps: list[Sweep], path: str | pathlib.Path) -> None:
    """Keep sweeps.

    :param sweeps: the sweeps.
    :param path: the file.
    """
    data = msgspec.json.format(msgspec.json.encode(sweeps), indent=1)
    pathlib.Path(path).write_bytes(data + b'\n')


def format_sweep(sweep: Sweep) -> Iterator[str]:
    """Format one as a table.

    :param sweep: the sweep.
    :returns: lines of Markdown.
    """
    heads = ' | '.join(str(size) for size in sweep.sizes)
    worth = ', '.join(f'{each:.3f}' for each in sweep.worth)
    broken = ', '.join(str(size) for size in sweep.broken)
    yield f'### {sweep.site}, {sweep.commit}'
    yield ''
    yield f'Worth {worth}; a rule broken at: {broken or "no size"}.'
    yield ''
    yield f'| middle / busiest or longest | {heads} | power | at full size |'
    yield '| --- |' + ' --- |' * (len(sweep.sizes) + 2)
    for each in sweep.amounts:
        pairs = ' | '.join(
            f'{middle:g} / {most:g}'
            for middle, most in zip(each.middle, each.most, strict=True)
        )
        target = f'{each.at_target:g}'
        yield f'| {each.name} | {pairs} | {each.power:g} | {target} |'
    yield ''
