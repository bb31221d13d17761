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
        _export(revision, folder)
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


def _export(revision: str, folder: pathlib.Path) -> None:
    packed = folder / 'earlier.tar'
    command = ['git', 'archive', '-o', str(packed), revision, 'skylarkfold']
    try:
        subprocess.run(command, cwd=_ROOT, check=True, capture_output=True)
    except (OSError, subprocess.CalledProcessError) as error:
        raise errors.UsageError(f'no revision {revision!r}') from error
    shutil.unpack_archive(packed, folder)


def _lay_over(folder: pathlib.Path) -> None:
    for pattern in _FILES:
        for path in (_ROOT / _MODEL).glob(pattern):
            shutil.copy(path, folder / _MODEL / path.name)
