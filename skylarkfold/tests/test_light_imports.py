"""The parts of libraries that stand in for the whole ones.

A start of everything needs them to be small; what they read must be read
as the libraries themselves read it, or an instance would refuse settings
or objects that others take.
"""

import json
import os
import subprocess
import sys

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import light_imports

_SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text()
)
_VALUES = strategies.recursive(
    _SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(), inner, max_size=4)
    ),
    max_leaves=12,
)
_MARKS = ('[', ']', '{', '}', '"', ',', ':', '1', '-', 'e', ' ', '\n', '\\')

_TORN = """
from skylarkfold import light_imports
import sys

print(light_imports.parse_json(b'[1]'), 'json' in sys.modules)
try:
    light_imports.parse_json(b'{"name": ')
except ValueError as error:
    print(type(error).__name__)
"""


def read(parse, data):
    """Give what is read, or how it fails, in a form that NaN is equal in."""
    try:
        return repr(parse(data))
    except (ValueError, RecursionError) as error:
        return (type(error), str(error))


class JsonTest(testtools.TestCase):
    def assert_read_alike(self, data):
        self.assertEqual(
            read(json.loads, data), read(light_imports.parse_json, data)
        )

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(_VALUES, strategies.sampled_from(('', ' ', '\n\t')))
    def test_whatever_is_written_is_read_alike(self, value, around):
        text = around + json.dumps(value) + around
        self.assert_read_alike(text)
        self.assert_read_alike(text.encode())

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.text(alphabet=_MARKS))
    def test_what_is_no_json_is_refused_alike(self, text):
        self.assert_read_alike(text)

    def test_odd_bytes_are_read_alike(self):
        for data in (
            b'',
            b'\xff',
            b'"\xed\xa0\x80"',
            b'\xef\xbb\xbf1',
            '{"a": 1}'.encode('utf-16'),
            b'{"a": 1, "a": 2}',
            b'NaN',
            b'[-Infinity, 1e999]',
            b'\xc2\xa01',
            b'1 2',
            b'9' * 5000,
            b'[' * 100_000,
        ):
            self.assert_read_alike(data)


class LoadTest(testtools.TestCase):
    def run_alone(self, code):
        """Run code in an interpreter that has loaded nothing yet."""
        path = os.pathsep.join(filter(None, sys.path))
        environment = dict(os.environ, PYTHONPATH=path)
        return subprocess.run(
            [sys.executable, '-S', '-c', code],
            env=environment,
            capture_output=True,
            text=True,
            check=True,
        ).stdout.split()

    def test_a_torn_text_is_refused_by_a_process_that_read_whole_ones(self):
        # The scanner's own error is of a module that is not loaded yet.
        said = self.run_alone(_TORN)
        self.assertEqual(['[1]', 'False', 'JSONDecodeError'], said)

    def test_a_package_that_was_read_in_part_is_whole_for_others(self):
        said = self.run_alone(
            'from skylarkfold import light_imports; import sys;'
            'print("typing" in sys.modules);'
            'import httptools, typing;'
            'print(httptools.HttpRequestParser is'
            ' light_imports.http_parser.HttpRequestParser);'
            'print(httptools.HttpParserError is'
            ' light_imports.http_parser.HttpParserError);'
            'print(httptools.HTTPProtocol.__name__, typing.Optional[int])'
        )
        self.assertEqual(
            ['False', 'True', 'True', 'HTTPProtocol', 'typing.Optional[int]'],
            said,
        )

    def test_what_stood_in_for_a_library_is_not_left_behind(self):
        said = self.run_alone(
            'from skylarkfold import light_imports; import sys;'
            'print("datetime" in sys.modules);'
            'import datetime, msgpack;'
            'print(msgpack is light_imports.msgpack, datetime.__name__);'
            'print(msgpack.Timestamp(1).to_datetime().isoformat());'
            'print(type(msgpack.Timestamp(1).to_datetime()) is'
            ' datetime.datetime)'
        )
        expected = ['False', 'True', 'datetime']
        expected += ['1970-01-01T00:00:01+00:00', 'True']
        self.assertEqual(expected, said)
