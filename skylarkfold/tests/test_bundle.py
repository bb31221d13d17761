"""The file that a start is loaded from.

It makes every start shorter, above all those after the end of everything;
one that is missing, torn or another interpreter's must cost no more than
that gain.
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

_WRITE = """
import sys
from skylarkfold import bundle
from skylarkfold.platform import __main__

__main__.load()
print(bundle.write(sys.argv[1]))
"""
_READ = """
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
_OURS = 'skylarkfold.bundle'
_USUAL = '_frozen_importlib_external'


class BundleTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.path = pathlib.Path(scratch.name) / 'start.bundle'

    def run_alone(self, code, root=_ROOT):
        """Run code in an interpreter that has loaded nothing yet."""
        others = [each for each in sys.path if each != str(_ROOT)]
        places = [str(root), *filter(None, others)]
        environment = dict(os.environ, PYTHONPATH=os.pathsep.join(places))
        return subprocess.run(
            [sys.executable, '-S', '-P', '-c', code, str(self.path)],
            env=environment,
            capture_output=True,
            text=True,
            check=True,
        ).stdout.split('\n')[:-1]

    def test_a_start_is_loaded_from_it_and_the_rest_as_ever(self):
        self.run_alone(_WRITE)
        *said, documentation = self.run_alone(_READ)
        place = str(_ROOT / 'skylarkfold' / 'platform' / '_adapter.py')
        expected = ['True', _OURS, _OURS, _OURS, place, _USUAL]
        self.assertEqual(expected, said)
        self.assertEqual('None', documentation)

    def test_a_build_may_be_moved(self):
        folder = self.path.parent / 'built'
        shutil.copytree(
            _ROOT / 'skylarkfold',
            folder / 'skylarkfold',
            ignore=shutil.ignore_patterns('__pycache__', 'tests'),
        )
        self.run_alone(_WRITE, folder)
        moved = folder.rename(self.path.parent / 'moved')
        said = self.run_alone(_READ, moved)
        place = str(moved / 'skylarkfold' / 'platform' / '_adapter.py')
        expected = ['True', _OURS, _OURS, _OURS, place, _USUAL]
        self.assertEqual(expected, said[:6])

    def test_without_it_all_is_loaded_as_ever(self):
        said = self.run_alone(_READ)
        self.assertEqual(['False', _USUAL, _USUAL, _USUAL], said[:4])

    def test_a_torn_one_is_left_alone(self):
        self.run_alone(_WRITE)
        whole = self.path.read_bytes()
        for size in (0, 1, 100, len(whole) - 1):
            self.path.write_bytes(whole[:size])
            self.assertFalse(bundle.install(str(self.path)), size)

    def test_another_interpreter_s_is_left_alone(self):
        self.path.write_bytes(marshal.dumps(('2.7', {})))
        before = list(sys.meta_path)
        self.assertFalse(bundle.install(str(self.path)))
        self.assertEqual(before, sys.meta_path)
