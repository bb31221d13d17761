"""Tests of the bundle of byte code that instances start from.

A bundle that is missing, truncated or written by another Python version must
not prevent a start.
"""

import marshal
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

import testtools

from skylarkfold import bundle

_ROOT = pathlib.Path(__file__).parent.parent.parent

_WRITE_SCRIPT = """
import sys
from skylarkfold import bundle
from skylarkfold.platform import __main__

__main__.load()
print(bundle.write(sys.argv[1]))
"""
_READ_SCRIPT = """
import sys
from skylarkfold import bundle

print(bundle.install(sys.argv[1]))
from skylarkfold.platform import __main__

forwarder, adapter = __main__.load()
for module in (forwarder, adapter, sys.modules['collections']):
    print(type(module.__spec__.loader).__module__)
print(adapter.__file__)
# Not part of a start.
from skylarkfold.forwarder import _lines

print(type(_lines.__spec__.loader).__module__)
print(forwarder.Forwarder.__doc__)
"""
_BUNDLE_LOADER = 'skylarkfold.bundle'
_REGULAR_LOADER = '_frozen_importlib_external'


class BundleTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.path = pathlib.Path(scratch.name) / 'start.bundle'

    def run_in_new_interpreter(self, code, root=_ROOT):
        """Run code in a new interpreter and return its output lines."""
        other_paths = [each for each in sys.path if each != str(_ROOT)]
        search_paths = [str(root), *filter(None, other_paths)]
        environment = dict(
            os.environ, PYTHONPATH=os.pathsep.join(search_paths)
        )
        return subprocess.run(
            [sys.executable, '-S', '-P', '-c', code, str(self.path)],
            env=environment,
            capture_output=True,
            text=True,
            check=True,
        ).stdout.split('\n')[:-1]

    def test_startup_modules_are_loaded_from_bundle(self):
        self.run_in_new_interpreter(_WRITE_SCRIPT)
        *output, documentation = self.run_in_new_interpreter(_READ_SCRIPT)
        path = str(_ROOT / 'skylarkfold' / 'platform' / '_adapter.py')
        expected = [
            'True',
            _BUNDLE_LOADER,
            _BUNDLE_LOADER,
            _BUNDLE_LOADER,
            path,
            _REGULAR_LOADER,
        ]
        self.assertEqual(expected, output)
        self.assertEqual('None', documentation)

    def test_build_can_be_moved(self):
        folder = self.path.parent / 'built'
        shutil.copytree(
            _ROOT / 'skylarkfold',
            folder / 'skylarkfold',
            ignore=shutil.ignore_patterns('__pycache__', 'tests'),
        )
        self.run_in_new_interpreter(_WRITE_SCRIPT, folder)
        moved = folder.rename(self.path.parent / 'moved')
        output = self.run_in_new_interpreter(_READ_SCRIPT, moved)
        path = str(moved / 'skylarkfold' / 'platform' / '_adapter.py')
        expected = [
            'True',
            _BUNDLE_LOADER,
            _BUNDLE_LOADER,
            _BUNDLE_LOADER,
            path,
            _REGULAR_LOADER,
        ]
        self.assertEqual(expected, output[:6])

    def test_missing_bundle_uses_regular_import(self):
        output = self.run_in_new_interpreter(_READ_SCRIPT)
        self.assertEqual(
            ['False', _REGULAR_LOADER, _REGULAR_LOADER, _REGULAR_LOADER],
            output[:4],
        )

    def test_truncated_bundle_is_ignored(self):
        self.run_in_new_interpreter(_WRITE_SCRIPT)
        content = self.path.read_bytes()
        for size in (0, 1, 100, len(content) - 1):
            self.path.write_bytes(content[:size])
            self.assertFalse(bundle.install(str(self.path)), size)

    def test_bundle_of_other_interpreter_is_ignored(self):
        self.path.write_bytes(marshal.dumps(('2.7', {})))
        before = list(sys.meta_path)
        self.assertFalse(bundle.install(str(self.path)))
        self.assertEqual(before, sys.meta_path)
