"""The capacity page, generated from the results of the measures."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence

from skylarkfold.report import _capacity
from skylarkfold.report import _figure
from skylarkfold.report import _measured_figures
from skylarkfold.report import _page
from skylarkfold.report import _results
from skylarkfold.report import _sweep
from skylarkfold.report import _target_size

HEADING = """\
# Capacity

What each role needs at the size that decides the design. Written by
`make measure` (`skylarkfold/report/_capacity.py`) from what the measures
printed into `measures.json`; edit nothing here. The letter's size:
{size}.

Budget of a node for control: {core:.1%} of a core, {memory:g} MB,
{bytes:,.0f} bytes a second. *Measured* figures were printed at the full
size: by decision cores on a virtual clock, without sockets and TLS, or
by one process on loopback. *Extrapolated* ones are worked out from a
slope that was printed at a smaller size. Nothing here was run as 600
processes; what fleets of up to 300 showed on the users' bench stands last.
"""
SIZE_TEXT = (
    '{nodes} nodes, {upstreams:,} upstreams, {addresses:,} addresses, '
    '{flows:,} open flows, {new_flows_per_second:,} new ones a second, '
    '{zones} zones, {changes_per_day:,} changes, {failures_per_day} '
    'failures and {restarts_per_day} restarts a day'
)
LIMITS = """\
## What breaks first

Figures with a limit, by the share of it that they use. Above 1 the
limit is passed at the full size; where a figure grows in proportion, it
is reached at the size in the last column. Traffic for seconds of a
storm is set beside the lasting budget: it passes it for those seconds.
"""
SWEEPS = """\
## Sweeps of the users' bench

One day with real processes on fleets of three sizes, traffic and upstreams
growing with them: config changes, a roll, machines that lose power, a zone
that does, the end of all. The power is that of the busiest or longest by the
number of instances; the last column carries it on and was not played.
"""
TABLE_HEAD = (
    '| figure | value | limit | basis | from | carried by |\n'
    '| --- | --- | --- | --- | --- | --- |'
)


def format_capacity(
    results: _results.Results, sweeps: Sequence[_sweep.Sweep] = ()
) -> str:
    """Format the capacity page.

    :param results: the results of all measures.
    :param sweeps: the sweeps run on the users' bench.
    :returns: the page in Markdown.
    """
    size, budget = _target_size.TargetSize(), _target_size.Budget()
    measured = _measured_figures.MeasuredFigures(results)
    figures = _capacity.CapacityModel(measured, size, budget).list_figures()
    text = SIZE_TEXT.format(
        **{name: getattr(size, name) for name in size.__slots__}
    )
    heading = HEADING.format(
        size=text,
        core=budget.core_share,
        memory=budget.memory_mb,
        bytes=budget.bytes_per_second,
    )
    parts = [heading, *_format_runs(results), *_format_roles(figures)]
    parts += _format_limits(figures)
    parts += _format_sweeps(sweeps)
    return '\n'.join(parts)


def _format_sweeps(sweeps: Sequence[_sweep.Sweep]) -> Iterator[str]:
    if not sweeps:
        return
    yield SWEEPS
    for each in sweeps:
        yield from _sweep.format_sweep(each)


def _format_runs(results: _results.Results) -> Iterator[str]:
    yield '| measure | date (UTC) | commit | machine |'
    yield '| --- | --- | --- | --- |'
    for name, each in results.measures.items():
        outcome = f' **failed**: {each.error}' if each.error else ''
        cells = (f'`{name}`{outcome}', each.date, each.commit, each.machine)
        yield f'| {" | ".join(cells)} |'
    yield ''


def _format_value(value: float | None, unit: str) -> str:
    if value is None:
        return '-'
    return f'{_page.format_value(float(value))} {unit}'


def _format_roles(figures: list[_figure.Figure]) -> Iterator[str]:
    for role in dict.fromkeys(each.role for each in figures):
        yield f'## {role}\n'
        yield TABLE_HEAD
        for each in figures:
            if each.role == role:
                yield _format_figure(each)
        yield ''


def _format_figure(figure: _figure.Figure) -> str:
    cells = (
        figure.name,
        _format_value(figure.value, figure.unit),
        _format_value(figure.budget, figure.unit),
        figure.basis.value,
        f'`{figure.source}`',
        figure.carried_by,
    )
    return f'| {" | ".join(cells)} |'


def _format_limits(figures: list[_figure.Figure]) -> Iterator[str]:
    yield LIMITS
    yield '| role | figure | share of the limit | reached at |'
    yield '| --- | --- | --- | --- |'
    limited = [each for each in figures if each.load is not None]
    for each in sorted(limited, key=lambda each: -each.load):
        reached = f'{1 / each.load:.2g} x the size' if each.load else 'never'
        load = _page.format_value(each.load)
        yield f'| {each.role} | {each.name} | {load} | {reached} |'
    yield ''
