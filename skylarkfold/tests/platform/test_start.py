"""Tests of which modules an instance has imported when it becomes ready.

Guards against slow starts. Import time itself can't be tested reliably, so the
tests list the modules.
"""

import os
import pathlib
import subprocess
import sys
import tempfile

import testtools

from skylarkfold import reactor
from skylarkfold.standin import packets

_ROOT = pathlib.Path(__file__).parent.parent.parent.parent
_HOST = '127.0.0.29'
# Limits a run that hangs.
_LONGEST_SECONDS = 60.0

# Prints the imported modules when the instance logs that it is ready.
_PROGRAM = """
import os
from skylarkfold import deferred_log
import sys

def log(logger, level, message, *arguments, **fields):
    if message == 'ready':
        os.write(1, ' '.join(sorted(sys.modules)).encode())

deferred_log.DeferredLogger.log = log
from skylarkfold.platform import __main__
sys.exit(__main__.main())
"""

# Slow imports that must not happen before callers are served.
_LATER = (
    'asyncio',
    'contextlib',
    'dataclasses',
    'datetime',
    'enum',
    'json',
    'logging',
    're',
    'selectors',
    'signal',
    'socket',
    'string',
    'typing',
    'warnings',
)
# The libraries that may be imported by then, with their uses. Entries also
# cover C modules of that name with leading underscores.
_NEEDED = {
    '__future__': 'the language',
    '_json': 'objects and settings',
    '_socket': 'packets',
    'bisect': 'histograms',
    'collections': 'msgpack, too',
    'cython_runtime': 'httptools and msgpack',
    'datetime': 'msgpack, of it what is written in C',
    'errno': 'streams',
    'functools': 'overlay',
    'gc': 'the collector, which is off',
    'heapq': 'timers',
    'httptools': 'the store and readiness',
    'itertools': 'collections',
    'keyword': 'collections',
    'math': 'ages',
    'msgpack': 'peers',
    'operator': 'collections',
    'reprlib': 'collections',
    'select': 'the loop',
    'struct': 'packets',
    'types': 'functools',
    'xxhash': 'placement',
    'zlib': 'pages of peers',
}
_INTERPRETER = """
import os
import sys

os.write(1, ' '.join(sys.modules).encode())
"""


class StartTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.loop = reactor.Loop()
        self.addCleanup(self.loop.close)
        store = packets.ObjectStore()
        limits = {'idle_timeout_ms': 15000}
        store.put(
            'config', 'main', {'version': 1, 'routes': [], 'limits': limits}
        )
        server = packets.StoreServer(self.loop, ('127.0.0.1', 0), store)
        self.addCleanup(server.close)
        self.path = pathlib.Path(scratch.name) / 'instance.settings'
        port = server.address[1]
        packets.write_settings(
            self.path, 'one', 'a', _HOST, port, [], server.address
        )

    def list_loaded(self):
        """Start an instance; return the modules imported when it is ready."""
        environment = dict(
            os.environ,
            SKYLARKFOLD_CONFIG=str(self.path),
            PYTHONPATH=os.pathsep.join([str(_ROOT), *filter(None, sys.path)]),
        )
        process = subprocess.Popen(
            [sys.executable, '-S', '-c', _PROGRAM],
            env=environment,
            stdout=subprocess.PIPE,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        self.addCleanup(process.stdout.close)
        self.loop.watch(
            process.stdout, reactor.READ, lambda _: self.loop.stop()
        )
        self.loop.call_later(_LONGEST_SECONDS, self.loop.stop)
        self.loop.run()
        self.loop.unwatch(process.stdout)
        process.kill()
        return process.stdout.read().decode().split()

    def list_bare(self):
        """Return the modules that the bare interpreter imports."""
        command = [sys.executable, '-S', '-c', _INTERPRETER]
        found = subprocess.run(command, capture_output=True, check=True)
        return found.stdout.decode().split()

    def test_only_known_libraries_are_imported(self):
        names = set(self.list_loaded()) - set(self.list_bare())
        libraries = {each.partition('.')[0] for each in names}
        libraries.discard('skylarkfold')
        unseen = {
            each
            for each in libraries
            if each not in _NEEDED
            and each.lstrip('_') not in _NEEDED
            and not each.startswith('_cython')
        }
        self.assertEqual(set(), unseen)

    def test_slow_libraries_are_imported_later(self):
        loaded = self.list_loaded()
        self.assertIn('skylarkfold.forwarder._daemon', loaded)
        self.assertEqual([], [each for each in _LATER if each in loaded])
