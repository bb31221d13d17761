"""SVG plots of the results; they require the extra ``plots``."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import pathlib

from skylarkfold.report import _results


@dataclasses.dataclass(frozen=True, slots=True)
class Plot:
    """One plot of a measure's rows.

    :param title: the title.
    :param measure: the measure.
    :param x: the field on the horizontal axis, or that names the bars.
    :param y: the field of the plotted values.
    :param series: the field that names the lines; empty for a bar chart.
    """

    title: str
    measure: str
    x: str
    y: str
    series: str = ''

    @property
    def file_name(self) -> str:
        """The name of the plot's file."""
        words = f'{self.measure}-{self.y}-over-{self.x}'
        return words.replace('_', '-') + '.svg'


PLOTS = (
    Plot('Broken flows by rule', 'flows', 'rule', 'broken_flows'),
    Plot('Imbalance by rule', 'flows', 'rule', 'imbalance'),
    Plot(
        'Propagation over nodes, 99th percentile in s',
        'control',
        'nodes',
        'propagation_p99_s',
        'scenario',
    ),
    Plot(
        'Control bytes a node and second over nodes',
        'control',
        'nodes',
        'bytes_per_node_second',
        'scenario',
    ),
    Plot(
        '99th percentile of latency over load, in ms',
        'requests',
        'load',
        'p99_ms',
        'policy',
    ),
    Plot(
        'Credit under heavy load by pattern',
        'overload',
        'pattern',
        'worth_in_trouble',
        'policy',
    ),
)


def write_plots(
    results: _results.Results,
    folder: pathlib.Path,
    report: Callable[[str], None],
) -> dict[str, str]:
    """Write all plots whose fields are in the results.

    :param results: the results of all measures.
    :param folder: the folder to write to.
    :param report: the function that prints a message if matplotlib is not
        installed.
    :returns: the file names of the plots by title.
    """
    try:
        import matplotlib
    except ImportError:
        report('no plots: matplotlib is not installed (extra "plots")')
        return {}
    matplotlib.use('svg')
    # A fixed salt keeps the identifiers in the files the same in every run.
    matplotlib.rcParams['svg.hashsalt'] = 'skylarkfold'
    folder.mkdir(parents=True, exist_ok=True)
    written = {}
    for plot in PLOTS:
        measured = results.measures.get(plot.measure)
        rows = [
            row
            for row in (measured.rows if measured else ())
            if plot.x in row and plot.y in row
        ]
        if rows:
            _write_plot(plot, rows, folder / plot.file_name)
            written[plot.title] = plot.file_name
    return written


def _write_plot(
    plot: Plot, rows: list[_results.Row], path: pathlib.Path
) -> None:
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    if plot.series:
        _draw_lines(plot, rows, axes)
    else:
        _draw_bars(plot, rows, axes)
    axes.set_title(plot.title)
    axes.set_xlabel(plot.x)
    axes.set_ylabel(plot.y)
    figure.tight_layout()
    figure.savefig(path, metadata={'Date': None})
    pyplot.close(figure)


def _draw_lines(plot: Plot, rows: list[_results.Row], axes: object) -> None:
    lines: dict[str, list[tuple[float, float]]] = {}
    for row in rows:
        name = str(row.get(plot.series, ''))
        lines.setdefault(name, []).append((row[plot.x], row[plot.y]))
    for name, points in lines.items():
        axes.plot(*zip(*sorted(points), strict=True), marker='o', label=name)
    axes.legend(fontsize='small')


def _draw_bars(plot: Plot, rows: list[_results.Row], axes: object) -> None:
    highest: dict[str, float] = {}
    for row in rows:
        name = str(row[plot.x])
        highest[name] = max(highest.get(name, 0.0), row[plot.y])
    axes.barh(list(highest), list(highest.values()))
