"""Tests of entries whose text is not valid JSON.

What was seen: once another program had written one such entry, no instance
learned of any change of upstreams, and flows went on to an upstream that
drained until it exited. An instance that was started never became ready. The
cause: an answer of the store was parsed as a whole, so that one entry made all
others unusable, and the same call was made again. The proof: one call of the
decoder with such an entry between two valid ones returned no object.
"""

import json

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold.platform import _answer_parser
from skylarkfold.platform import _input_errors
from skylarkfold.platform import _objects
from skylarkfold.platform import _store
from skylarkfold import relay
from skylarkfold import revision as revisions
from skylarkfold.tests.platform import raw_store
from skylarkfold.tests.platform import test_objects

ENTRY = test_objects.ENTRY
DRAINING = {**ENTRY, 'state': 'draining'}
GOOD = 'i-00000000a1'
BAD = 'i-00000000b2'
LATER = 'i-00000000c3'
# Long enough for a listing and for the changes after it.
READ_SECONDS = 1.0

DEEP = 20_000
# Each parser refuses some of these.
UNREADABLE = {
    'control character': b'{"note":"\x00\x01"}',
    'raw bytes in a string': b'{"note":"\x9f\xff"}',
    'long integer': b'{"sequence":%s}' % (b'9' * 5000),
    'long fraction': b'{"sequence":1.%s}' % (b'9' * 5000),
    'unknown escape': rb'{"note":"\q"}',
    'short escape': rb'{"note":"\u12"}',
    'escaped end of a string': rb'{"note":"\"}',
    'lone surrogate': rb'{"note":"\ud800"}',
    'string without end': b'{"note":"abc',
    'two strings without end': b'{"note":"abc","more":"',
    'object without end': b'{"note":{"a":1}',
    'array without end': b'[1,2',
    'object without begin': b'"note":1}',
    'too many ends': b'{"note":1}}',
    'wrong end': b'{"note":[1}',
    'wrong ends': b'{"note":[{"a":1]}}',
    'no value': b'',
    'space': b' ',
    'comma': b',',
    'raw bytes': b'\x00\x9f\xff',
    'words': b'not json',
    'part of a constant': b'tru',
    'two values': b'{} {}',
    'member without value': b'{"note":}',
    'member without name': b'{:1}',
    'last comma': b'{"note":1,}',
    'single quotes': b"{'note':1}",
    'comment': b'{}/* { */',
    'bare quote': b'"',
    'not a number': b'{"note":-}',
    'leading zero': b'{"note":01}',
    'deep': b'[' * DEEP + b']' * DEEP,
    'deep objects': b'{"a":' * DEEP + b'1' + b'}' * DEEP,
    'deep without end': b'[' * DEEP,
    'deep with a wrong end': b'[' * DEEP + b'}' * DEEP,
    'deep with a string without end': b'[' * 100 + b'"' + b']' * 100,
}
# The text of another object, and of the end of an answer.
FORGED = raw_store.encode_object(
    LATER, 3, 2**40, json.dumps(DRAINING).encode()
)
FORGED_NEXT = raw_store.encode_object(f'{BAD}0', 3, 4, b'{}')
END = b'],"truncated":false,"current_rev":99}'
EVENT_END = b'],"current_rev":99}'
# Values that contain text that the store writes around objects.
FORGERIES = {
    'object in a string': json.dumps({'note': FORGED.decode()}).encode(),
    'object in a broken string': b'{"note":"' + FORGED,
    'end of an answer': b'{}}' + END,
    'end of a watch': b'{},"status":null},"deleted":false}' + EVENT_END,
    'end of an answer in a string': b'{"note":"}' + END + b'"',
    'objects, then damage': b'{},"status":null},' + FORGED + b',nonsense',
    'next object, then damage': (
        b'{},"status":null},' + FORGED_NEXT + b',{"meta":{"name":"i-b'
    ),
    'damage, then an object': b'x,"status":null},' + FORGED[:-15],
    'damage, then an object that ends': b'x},' + FORGED + b',{"a":1',
    'an object, then the end': b'{},"status":null},' + FORGED + END,
    'an event': b'{},"status":null},"deleted":false},{"object":'
    + FORGED
    + b',"deleted":true},{',
    'second name': b'{},"meta":{"name":"%s","rev":1099511627776,'
    b'"create_rev":3}' % LATER.encode(),
    'second list': b'{}}],"items":[],"current_rev":99,"events":[{"a":1',
    'second list, whole': (
        b'{},"status":null}],"current_rev":99,"items":['
        b'{"meta":{"name":"x","rev":5,"create_rev":5},"spec":{}'
    ),
}


def decode(body, **details):
    """Decode the answer to a listing by one call of the decoder."""
    call = relay.Call('servers', None, '', 0.0, 1.0, **details)
    return _store._decode(call, 200, body, _input_errors.InputErrors())


class DamagedEntriesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.store = raw_store.RawStore()

    def start(self, topic='servers', seconds=READ_SECONDS):
        """Start an instance and let it read the store."""
        replica = raw_store.Replica(self.store, topic)
        replica.run(seconds)
        return replica

    def list_upstreams(self, replica):
        """Return the names of usable upstreams and of those that drain."""
        found = _objects.UpstreamDecoder().decode(
            replica.core.list_items('servers')
        )
        draining = {each.name for each in found if each.is_draining}
        return {each.name for each in found}, draining

    def assert_read(self, replica, usable, draining=(), title=''):
        found = self.list_upstreams(replica)
        self.assertEqual((set(usable), set(draining)), found, title)

    def test_a_start_beside_a_damaged_entry_reads_the_others(self):
        # Guards against a service that stays down while the entry stands.
        for title, value in {**UNREADABLE, **FORGERIES}.items():
            self.store = raw_store.RawStore()
            for name in (GOOD, BAD, LATER):
                self.store.put(name, value if name == BAD else ENTRY)
            replica = self.start()
            self.assertTrue(replica.core.is_ready, title)
            self.assert_read(replica, {GOOD, LATER}, (), title)

    def test_a_change_beside_a_damaged_entry_is_followed(self):
        # Guards against flows to an upstream that drains.
        for title, value in {**UNREADABLE, **FORGERIES}.items():
            self.store = raw_store.RawStore()
            for name in (GOOD, LATER):
                self.store.put(name, ENTRY)
            replica = self.start()
            self.store.put(BAD, value)
            self.store.put(LATER, DRAINING)
            replica.run(READ_SECONDS)
            self.assert_read(replica, {GOOD, LATER}, {LATER}, title)
            self.store.put(GOOD, DRAINING)
            self.store.delete(LATER)
            replica.run(READ_SECONDS)
            self.assert_read(replica, {GOOD}, {GOOD}, title)

    def test_an_entry_that_becomes_damaged_is_dropped_until_it_is_valid(self):
        for title, value in UNREADABLE.items():
            self.store = raw_store.RawStore()
            self.store.put(GOOD, ENTRY)
            self.store.put(BAD, ENTRY)
            replica = self.start()
            self.assert_read(replica, {GOOD, BAD}, (), title)
            self.store.put(BAD, value)
            replica.run(READ_SECONDS)
            self.assert_read(replica, {GOOD}, (), title)
            self.store.put(BAD, ENTRY)
            replica.run(READ_SECONDS)
            self.assert_read(replica, {GOOD, BAD}, (), title)
            self.store.put(BAD, value)
            self.store.delete(BAD)
            replica.run(READ_SECONDS)
            self.assert_read(replica, {GOOD}, (), title)

    def test_damaged_entries_at_any_place_of_a_page(self):
        # The first, the last of a full page, alone, adjacent and all.
        names = [f'i-{number:08x}' for number in range(1, 13)]
        for title, value in UNREADABLE.items():
            for bad in ({0}, {3}, {4}, {11}, {2, 3, 4, 5}, set(range(12))):
                self.store = raw_store.RawStore(page=4)
                usable = set()
                for number, name in enumerate(names):
                    self.store.put(name, value if number in bad else ENTRY)
                    if number not in bad:
                        usable.add(name)
                replica = self.start(seconds=0.3)
                self.assertTrue(replica.core.is_ready, (title, bad))
                self.assert_read(replica, usable, (), (title, bad))

    def test_a_burst_beside_damaged_entries_is_read_in_bounded_calls(self):
        # Guards against one call per event of a burst.
        self.store.put(GOOD, ENTRY)
        replica = self.start()
        for number in range(200):
            self.store.put(f'i-{number + 1:08x}', ENTRY)
        self.store.put(BAD, b'{"note":"')
        before = self.store.calls
        replica.run(READ_SECONDS)
        self.assertEqual(202, len(replica.list_items()))
        self.assertLess(self.store.calls - before, 10)

    def test_a_damaged_entry_costs_a_bounded_number_of_calls(self):
        for number in range(500):
            self.store.put(f'i-{number + 1:08x}', ENTRY)
        self.store.put('i-00000080x', b'{"note":"')
        replica = self.start(seconds=0.5)
        self.assertEqual(501, len(replica.list_items()))
        self.assertLess(self.store.calls, 6)

    def test_a_write_between_two_pages_costs_one_listing(self):
        # Guards against reading one object per call after such a write.
        for number in range(200):
            self.store.put(f'i-{number + 1:08x}', ENTRY)
        self.store.put('i-00000080x', b'{"note":"')
        replica = raw_store.Replica(self.store)
        list_page = self.store.list

        def write_after_first_page(after):
            body = list_page(after)
            if not after and 'i-00000080w' not in body.decode():
                self.store.put('i-00000080w', ENTRY)
            return body

        self.store.list = write_after_first_page
        replica.run(READ_SECONDS)
        self.assertEqual(202, len(replica.list_items()))
        self.assertLess(self.store.calls, 10)

    def test_an_entry_that_is_rewritten_costs_two_calls_per_write_at_most(
        self,
    ):
        self.store.put(GOOD, ENTRY)
        replica = self.start()
        before = self.store.calls
        for beat in range(10):
            self.store.put(BAD, b'{"beat":%d,"note":"' % beat)
            replica.run(READ_SECONDS)
            # The store goes on confirming what is known.
            age = replica.core.compute_age(replica.now, 'servers')
            self.assertLess(age, 1.5 * READ_SECONDS)
        self.assertLessEqual(self.store.calls - before, 20)
        self.assertEqual({'ok'}, set(replica.answers))

    def test_a_burst_of_damaged_events_is_read_in_bounded_calls(self):
        self.store.put(GOOD, ENTRY)
        replica = self.start(seconds=2.0)
        before = self.store.calls
        for beat in range(500):
            self.store.put(BAD, b'{"beat":%d,"note":"' % beat)
        self.store.put(LATER, ENTRY)
        replica.run(READ_SECONDS)
        self.assert_read(replica, {GOOD, LATER})
        self.assertLess(self.store.calls - before, 25)
        age = replica.core.compute_age(replica.now, 'servers')
        self.assertLess(age, READ_SECONDS)

    def test_a_listing_after_lost_history_reads_the_others(self):
        self.store.put(GOOD, ENTRY)
        self.store.put(LATER, ENTRY)
        self.store.put(BAD, b'{"note":"')
        replica = self.start()
        self.store.delete(GOOD)
        self.store.put(LATER, DRAINING)
        self.store.forget()
        replica.run(5.0)
        self.assert_read(replica, {LATER}, {LATER})

    def test_unread_changes_confirm_nothing(self):
        # Guards against taking the events before a damaged one for all.
        self.store.put(GOOD, ENTRY)
        replica = self.start()
        confirmed_at = replica.now - replica.core.compute_age(
            replica.now, 'servers'
        )
        self.store.put(BAD, b'{"note":"')
        self.store.put(LATER, ENTRY)
        call = relay.Call(
            'servers', replica.core.get_position('servers'), '', 1.0, 1.5
        )
        body = self.store.list_events(call.revision)
        answer = _store._decode(call, 200, body)
        self.assertTrue(answer.is_truncated)
        replica.core.handle_answer(replica.now, call, answer)
        age = replica.core.compute_age(replica.now, 'servers')
        self.assertAlmostEqual(confirmed_at, replica.now - age)

    def test_each_entry_is_logged_once_with_its_name_and_topic(self):
        self.store.put(GOOD, ENTRY)
        replica = self.start()
        for beat in range(5):
            self.store.put(BAD, b'{"beat":%d,"note":"secret' % beat)
            replica.run(READ_SECONDS)
        (line,) = replica.lines
        self.assertEqual(
            ('damaged', BAD, 'servers'),
            (line['kind'], line['name'], line['topic']),
        )
        self.assertNotIn('secret', str(line))
        counters = replica.input_errors.counters
        self.assertGreaterEqual(counters['unusable.damaged'], 5)

    def test_a_damaged_evacuation_is_none(self):
        for value in UNREADABLE.values():
            self.store = raw_store.RawStore()
            self.store.put('hall-a', {})
            self.store.put('hall-b', value)
            self.store.put('hall-c', {})
            replica = self.start('evacuations')
            known = set(replica.list_items())
            self.assertLessEqual({'hall-a', 'hall-c'}, known)
            self.store.put('hall-c', value)
            self.store.delete('hall-a')
            replica.run(READ_SECONDS)
            self.assertNotIn('hall-a', replica.list_items())

    def test_a_damaged_configuration_is_no_configuration(self):
        self.store.put('main', test_objects.CONFIGURATION)
        replica = self.start('config')
        for title, value in UNREADABLE.items():
            self.store.put('main', value)
            replica.run(READ_SECONDS)
            (item,) = replica.core.list_items('config')
            self.assertIsNone(_objects.decode_routes([item]), title)
            self.store.put('main', test_objects.CONFIGURATION)
            replica.run(READ_SECONDS)
            (item,) = replica.core.list_items('config')
            self.assertIsNotNone(_objects.decode_routes([item]), title)

    def test_an_instance_hands_on_what_it_read_beside_a_damaged_entry(self):
        for title, value in UNREADABLE.items():
            self.store = raw_store.RawStore()
            for name in (GOOD, BAD, LATER):
                self.store.put(name, value if name == BAD else ENTRY)
            items = self.start().core.list_items('servers')
            position = max(each.revision for each in items)
            page = relay.Page(position, position, True, 0.0, items)
            read = relay.decode_page(relay.encode_page(page))
            found = _objects.UpstreamDecoder().decode(read.items)
            self.assertEqual(
                {GOOD, LATER}, {each.name for each in found}, title
            )


class DecoderTest(testtools.TestCase):
    def test_a_truncated_page_without_usable_objects_goes_on(self):
        # Guards against a listing that never ends.
        meta = {'name': 'i-1\n', 'rev': 5, 'create_rev': 3}
        body = {
            'items': [{'meta': meta, 'spec': ENTRY}],
            'truncated': True,
            'current_rev': 9,
        }
        answer = decode(json.dumps(body).encode())
        self.assertEqual((), answer.items)
        self.assertEqual('i-1\n', answer.last_path)
        call = relay.Call('servers', None, answer.last_path, 0.0, 1.0)
        self.assertEqual(
            '/objects/servers?after=i-1%0A', _store._build_path(call)
        )

    def test_a_name_of_any_bytes_is_sent_as_it_came(self):
        for name, quoted in (
            (b'a\xff', 'a%FF'),
            (rb'a\ud800', 'a%ED%A0%80'),
            ('å'.encode(), '%C3%A5'),
        ):
            body = (
                b'{"items":[{"meta":{"name":"%s","rev":1,"create_rev":1}}],'
                b'"truncated":true,"current_rev":1}' % name
            )
            answer = decode(body)
            call = relay.Call('servers', None, answer.last_path, 0.0, 1.0)
            self.assertEqual(
                f'/objects/servers?after={quoted}', _store._build_path(call)
            )

    def test_a_page_that_ends_where_it_began_is_malformed(self):
        # Guards against listing the same page for ever.
        body = raw_store.RawStore()
        body.put(GOOD, b'{"note":"')
        answer = decode(body.list())
        self.assertEqual(GOOD, answer.last_path)
        call = relay.Call('servers', None, GOOD, 0.0, 1.0)
        answer = _store._decode(call, 200, body.list())
        self.assertEqual(relay.Status.MALFORMED, answer.status)

    def test_an_object_after_one_without_a_name_is_not_left_out(self):
        store = raw_store.RawStore()
        store.put(GOOD, ENTRY)
        store.put(BAD, b'{"note":"')
        body = store.list().replace(b'[{', b'[null,{', 1)
        answer = decode(body)
        self.assertEqual(relay.Status.MALFORMED, answer.status)
        # Of events the first one is used alone.
        body = store.list_events(1).replace(b'[{', b'[null,{', 1)
        call = relay.Call('servers', revisions.Revision(1), '', 1.0, 1.5)
        answer = _store._decode(call, 200, body)
        self.assertEqual(relay.Status.MALFORMED, answer.status)

    def test_a_damaged_answer_to_another_call_is_malformed(self):
        # Guards against a position beyond objects that were not read.
        store = raw_store.RawStore()
        store.put(GOOD, ENTRY)
        store.put(BAD, b'{"note":"')
        watch = relay.Call('servers', revisions.Revision(1), '', 1.0, 1.5)
        for body, call in (
            (store.list(), watch),
            (store.list_events(1), relay.Call('servers', None, '', 0.0, 1.0)),
        ):
            answer = _store._decode(call, 200, body)
            self.assertEqual(relay.Status.MALFORMED, answer.status)

    def test_only_text_of_the_store_ends_a_damaged_answer(self):
        store = raw_store.RawStore()
        store.put(BAD, b'{}}' + END)
        parsed = _answer_parser.parse(store.list())
        self.assertEqual(2, parsed.members['current_rev'])
        self.assertEqual(BAD, parsed.damaged['meta']['name'])

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(
        strategies.one_of(
            strategies.binary(max_size=40),
            strategies.lists(
                strategies.sampled_from(
                    [b'{', b'}', b'[', b']', b'"', b',', b':', b'\\', b'1']
                    + [b'"meta"', b'"name"', b'null', b'\x00', b'\xff', END]
                ),
                max_size=12,
            ).map(b''.join),
            strategies.sampled_from([*FORGERIES.values()]).flatmap(
                lambda text: strategies.integers(0, len(text)).map(
                    lambda end: text[:end]
                )
            ),
        )
    )
    def test_any_bytes_beside_good_entries(self, value):
        store = raw_store.RawStore(page=2)
        for name in (GOOD, BAD, LATER):
            store.put(name, value if name == BAD else ENTRY)
        replica = raw_store.Replica(store)
        replica.run(READ_SECONDS)
        store.put(BAD, value + b' ')
        store.put(GOOD, DRAINING)
        replica.run(READ_SECONDS)
        found = _objects.UpstreamDecoder().decode(
            replica.core.list_items('servers')
        )
        draining = {each.name: each.is_draining for each in found}
        draining.pop(BAD, None)
        self.assertEqual({GOOD: True, LATER: False}, draining)
