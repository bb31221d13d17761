"""Command ``python -m skylarkfold.report.sweep FILE SITE COMMIT``.

Parses the output of a sweep of the users' bench, stores it in
``docs/sweeps.json`` in place of an earlier sweep of that site, and regenerates
``docs/CAPACITY.md``.
"""

import pathlib

import fire

from skylarkfold import files
from skylarkfold.report import _capacity_page
from skylarkfold.report import _results
from skylarkfold.report import _sweep

DOCS = pathlib.Path('docs')
SWEEPS = DOCS / 'sweeps.json'


def keep(path: str, site: str, commit: str) -> None:
    """Store a sweep and regenerate the capacity page.

    :param path: the file with the output of the bench.
    :param site: the deployment.
    :param commit: the commit of the sources.
    """
    text = files.read_bytes(path).decode()
    sweep = _sweep.parse_sweep(text, site, str(commit))
    kept = [
        each for each in _sweep.read_sweeps(SWEEPS) if each.site != sweep.site
    ]
    sweeps = [*kept, sweep]
    _sweep.write_sweeps(sweeps, SWEEPS)
    results = _results.read_results(DOCS / 'measures.json')
    page = _capacity_page.format_capacity(results, sweeps)
    (DOCS / 'CAPACITY.md').write_text(page)


if __name__ == '__main__':
    fire.Fire(keep, name='skylarkfold.report.sweep')
