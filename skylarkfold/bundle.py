"""A single file with the byte code of all modules loaded at startup.

Finding and reading a hundred module files takes a quarter of the processor
time until an instance is ready. ``deploy/bundle.py`` writes the byte code of
these modules into one file beside this module at build time;
``deploy/start.py`` installs a finder that searches it first. Modules that
are not in the file are imported in the usual way, as are all modules if the
file is missing or unusable.

This module imports no other module of the package, since it is loaded before
the bundle.
"""

from __future__ import annotations

import marshal
import sys

_FOLDER = __file__.rpartition('/')[0]
_PATH = f'{_FOLDER}/start.bundle'
# The folder that contains this package and its dependencies. Paths below it
# are stored relative to it, so that a build can be moved.
_ROOT = _FOLDER.rpartition('/')[0] + '/'
# Omits docstrings and assertions, which makes the file a sixth smaller.
_OPTIMIZE = 2
_SOURCE = '.py'


class Finder:
    """Finds modules in a bundle, for :data:`sys.meta_path`.

    :param codes: origin and byte code by module name; entries are removed
        when the module is loaded.
    """

    __slots__ = ('_codes', '_make_spec')

    def __init__(self, codes: dict[str, tuple[str, bytes]]) -> None:
        self._codes = codes
        # importlib.machinery.ModuleSpec, without importing that module.
        self._make_spec = type(sys.__spec__)

    def find_spec(
        self, name: str, _path: object = None, _target: object = None
    ) -> object | None:
        """Find a module; called by the import system."""
        entry = self._codes.get(name)
        if entry is None:
            return None
        origin = _resolve_origin(entry[0])
        spec = self._make_spec(name, self, origin=origin)
        folder, _, file = origin.rpartition('/')
        if file == '__init__.py':
            spec.submodule_search_locations = [folder]
        return spec

    def create_module(self, _spec: object) -> None:
        """Return None, so that the import system creates the module."""

    def exec_module(self, module: object) -> None:
        """Execute a module's code; called by the import system."""
        origin, code = self._codes.pop(module.__name__)
        module.__file__ = _resolve_origin(origin)
        exec(marshal.loads(code), module.__dict__)


def _resolve_origin(origin: str) -> str:
    return origin if origin.startswith('/') else _ROOT + origin


def write(path: str = _PATH) -> int:
    """Write the byte code of all currently loaded modules.

    :param path: the path of the file.
    :returns: the number of modules written.
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
    """Search a bundle first when modules are imported.

    :param path: the path of the file.
    :returns: whether the file exists and this Python version wrote it.
    """
    try:
        with open(path, 'rb', 0) as file:
            version, codes = marshal.loads(file.read())
    except (OSError, EOFError, TypeError, ValueError):
        # The file is missing or truncated.
        return False
    if version != sys.version:
        return False
    sys.meta_path.insert(0, Finder(codes))
    return True
