"""Plays patterns with an earlier version of the product's decisions.

The earlier tree is taken from the repository's history into a folder of its
own, this version's model is laid over it, and a process of its own plays:
both versions face the same callers and upstreams, nothing is copied.
"""

from __future__ import annotations

import json
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

from skylarkfold import errors

_ROOT = pathlib.Path(__file__).parent.parent.parent
_MODEL = 'skylarkfold/measure'
_FILES = 'overload.py', '_overload_*.py'
# Trees without this module have other names for the decisions that the model
# calls; the model of the last revision with those names is laid over them.
_MODULE_SINCE_RENAMES = 'skylarkfold/light_imports.py'
_LAST_REVISION_BEFORE_RENAMES = '27ad149'
_PLAY = """
import dataclasses, json, sys
from skylarkfold.measure import overload
seed, *names = json.loads(sys.argv[1])
results = overload.measure(seed, tuple(names), ('product',), '')
print(json.dumps([dataclasses.asdict(each) for each in results]))
"""


def play(
    revision: str, names: list[str], seed: int
) -> list[dict[str, object]]:
    """Play patterns with an earlier version.

    :param revision: of the repository.
    :param names: the patterns' names; empty for all.
    :param seed: of all that is drawn.
    :returns: the fields of one result a pattern.
    :raises UsageError: if the history has no such revision.
    """
    with tempfile.TemporaryDirectory() as scratch:
        folder = pathlib.Path(scratch)
        _export(revision, 'skylarkfold', folder)
        _lay_over(folder)
        found = [path for path in sys.path if path and path != str(_ROOT)]
        paths = os.pathsep.join([scratch, *found])
        played = subprocess.run(
            [sys.executable, '-c', _PLAY, json.dumps([seed, *names])],
            cwd=scratch,
            env=dict(os.environ, PYTHONPATH=paths),
            stdout=subprocess.PIPE,
            check=True,
        )
    return json.loads(played.stdout)


def _export(revision: str, paths: str, folder: pathlib.Path) -> None:
    packed = folder / 'earlier.tar'
    command = ['git', 'archive', '-o', str(packed), revision, paths]
    try:
        subprocess.run(command, cwd=_ROOT, check=True, capture_output=True)
    except (OSError, subprocess.CalledProcessError) as error:
        raise errors.UsageError(f'no revision {revision!r}') from error
    shutil.unpack_archive(packed, folder)


def _lay_over(folder: pathlib.Path) -> None:
    if not (folder / _MODULE_SINCE_RENAMES).exists():
        for pattern in _FILES:
            paths = f'{_MODEL}/{pattern}'
            _export(_LAST_REVISION_BEFORE_RENAMES, paths, folder)
        return
    for pattern in _FILES:
        for path in (_ROOT / _MODEL).glob(pattern):
            shutil.copy(path, folder / _MODEL / path.name)
