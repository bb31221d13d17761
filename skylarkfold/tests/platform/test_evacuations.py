"""Tests of decoding requests to evacuate a zone, including faulty ones."""

import json

import testtools

from skylarkfold.platform import _input_errors
from skylarkfold.platform import _objects
from skylarkfold.platform import _store
from skylarkfold import relay

ZONES = ('hall-a', 'hall-b')


class EvacuationsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.input_errors = _input_errors.InputErrors()
        self.lines = []
        self.input_errors.write_line = self.lines.append

    def read(self, *objects, kind='evacuations'):
        """Decode a listing of the given objects."""
        items = [
            {
                'meta': {'name': name, 'rev': 5 + place, 'create_rev': 3},
                **fields,
            }
            for place, (name, fields) in enumerate(objects)
        ]
        body = {'items': items, 'truncated': False, 'current_rev': 40}
        return self.read_bytes(json.dumps(body).encode(), kind)

    def read_bytes(self, body, kind='evacuations'):
        call = relay.Call(kind, None, '', 0.0, 1.0)
        return _store._decode(call, 200, body, self.input_errors).items

    def decode(self, items):
        present = [each for each in items if each.value is not None]
        return _objects.decode_evacuations(present, ZONES, self.input_errors)

    def test_entry_evacuates_the_zone_of_its_name(self):
        found = self.decode(self.read(('hall-a', {'spec': {}})))
        self.assertEqual(['hall-a'], list(found))
        self.assertEqual(5, found.get_revision('hall-a'))
        self.assertEqual([], self.lines)

    def test_value_may_be_any_object(self):
        spec = {'why': ['a', 1], 'until': None}
        found = self.decode(self.read(('hall-b', {'spec': spec})))
        self.assertEqual(['hall-b'], list(found))

    def test_value_that_is_not_an_object_evacuates_nothing(self):
        for odd in (None, 'x', 7, True, [], ['hall-a'], 1.5):
            found = self.decode(
                self.read(('hall-a', {'spec': odd}), ('hall-b', {'spec': {}}))
            )
            self.assertEqual(['hall-b'], list(found), odd)
        self.assertEqual(7, self.input_errors.counters['unusable.object'])
        self.assertEqual(1, len(self.lines))

    def test_missing_value_evacuates_nothing(self):
        self.assertEqual([], list(self.decode(self.read(('hall-a', {})))))

    def test_invalid_utf8_evacuates_nothing(self):
        body = json.dumps(
            {
                'items': [
                    {
                        'meta': {'name': name, 'rev': 5, 'create_rev': 3},
                        'spec': {'why': name},
                    }
                    for name in ('hall-a', 'hall-b')
                ],
                'truncated': False,
                'current_rev': 40,
            }
        ).encode()
        body = body.replace(b'"why": "hall-a"', b'"why": "\xff\xfe"')
        self.assertEqual(['hall-b'], list(self.decode(self.read_bytes(body))))

    def test_unknown_zone_evacuates_nothing(self):
        found = self.decode(
            self.read(('hall-x', {'spec': {}}), ('hall-a', {'spec': {}}))
        )
        self.assertEqual(['hall-a'], list(found))
        self.assertEqual(1, self.input_errors.counters['unusable.evacuation'])
        self.assertEqual(1, len(self.lines))

    def test_entry_that_becomes_unusable_counts_as_deleted(self):
        event = {
            'object': {
                'meta': {'name': 'hall-a', 'rev': 9, 'create_rev': 3},
                'spec': 'no map',
            },
            'deleted': False,
        }
        body = json.dumps({'events': [event], 'current_rev': 9}).encode()
        call = relay.Call('evacuations', 5, '', 1.0, 1.0)
        (item,) = _store._decode(call, 200, body, self.input_errors).items
        self.assertIsNone(item.value)
        self.assertEqual(9, item.revision)

    def test_unusable_value_in_other_topics_becomes_empty(self):
        (item,) = self.read(('i-1', {'spec': 'no map'}), kind='servers')
        self.assertEqual({}, item.value)
