"""Tests of the partially imported libraries.

They must parse exactly as the complete libraries do, or an instance would
reject settings or objects that other programs accept.
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

_TRUNCATED_JSON_SCRIPT = """
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

    def test_unusual_bytes_are_parsed_as_by_json(self):
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


class ImportTest(testtools.TestCase):
    def run_in_new_interpreter(self, code):
        """Run code in a new interpreter and return the words it prints."""
        path = os.pathsep.join(filter(None, sys.path))
        environment = dict(os.environ, PYTHONPATH=path)
        return subprocess.run(
            [sys.executable, '-S', '-c', code],
            env=environment,
            capture_output=True,
            text=True,
            check=True,
        ).stdout.split()

    def test_truncated_json_raises_decode_error(self):
        # The C scanner raises an exception type of ``json``, which is not
        # loaded yet.
        words = self.run_in_new_interpreter(_TRUNCATED_JSON_SCRIPT)
        self.assertEqual(['[1]', 'False', 'JSONDecodeError'], words)

    def test_httptools_is_complete_for_later_imports(self):
        words = self.run_in_new_interpreter(
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
            words,
        )

    def test_datetime_is_complete_for_later_imports(self):
        words = self.run_in_new_interpreter(
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
        self.assertEqual(expected, words)
