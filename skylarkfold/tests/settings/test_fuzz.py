"""Fuzz tests of the settings parsers."""

import copy
import json

import hypothesis
from hypothesis import strategies
import json5
import testtools

from skylarkfold import errors
from skylarkfold import settings
from skylarkfold.tests.settings import test_entry
from skylarkfold.tests.settings import test_team

ENTRY = json5.loads(test_entry.TEXT)
ODD = strategies.sampled_from(
    [
        *('', '0', 'a' * 70, '::1:80', '[::1]:80', '0.0.0.0:1', 'x:99999'),
        *('10.0.0.1:7000', '10.0.1.1:9000', '\x00', '\ud800', 'ä', '../..'),
        *(-1, 0, 1, 65535, 65536, 2**53, 10**400, 1e308, float('inf')),
        *(float('nan'), True, None, [], {}, [[]], {'': {}}),
    ]
)
VALUES = strategies.recursive(
    ODD | strategies.text(max_size=8) | strategies.integers(),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=3
        )
    ),
    max_leaves=6,
)


def list_places(value):
    """List all (container, key) pairs of a value."""
    places = []
    if isinstance(value, dict):
        for key, member in value.items():
            places += [(value, key), *list_places(member)]
    return places


@strategies.composite
def change(draw, original):
    """Change some places of a value."""
    value = copy.deepcopy(original)
    for _ in range(draw(strategies.integers(1, 3))):
        places = list_places(value)
        if not places:
            break
        holder, key = draw(strategies.sampled_from(places))
        kind = draw(strategies.sampled_from(['replace', 'remove', 'add']))
        if kind == 'replace':
            holder[key] = copy.deepcopy(draw(VALUES))
        elif kind == 'remove':
            del holder[key]
        else:
            added = draw(strategies.text(max_size=5))
            holder[added] = copy.deepcopy(draw(VALUES))
    return value


@strategies.composite
def cut(draw, text):
    """Replace a stretch of a text by another one."""
    start = draw(strategies.integers(0, len(text)))
    end = start + draw(strategies.integers(0, 9))
    middle = draw(
        strategies.text(alphabet='{}[]:,"\'/*\\u0 eE+-x', max_size=4)
    )
    return text[:start] + middle + text[end:]


class FuzzTest(testtools.TestCase):
    def read(self, reader, text):
        try:
            return reader(text)
        except errors.SettingsError as error:
            self.assertEqual('f', error.source)
            self.assertEqual('$', error.path[0])
            self.assertTrue(error.code.startswith('settings-'))
            self.assertTrue(error.reason)
            str(error).encode()
        return None

    def read_team(self, text):
        return self.read(
            lambda given: settings.read_team_settings(given, 'f', 'desk'), text
        )

    def read_entry(self, text):
        return self.read(
            lambda given: settings.parse_entry_settings(given, 'f'), text
        )

    @hypothesis.settings(max_examples=400)
    @hypothesis.given(change(test_team.VALID))
    def test_changed_team_settings(self, value):
        read = self.read_team(json.dumps(value))
        if read is None:
            return
        for name, service in read.services.items():
            settings.check_name(name)
            self.assertTrue(service.upstreams)
            ends = [service, *service.upstreams]
            used = {each.address for each in ends}
            self.assertEqual(len(ends), len(used))
            for each in ends:
                self.assertIn(each.address.port, range(1, 65536))
                self.assertIn(each.request_port, range(65536))

    @hypothesis.settings(max_examples=400)
    @hypothesis.given(change(ENTRY))
    def test_changed_entry_settings(self, value):
        self.read_entry(json.dumps(value))

    @hypothesis.settings(max_examples=200)
    @hypothesis.given(cut(test_team.TEXT))
    def test_cut_team_text(self, text):
        self.read_team(text)

    @hypothesis.settings(max_examples=200)
    @hypothesis.given(cut(test_entry.TEXT))
    def test_cut_entry_text(self, text):
        self.read_entry(text)

    @hypothesis.given(strategies.text() | strategies.binary())
    def test_any_entry_text(self, text):
        self.read_entry(text)
