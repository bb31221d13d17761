"""Tests of decoding the store's objects and responses."""

import copy
import json

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import affinity
from skylarkfold.platform import _input_errors
from skylarkfold.platform import _objects
from skylarkfold.platform import _store
from skylarkfold import reactor
from skylarkfold import relay
from skylarkfold import revision as revisions
from skylarkfold.tests import items

CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': '198.18.0.1',
            'path_prefix': '/8443/',
            'type': 'idempotent',
            'priority': 0,
            'target_latency_ms': 250,
            'traffic_split': [
                {'service': 'archebu', 'weight': 90},
                {'service': 'tocyn', 'weight': 10},
            ],
        },
        {
            'name': 'r-2',
            'host': '198.18.0.2',
            'path_prefix': '/8080/',
            'type': 'non_idempotent',
            'priority': 1,
            'service': 'tocyn',
        },
    ],
    'services': [],
    'limits': {'idle_timeout_ms': 15000},
}
ENTRY = {
    'service': 'archebu',
    'address': '10.128.0.9:8080',
    'zone': 'caerdydd',
    'version': 'v1',
    'max_concurrency': 3,
    'state': 'ready',
    'warmup_left_ms': 2000,
    'sequence': 4,
}
ODD = strategies.sampled_from(
    [None, '', 0, -1, 2**70, 1e400, 'x', [], {}, True, [1], {'a': 1}, '/']
)


def build_item(value, path='main'):
    return items.build_item(path, 5, 3, value)


def change(draw_value, value, place):
    """Put an odd value at the place that a list of numbers leads to."""
    value = copy.deepcopy(value)
    container = value
    for number in place:
        keys = list(
            container if isinstance(container, dict) else range(len(container))
        )
        if not keys:
            break
        key = keys[number % len(keys)]
        if not isinstance(container[key], (dict, list)):
            container[key] = draw_value
            return value
        container = container[key]
    return value


class ObjectsTest(testtools.TestCase):
    def test_routes_are_decoded(self):
        routes = _objects.decode_routes([build_item(CONFIGURATION)])
        self.assertEqual(7, routes.version)
        self.assertEqual(15.0, routes.idle_seconds)
        route = routes.get(affinity.pack_address('198.18.0.1', 8443))
        self.assertEqual((('archebu', 90), ('tocyn', 10)), route.shares)
        self.assertTrue(route.is_idempotent)
        self.assertEqual((0, 0.25), (route.priority, route.aim_seconds))
        other = routes.get(affinity.pack_address('198.18.0.2', 8080))
        self.assertFalse(other.is_idempotent)

    def test_entry_is_decoded(self):
        (upstream,) = _objects.UpstreamDecoder().decode(
            [build_item(ENTRY, 'i-007f3a91c2')]
        )
        self.assertEqual(0x7F3A91C2, upstream.number)
        self.assertEqual(('10.128.0.9', 8080), upstream.address)
        self.assertEqual(3, upstream.slots)
        self.assertEqual(2.0, upstream.warm_up_seconds)
        self.assertFalse(upstream.is_draining)

    def test_unchanged_entries_come_from_the_cache(self):
        decoder = _objects.UpstreamDecoder()
        first = items.build_item('i-1', 5, 3, ENTRY)
        second = items.build_item('i-2', 6, 4, ENTRY)
        one, two = decoder.decode([first, second])
        leaving = items.build_item('i-2', 7, 4, {**ENTRY, 'state': 'draining'})
        again, changed = decoder.decode([first, leaving])
        self.assertIs(one, again)
        self.assertIsNot(two, changed)
        self.assertTrue(changed.is_draining)

    def test_same_revision_number_of_another_era_is_not_cached(self):
        decoder = _objects.UpstreamDecoder()
        decoder.decode([items.build_item('i-1', 5, 3, ENTRY, era=1)])
        leaving = {**ENTRY, 'state': 'draining'}
        again = items.build_item('i-1', 5, 3, leaving, era=2)
        (upstream,) = decoder.decode([again])
        self.assertTrue(upstream.is_draining)
        self.assertEqual(revisions.Revision(5, 2), upstream.revision)

    def test_entry_that_was_deleted_and_recreated_is_decoded_again(self):
        decoder = _objects.UpstreamDecoder()
        decoder.decode([items.build_item('i-1', 5, 3, ENTRY)])
        self.assertEqual([], decoder.decode([]))
        (upstream,) = decoder.decode([items.build_item('i-1', 9, 8, ENTRY)])
        self.assertEqual(8, upstream.created)

    def test_unusable_entry_does_not_affect_the_others(self):
        found = _objects.UpstreamDecoder().decode(
            [build_item({}, 'i-1'), build_item(ENTRY, 'i-2')]
        )
        self.assertEqual(['i-2'], [each.name for each in found])

    @hypothesis.given(
        ODD, strategies.lists(strategies.integers(0, 9), min_size=4)
    )
    def test_odd_objects_are_left_out(self, odd, place):
        _objects.decode_routes([build_item(change(odd, CONFIGURATION, place))])
        _objects.UpstreamDecoder().decode(
            [build_item(change(odd, ENTRY, place), 'i-1')]
        )
        _objects.decode_routes([build_item(odd)])
        _objects.UpstreamDecoder().decode([build_item(odd, 'i-1')])


class EraTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.input_errors = _input_errors.InputErrors()
        self.input_errors.write_line = lambda fields: None
        meta = {'name': 'i-1', 'rev': 5, 'create_rev': 3}
        page = {
            'items': [{'meta': meta, 'spec': ENTRY, 'status': None}],
            'truncated': False,
            'current_rev': 9,
        }
        self.body = json.dumps(page).encode()

    def decode(self, known=0, **headers):
        call = relay.Call('servers', None, '', 0.0, 1.0, known)
        named = {
            name.replace('_', '-'): value for name, value in headers.items()
        }
        reply = reactor.Reply(200, named, self.body)
        return _store._decode_reply(call, reply, self.input_errors)

    def test_era_header_applies_to_all_revisions(self):
        answer = self.decode(store_era='3')
        self.assertEqual(revisions.Revision(9, 3), answer.revision)
        (item,) = answer.items
        self.assertEqual(revisions.Revision(5, 3), item.revision)
        self.assertEqual(revisions.Revision(3, 3), item.created)

    def test_without_the_header_the_known_era_applies(self):
        answer = self.decode(known=2)
        self.assertEqual(revisions.Revision(9, 2), answer.revision)

    def test_invalid_era_makes_the_answer_unknown(self):
        for text in ('', 'two', '-1', '1.0', '²', '1' * 20):
            answer = self.decode(store_era=text)
            self.assertEqual(relay.Status.MALFORMED, answer.status, text)
        self.assertEqual(6, self.input_errors.counters['unusable.answer'])

    def test_request_path_has_the_number_without_the_era(self):
        call = relay.Call('servers', revisions.Revision(9, 3), '', 3.0, 3.5)
        self.assertEqual(
            '/objects/servers?watch=9&wait_ms=3000', _store._build_path(call)
        )


class AnswerTest(testtools.TestCase):
    def decode(self, body, status=200):
        call = relay.Call('kind', None, '', 0.0, 1.0)
        return _store._decode(call, status, body)

    def test_page_is_decoded(self):
        meta = {'name': 'i-1', 'rev': 5, 'create_rev': 3}
        body = {
            'items': [{'meta': meta, 'spec': ENTRY, 'status': None}],
            'truncated': True,
            'current_rev': 9,
        }
        answer = self.decode(json.dumps(body).encode())
        self.assertEqual(relay.Status.OK, answer.status)
        self.assertEqual(9, answer.revision)
        self.assertTrue(answer.is_truncated)
        self.assertEqual('i-1', answer.items[0].path)
        self.assertEqual(3, answer.items[0].created)

    def test_deletion_is_decoded(self):
        meta = {'name': 'i-1', 'rev': 5, 'create_rev': 3}
        event = {'object': {'meta': meta, 'spec': ENTRY}, 'deleted': True}
        body = {'events': [event], 'current_rev': 9}
        answer = self.decode(json.dumps(body).encode())
        self.assertIsNone(answer.items[0].value)

    def test_http_statuses_are_mapped(self):
        statuses = {
            status: self.decode(b'', status).status
            for status in (0, 410, 429, 503, 500)
        }
        self.assertEqual(
            {
                0: relay.Status.UNKNOWN,
                410: relay.Status.FORGOTTEN,
                429: relay.Status.REFUSED,
                503: relay.Status.REFUSED,
                500: relay.Status.UNKNOWN,
            },
            statuses,
        )

    @hypothesis.given(
        strategies.binary(max_size=40)
        | ODD.map(
            lambda value: json.dumps(
                {'items': [value], 'truncated': 0, 'current_rev': value},
                allow_nan=True,
            ).encode()
        )
    )
    def test_nonsense_is_no_answer(self, body):
        answer = self.decode(body)
        self.assertIn(answer.status, (relay.Status.MALFORMED, relay.Status.OK))
