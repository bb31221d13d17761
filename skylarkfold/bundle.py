"""The byte code of a start in one file.

Looking up and reading a hundred modules one by one takes a quarter of the
processor time until an instance is ready. A build writes the code of all
that a start loads into one file beside this module (``deploy/bundle.py``);
``deploy/start.py`` puts it in front of the usual import. What the file lacks
is imported as ever, and so is everything where there is no file.

Imports nothing: it is read before the file is.
"""

from __future__ import annotations

import marshal
import sys

_FOLDER = __file__.rpartition('/')[0]
_PATH = f'{_FOLDER}/start.bundle'
# Where this package and its dependencies are. A build may be moved: what is
# there is named from here on.
_ROOT = _FOLDER.rpartition('/')[0] + '/'
# Code without docstrings: a sixth less to read. Nothing here asks for them.
_OPTIMIZE = 2
_SOURCE = '.py'


class Finder:
    """Finds modules in a bundle, for :data:`sys.meta_path`.

    :param codes: origin and byte code by module; what is loaded is taken
        out, since it isn't needed twice.
    """

    __slots__ = ('_codes', '_make_spec')

    def __init__(self, codes: dict[str, tuple[str, bytes]]) -> None:
        self._codes = codes
        # As importlib.machinery names it, without loading that.
        self._make_spec = type(sys.__spec__)

    def find_spec(
        self, name: str, _path: object = None, _target: object = None
    ) -> object | None:
        """Find a module; called by the import system."""
        found = self._codes.get(name)
        if found is None:
            return None
        origin = _locate(found[0])
        spec = self._make_spec(name, self, origin=origin)
        folder, _, file = origin.rpartition('/')
        if file == '__init__.py':
            spec.submodule_search_locations = [folder]
        return spec

    def create_module(self, _spec: object) -> None:
        """Leave the making to the import system, which calls this."""

    def exec_module(self, module: object) -> None:
        """Run a module's code; called by the import system."""
        origin, code = self._codes.pop(module.__name__)
        module.__file__ = _locate(origin)
        exec(marshal.loads(code), module.__dict__)


def _locate(origin: str) -> str:
    return origin if origin.startswith('/') else _ROOT + origin


def write(path: str = _PATH) -> int:
    """Write the code of all modules that are loaded now.

    :param path: the file.
    :returns: how many modules it holds.
    """
    codes = {}
    for name, module in list(sys.modules.items()):
        spec = getattr(module, '__spec__', None)
        origin = getattr(spec, 'origin', None) or ''
        if origin.endswith(_SOURCE):
            with open(origin, 'rb') as file:
                text = file.read()
            origin = origin.removeprefix(_ROOT)
            code = compile(
                text, origin, 'exec', dont_inherit=True, optimize=_OPTIMIZE
            )
            codes[name] = (origin, marshal.dumps(code))
    with open(path, 'wb') as file:
        file.write(marshal.dumps((sys.version, codes)))
    return len(codes)


def install(path: str = _PATH) -> bool:
    """Have modules found in a bundle first.

    :param path: the file.
    :returns: whether there is one that this interpreter wrote.
    """
    try:
        with open(path, 'rb', 0) as file:
            version, codes = marshal.loads(file.read())
    except (OSError, EOFError, TypeError, ValueError):
        # None was written, or not all of it.
        return False
    if version != sys.version:
        return False
    sys.meta_path.insert(0, Finder(codes))
    return True
