"""``python -m skylarkfold.report.sweep FILE SITE COMMIT``: keeps a sweep.

Reads what the users' bench printed, keeps it in ``docs/sweeps.json`` in place
of an earlier one of that site, and writes ``docs/CAPACITY.md`` anew.
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
    """Keep a sweep.

    :param path: what the bench printed.
    :param site: the deployment.
    :param commit: of the sources that were played.
    """
    text = files.read_bytes(path).decode()
    found = _sweep.parse_sweep(text, site, str(commit))
    kept = [
        each for each in _sweep.read_sweeps(SWEEPS) if each.site != found.site
    ]
    sweeps = [*kept, found]
    _sweep.write_sweeps(sweeps, SWEEPS)
    results = _results.read_results(DOCS / 'measures.json')
    page = _capacity_page.format_capacity(results, sweeps)
    (DOCS / 'CAPACITY.md').write_text(page)


if __name__ == '__main__':
    fire.Fire(keep, name='skylarkfold.report.sweep')
