"""What an instance has loaded when it says that it is ready.

Answers a restart of everything: callers come back at once, and until an
instance is ready each of its milliseconds of processor time is up to eight
of theirs. Modules are named instead of time, which no test can rely on:
a library that is loaded for a small part of it shows here.
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
# No assertion depends on it: it bounds a run that hangs.
_LONGEST_SECONDS = 60.0

# Says what is loaded in place of the line that says that it is ready.
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

# Each takes as long as many of ours, and nothing needs it until callers are
# served.
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
# All that may be there beside what is ours, with parts of packages and what
# is written in C under a library's name. Whatever comes is to be weighed.
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
        """Start an instance and list what it has loaded once it is ready."""
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
        """List what the interpreter itself has loaded."""
        command = [sys.executable, '-S', '-c', _INTERPRETER]
        found = subprocess.run(command, capture_output=True, check=True)
        return found.stdout.decode().split()

    def test_no_library_is_loaded_unseen(self):
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

    def test_what_is_not_needed_for_the_first_packet_is_loaded_later(self):
        loaded = self.list_loaded()
        self.assertIn('skylarkfold.forwarder._daemon', loaded)
        self.assertEqual([], [each for each in _LATER if each in loaded])
