"""Tests of decoding faulty objects that other programs wrote."""

import json

import hypothesis
from hypothesis import strategies
import msgpack
import testtools

from skylarkfold import affinity
from skylarkfold.platform import _input_errors
from skylarkfold.platform import _objects
from skylarkfold.platform import _store
from skylarkfold import relay
from skylarkfold import revision as revisions
from skylarkfold.tests import items
from skylarkfold.tests.platform import test_objects

NAME = 'i-7f3a91c2'
GOOD = 'i-00000000a1'
BORN = 1764720000123
ENTRY = {**test_objects.ENTRY, 'born': BORN}
MISSING = object()

# Invalid values of an entry: the field and its value.
MALFORMED = (
    ('state', 'paused'),
    ('state', 'READY'),
    ('state', 3),
    ('state', None),
    ('state', ['ready']),
    ('state', MISSING),
    ('max_concurrency', 0),
    ('max_concurrency', -3),
    ('max_concurrency', True),
    ('max_concurrency', '2'),
    ('max_concurrency', 2.5),
    ('max_concurrency', 10**18),
    ('max_concurrency', 2**70),
    ('max_concurrency', MISSING),
    ('service', None),
    ('service', 7),
    ('service', ['archebu']),
    ('service', ''),
    ('service', MISSING),
    ('zone', None),
    ('zone', 4),
    ('zone', ''),
    ('zone', MISSING),
    ('address', '10.128.0.9:0'),
    ('address', '10.128.0.9:65536'),
    ('address', '10.128.0.9:-1'),
    ('address', '10.128.0.9:+80'),
    ('address', '10.128.0.9: 80'),
    ('address', '10.128.0.9:8_0'),
    ('address', '10.128.0.9:٣'),
    ('address', '10.128.0.9'),
    ('address', '10.1:80'),
    ('address', '0x0a800009:80'),
    ('address', 'upstream:80'),
    ('address', ':80'),
    ('address', ['10.128.0.9', 80]),
    ('address', MISSING),
    ('version', 1),
    ('version', None),
    ('version', MISSING),
    ('warmup_left_ms', 'soon'),
    ('warmup_left_ms', float('inf')),
    ('warmup_left_ms', float('nan')),
    ('warmup_left_ms', -1),
    ('warmup_left_ms', True),
    ('warmup_left_ms', 10**18),
    ('warmup_left_ms', MISSING),
    ('sequence', '4'),
    ('sequence', -1),
    ('sequence', 4.0),
    ('sequence', None),
    ('sequence', MISSING),
    ('born', None),
    ('born', str(BORN)),
    ('born', float(BORN)),
    ('born', True),
    ('born', -1),
    ('born', 0),
    ('born', [BORN]),
    ('born', 2**64),
)
# Names without a valid number of an upstream.
NAMES = (
    'i-+a1',
    'i-0x_a1',
    'i-0xa1',
    'i-٣',
    'i-0',
    'i-',
    'i',
    'i-a_1',
    'i- a1',
    'i-a1\n',
    'i-10000000000000000',
)
# Values that JSON can encode but MessagePack or UTF-8 can't.
UNSENDABLE = (2**64, -(2**63) - 1, '\ud800', {'\ud800': 1}, [[2**70]])


def build_entry(field, value):
    """Build a valid entry but for one field."""
    entry = {**ENTRY, field: value}
    if value is MISSING:
        del entry[field]
    return entry


def decode(*items):
    """Decode entries."""
    return _objects.UpstreamDecoder().decode(items)


class EntriesTest(testtools.TestCase):
    def test_valid_entry_is_decoded(self):
        (upstream,) = decode(items.build_item(NAME, 5, 3, ENTRY))
        self.assertEqual(BORN, upstream.born)
        self.assertEqual(5, upstream.revision)

    def test_born_is_optional(self):
        (upstream,) = decode(items.build_item(NAME, 5, 3, test_objects.ENTRY))
        self.assertIsNone(upstream.born)
        self.assertEqual(upstream.token, upstream.incarnation)

    def test_unknown_fields_are_ignored(self):
        entry = {**ENTRY, 'rack': {'row': [1]}}
        self.assertEqual(1, len(decode(items.build_item(NAME, 5, 3, entry))))

    def test_malformed_entries_are_skipped(self):
        taken = []
        for field, value in MALFORMED:
            bad = items.build_item(NAME, 9, 8, build_entry(field, value))
            good = items.build_item(GOOD, 5, 3, ENTRY)
            found = [each.name for each in decode(bad, good)]
            self.assertIn(GOOD, found, (field, value))
            if NAME in found:
                taken.append((field, value))
        self.assertEqual([], taken)

    def test_entries_without_a_number_are_skipped(self):
        found = decode(
            *(items.build_item(name, 9, 8, ENTRY) for name in NAMES),
            items.build_item(GOOD, 5, 3, ENTRY),
        )
        self.assertEqual([GOOD], [each.name for each in found])

    def test_entry_that_becomes_malformed_is_dropped(self):
        decoder = _objects.UpstreamDecoder(_input_errors.InputErrors())
        good = items.build_item(GOOD, 5, 3, ENTRY)
        both = decoder.decode([items.build_item(NAME, 6, 4, ENTRY), good])
        self.assertEqual(2, len(both))
        bad = build_entry('state', 'paused')
        rest = decoder.decode([items.build_item(NAME, 7, 4, bad), good])
        self.assertEqual([both[1]], rest)

    def test_error_of_a_changing_entry_is_logged_once(self):
        input_errors = _input_errors.InputErrors()
        decoder = _objects.UpstreamDecoder(input_errors)
        lines = []
        input_errors.write_line = lines.append
        for beat in range(50):
            bad = {**build_entry('state', 'paused'), 'sequence': beat}
            decoder.decode([items.build_item(NAME, 10 + beat, 4, bad)])
        self.assertEqual(1, len(lines))
        self.assertEqual({'unusable.upstream': 50}, input_errors.counters)

    def test_number_of_logged_errors_is_bounded(self):
        input_errors = _input_errors.InputErrors()
        lines = []
        input_errors.write_line = lines.append
        for number in range(10_000):
            input_errors.report('upstream', f'i-x{number}', 1, 'no hex')
        self.assertEqual(_input_errors.MAXIMUM_LOGGED, len(lines))
        self.assertEqual({'unusable.upstream': 10_000}, input_errors.counters)


class RoutesTest(testtools.TestCase):
    def decode(self, value):
        input_errors = _input_errors.InputErrors()
        self.input_errors = input_errors
        item = items.build_item('main', 5, 3, value)
        return _objects.decode_routes([item], input_errors)

    def test_one_unusable_route_does_not_hide_the_others(self):
        odd = (
            None,
            {},
            {'host': '198.18.0.1', 'path_prefix': '/0/', 'service': 'a'},
            {'host': '198.18.1', 'path_prefix': '/80/', 'service': 'a'},
            {'host': '198.18.0.9', 'path_prefix': '/+8/', 'service': 'a'},
            {'host': '198.18.0.9', 'path_prefix': '/80/', 'service': 7},
            {'host': '198.18.0.9', 'path_prefix': '/80/'},
            {
                'host': '198.18.0.9',
                'path_prefix': '/80/',
                'traffic_split': [{'service': 'a', 'weight': -1}],
            },
            {
                'host': '198.18.0.9',
                'path_prefix': '/80/',
                'service': 'a',
                'priority': 'high',
            },
        )
        routes = [*odd, *test_objects.CONFIGURATION['routes']]
        table = self.decode({**test_objects.CONFIGURATION, 'routes': routes})
        self.assertEqual(2, len(table))
        self.assertEqual(
            {'unusable.route': len(odd)}, self.input_errors.counters
        )

    def test_invalid_limits_have_a_default(self):
        for limits in (None, {}, {'idle_timeout_ms': 'long'}, {'x': 1}):
            table = self.decode(
                {**test_objects.CONFIGURATION, 'limits': limits}
            )
            self.assertEqual(2, len(table))
            self.assertEqual(60.0, table.idle_seconds)

    def test_routes_without_a_version_are_rejected(self):
        for version in (None, True, -1, '7', 7.0, 2**70):
            value = {**test_objects.CONFIGURATION, 'version': version}
            self.assertIsNone(self.decode(value))

    def test_services_are_those_declared_or_used(self):
        services = [{'name': 'caer'}, {'name': 4}, None]
        table = self.decode(
            {**test_objects.CONFIGURATION, 'services': services}
        )
        self.assertEqual({'archebu', 'tocyn', 'caer'}, table.services)


class ObjectsTest(testtools.TestCase):
    def decode(self, body):
        call = relay.Call('servers', None, '', 0.0, 1.0)
        return _store._decode(call, 200, body, _input_errors.InputErrors())

    @staticmethod
    def wrap(name, spec, rev=5):
        meta = {'name': name, 'rev': rev, 'create_rev': 3}
        return {'meta': meta, 'spec': spec, 'status': None}

    def list_page(self, *objects):
        body = {'items': objects, 'truncated': False, 'current_rev': 9}
        return self.decode(json.dumps(body).encode())

    def test_unreadable_object_does_not_affect_the_others(self):
        good = self.wrap(GOOD, ENTRY)
        odd = (
            None,
            7,
            'text',
            [],
            {},
            {'meta': None, 'spec': ENTRY},
            {'meta': {'name': 'i-1'}, 'spec': ENTRY},
            {'meta': {'name': 7, 'rev': 5, 'create_rev': 3}, 'spec': ENTRY},
            {'meta': {'name': '', 'rev': 5, 'create_rev': 3}, 'spec': ENTRY},
            self.wrap('\ud800', ENTRY),
            self.wrap('i-2', ENTRY, rev='5'),
            self.wrap('i-2', ENTRY, rev=-5),
            self.wrap('i-2', ENTRY, rev=2**70),
        )
        for each in odd:
            answer = self.list_page(each, good)
            self.assertEqual(relay.Status.OK, answer.status, each)
            self.assertEqual([GOOD], [item.path for item in answer.items])

    def test_truncated_page_without_readable_objects_is_rejected(self):
        body = {'items': [None, {}], 'truncated': True, 'current_rev': 9}
        answer = self.decode(json.dumps(body).encode())
        self.assertEqual(relay.Status.MALFORMED, answer.status)
        answer = self.list_page(None, {})
        self.assertEqual(relay.Status.OK, answer.status)

    def test_unreadable_event_does_not_affect_the_others(self):
        events = [
            {'object': None, 'deleted': False},
            {'deleted': False},
            None,
            {'object': self.wrap('i-2', ENTRY), 'deleted': 'no'},
            {'object': self.wrap(GOOD, ENTRY), 'deleted': False},
        ]
        body = {'events': events, 'current_rev': 9}
        answer = self.decode(json.dumps(body).encode())
        self.assertEqual([GOOD], [item.path for item in answer.items])

    def test_value_that_is_not_an_object_becomes_empty(self):
        for spec in (None, 'text', 7, [], [1], True):
            answer = self.list_page(self.wrap('i-2', spec))
            self.assertEqual([{}], [item.value for item in answer.items])
            self.assertEqual([], decode(*answer.items))

    def test_values_that_can_t_be_sent_to_peers_become_empty(self):
        for value in UNSENDABLE:
            spec = {**ENTRY, 'more': value}
            answer = self.list_page(self.wrap('i-2', spec))
            page = relay.Page(
                revisions.ZERO, revisions.Revision(9), True, 0.0, answer.items
            )
            read = relay.decode_page(relay.encode_page(page))
            self.assertEqual([{}], [item.value for item in read.items])

    def test_deeply_nested_value_does_not_affect_the_others(self):
        # Deeper than the JSON parser supports, with brackets in strings.
        deep = '[{"]": "[", "x": ' * 30_000 + '"}"' + '}]' * 30_000
        spec = json.dumps(ENTRY)[:-1] + ', "more": ' + deep + '}'
        text = json.dumps(
            {
                'items': [self.wrap(NAME, 'SPEC'), self.wrap(GOOD, ENTRY)],
                'truncated': False,
                'current_rev': 9,
            }
        ).replace('"SPEC"', spec)
        answer = self.decode(text.encode())
        self.assertEqual(
            [NAME, GOOD], [each.name for each in decode(*answer.items)]
        )
        self.assertEqual(ENTRY, answer.items[1].value)

    def test_invalid_utf8_affects_only_its_own_object(self):
        spec = {**ENTRY, 'zone': 'hall-MARK'}
        text = json.dumps(
            {
                'items': [self.wrap('i-2', spec), self.wrap(GOOD, ENTRY)],
                'truncated': False,
                'current_rev': 9,
            }
        )
        answer = self.decode(text.encode().replace(b'MARK', b'\xff\xfe'))
        self.assertEqual(relay.Status.OK, answer.status)
        found = decode(*answer.items)
        self.assertIn(GOOD, [each.name for each in found])
        for item in answer.items:
            msgpack.packb(item.value)

    @hypothesis.given(
        strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.integers()
            | strategies.floats()
            | strategies.text(
                strategies.characters(exclude_categories=()), max_size=5
            ),
            lambda inner: (
                strategies.lists(inner, max_size=3)
                | strategies.dictionaries(
                    strategies.sampled_from([*ENTRY, 'more']),
                    inner,
                    max_size=4,
                )
            ),
            max_leaves=8,
        )
    )
    def test_any_value_beside_a_good_one(self, value):
        spec = value
        if isinstance(value, dict):
            spec = {**ENTRY, **value}
        answer = self.list_page(self.wrap(NAME, spec), self.wrap(GOOD, ENTRY))
        page = relay.Page(
            revisions.ZERO, revisions.Revision(9), True, 0.0, answer.items
        )
        read = relay.decode_page(relay.encode_page(page))
        found = decode(*read.items)
        self.assertIn(GOOD, [each.name for each in found])
        for each in found:
            self.assertIsInstance(each, affinity.Upstream)
            self.assertLessEqual(1, each.slots)
            self.assertLess(0, each.address[1])
