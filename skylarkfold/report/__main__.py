"""Command ``python -m skylarkfold.report [NAME ...]``, for ``make measure``.

Runs the named measures, or all, and writes ``docs/measures.json``,
``docs/MEASURES.md``, ``docs/CAPACITY.md`` and the plots.
Other measures keep their earlier results.
"""

import pathlib
import sys

from skylarkfold.report import _capacity_page
from skylarkfold.report import _page
from skylarkfold.report import _plots
from skylarkfold.report import _results
from skylarkfold.report import _run
from skylarkfold.report import _sweep

DOCS = pathlib.Path('docs')
RESULTS = DOCS / 'measures.json'
PAGE = DOCS / 'MEASURES.md'
CAPACITY = DOCS / 'CAPACITY.md'
PLOTS = DOCS / 'plots'
SWEEPS = DOCS / 'sweeps.json'


def _write(results: _results.Results) -> None:
    """Write the results file, the plots and the pages."""
    _results.write_results(results, RESULTS)
    plots = _plots.write_plots(results, PLOTS, print)
    paths = {title: f'{PLOTS.name}/{name}' for title, name in plots.items()}
    sweeps = _sweep.read_sweeps(SWEEPS)
    CAPACITY.write_text(_capacity_page.format_capacity(results, sweeps))
    PAGE.write_text(_page.format_page(results, paths))


def main(names: list[str]) -> int:
    """Run measures and write the pages.

    :param names: the names of the measures; empty for all.
    :returns: the exit status: 1 if a measure failed, 2 for an unknown name.
    """
    all_measures = _run.list_measures()
    unknown = [name for name in names if name not in all_measures]
    if unknown:
        print(
            f'no measure {unknown[0]!r}; there are {", ".join(all_measures)}'
        )
        return 2
    earlier = None
    if RESULTS.exists():
        earlier = _results.read_results(RESULTS)
    results = _run.run_measures(names or all_measures, earlier, print, _write)
    failed = [
        name for name in names or all_measures if results.measures[name].error
    ]
    print(f'{RESULTS}, {PAGE}; failed: {", ".join(failed) or "none"}')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
