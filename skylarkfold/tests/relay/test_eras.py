"""Tests of restored stores, when instances know different eras at once."""

import itertools

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import backoff
from skylarkfold.measure import _relay_fleet as fleet_module
from skylarkfold import relay
from skylarkfold.relay import _store_reader
from skylarkfold import revision as revisions
from skylarkfold.tests import items

ZONES = ('a', 'a', 'a', 'b', 'b', 'c', 'c')
TOPIC = 'routes'
BOUND_SECONDS = 3.0
# By when all instances agree again after faults.
RECOVERY_SECONDS = 6.0
WAIT_SECONDS = 3.0


class RevisionTest(testtools.TestCase):
    def test_a_later_era_is_later_whatever_the_numbers_are(self):
        first = revisions.Revision(38, 1)
        second = revisions.Revision(26, 2)
        self.assertLess(first, second)
        self.assertLess(second, revisions.Revision(27, 2))
        self.assertNotEqual(first, revisions.Revision(38, 2))

    @hypothesis.given(
        strategies.integers(0, revisions.MAXIMUM_NUMBER),
        strategies.integers(0, revisions.MAXIMUM_ERA),
    )
    def test_number_and_era_can_be_read_from_a_revision(self, number, era):
        revision = revisions.Revision(number, era)
        self.assertEqual((number, era), (revision.number, revision.era))
        self.assertEqual(f'{era}:{number}', str(revision))


class StoreReaderTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        settings = relay.RelaySettings(topics=(TOPIC,))
        jitter = backoff.HashJitter(1)
        self.reader = _store_reader.StoreReader(TOPIC, settings, jitter)
        self.now = 0.0

    def start_call(self, position):
        """Start a call as soon as the reader allows it."""
        for _ in range(100):
            call = self.reader.start_call(self.now, position, WAIT_SECONDS)
            if call is not None:
                return call
            self.now += 0.02
        raise AssertionError('no call')

    def answer(self, call, names, number, era, is_truncated=False):
        found = [
            items.build_item(name, number, number, {}, era) for name in names
        ]
        answer = relay.Answer(
            relay.Status.OK,
            found,
            revisions.Revision(number, era),
            is_truncated,
        )
        self.now += 0.01
        return self.reader.handle_answer(self.now, call, answer)

    def list_all(self, number, era):
        call = self.start_call(revisions.ZERO)
        return self.answer(call, 'a', number, era)

    def test_a_listing_with_pages_of_two_eras_starts_over(self):
        first = self.start_call(revisions.ZERO)
        self.assertIsNone(self.answer(first, 'ab', 30, 1, True))
        second = self.start_call(revisions.ZERO)
        self.assertEqual('b', second.after)
        self.assertIsNone(self.answer(second, 'c', 20, 2))
        third = self.start_call(revisions.ZERO)
        self.assertEqual('', third.after)
        update = self.answer(third, 'ad', 21, 2)
        self.assertEqual(['a', 'd'], [each.path for each in update.items])
        self.assertEqual(revisions.Revision(21, 2), update.revision)

    def test_the_answer_to_a_watch_from_before_the_return_is_ignored(self):
        # It watches from 1:30, so changes from 2:21 to 2:30 are not in it.
        position = self.list_all(30, 1).revision
        watch = self.start_call(position)
        self.assertEqual(position, watch.revision)
        self.assertIsNone(self.answer(watch, 'a', 31, 2))
        self.assertIsNone(self.start_call(position).revision)

    def test_a_late_answer_of_the_former_era_is_ignored(self):
        position = self.list_all(20, 2).revision
        watch = self.start_call(position)
        self.assertIsNone(self.answer(watch, 'a', 31, 1))
        again = self.start_call(position)
        self.assertEqual(position, again.revision)

    def test_a_stale_store_is_called_less_and_less_often(self):
        times = []
        position = revisions.Revision(38, 1)
        while self.now < 20.0:
            call = self.start_call(position)
            times.append(self.now)
            if call.revision is not None:
                forgotten = relay.Answer(relay.Status.FORGOTTEN)
                self.reader.handle_answer(self.now, call, forgotten)
            else:
                self.answer(call, 'a', 20, 1)
                self.reader.record_stale(self.now)
        pauses = [
            after - before for before, after in itertools.pairwise(times)
        ]
        self.assertGreater(min(pauses[-4:]), 0.4)


class ErasTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = fleet_module.Fleet(ZONES)
        self.store = self.fleet.store
        self.store.put(TOPIC, 'main', {'version': 1})
        self.fleet.run(5.0)
        self.saved = self.store.copy()
        for version in range(2, 9):
            self.store.put(TOPIC, 'main', {'version': version})
        self.fleet.run(1.0)

    def list_versions(self, path='main'):
        found = set()
        for core in self.fleet.cores.values():
            for item in core.list_items(TOPIC):
                if item.path == path:
                    found.add(item.value['version'])
        return found

    def list_eras(self):
        return {
            core.get_position(TOPIC).era for core in self.fleet.cores.values()
        }

    def write(self, version):
        self.store.put(TOPIC, 'main', {'version': version})
        self.fleet.run(BOUND_SECONDS)
        self.assertEqual({version}, self.list_versions())

    def test_one_watcher_brings_all_instances_into_the_new_era(self):
        # Only one instance can reach the store.
        watcher = next(
            name
            for name, core in self.fleet.cores.items()
            if core.peers.compute_rank() == 0
        )
        self.fleet.cut = lambda one, other: (
            other == fleet_module.STORE and one != watcher
        )
        self.store.restore(self.saved)
        self.fleet.run(4.5)
        self.assertEqual({2}, self.list_eras())
        self.write(20)

    def test_a_zone_learns_the_new_era_after_a_partition(self):
        zones = self.fleet.zones
        self.fleet.cut = lambda one, other: (
            zones.get(one) == 'b' and zones.get(other) != 'b'
        )
        self.store.restore(self.saved)
        for version in range(20, 31):
            self.store.put(TOPIC, 'main', {'version': version})
        self.fleet.run(RECOVERY_SECONDS)
        self.assertEqual({1, 2}, self.list_eras())
        self.fleet.cut = lambda one, other: False
        self.fleet.run(2.0)
        self.assertEqual({2}, self.list_eras())
        self.assertEqual({30}, self.list_versions())

    def test_two_returns_shortly_after_each_other(self):
        self.store.restore(self.saved)
        self.fleet.run(0.4)
        self.store.put(TOPIC, 'main', {'version': 20})
        self.fleet.run(0.1)
        self.store.restore(self.saved)
        self.fleet.run(BOUND_SECONDS)
        self.assertEqual({3}, self.list_eras())
        self.write(21)

    def test_a_return_while_the_fleet_starts(self):
        for name in list(self.fleet.cores):
            self.fleet.end(name)
        for number, zone in enumerate(ZONES):
            self.fleet.start(f'later-{number}', zone)
            if number == 3:
                self.fleet.run(0.03)
                self.store.restore(self.saved)
        self.fleet.run(BOUND_SECONDS)
        self.assertEqual({2}, self.list_eras())
        self.write(20)

    def test_a_page_of_the_former_era_is_ignored(self):
        old = self.fleet.cores['entry-0']
        position = old.get_position(TOPIC)
        page = old.handle_fetch(self.fleet.now, 0, revisions.ZERO)
        self.store.restore(self.saved)
        self.fleet.run(BOUND_SECONDS)
        core = self.fleet.cores['entry-1']
        known = core.get_position(TOPIC)
        self.assertLess(position, known)
        fetch = relay.Fetch('entry-0', 0, known, 0.5)
        self.assertEqual([], core.handle_page(self.fleet.now, fetch, page))
        self.assertEqual(known, core.get_position(TOPIC))

    def test_the_new_era_propagates_at_once(self):
        # No object differs in the new era. The return happens at several times
        # between two beacons.
        for era in range(2, 9):
            self.store.restore(self.store.copy())
            self.fleet.run(5.03)
            self.assertEqual({era}, self.list_eras())
            entered = {}
            for at, name, changed in self.fleet.changes:
                if changed.topic == TOPIC and changed.revision.era == era:
                    entered.setdefault(name, at)
            self.assertEqual(set(self.fleet.cores), set(entered))
            first, last = min(entered.values()), max(entered.values())
            self.assertLessEqual(last - first, 0.05)

    def test_a_new_era_in_one_topic_cancels_the_watches_of_others(self):
        # A watch that is under way at the return shows it after up to 3 s.
        for _ in range(7):
            self.store.restore(self.store.copy())
            era = self.store.era
            while era not in self.list_all_eras():
                self.fleet.run(0.02)
            self.fleet.run(0.15)
            self.assertEqual({era}, self.list_all_eras())
            self.fleet.run(2.3)

    def list_all_eras(self):
        return {
            core.get_position(topic).era
            for core in self.fleet.cores.values()
            for topic in fleet_module.TOPICS
        }

    def test_no_beacon_has_a_delta_between_two_eras(self):
        crossing = []
        send = self.fleet._send

        def look(name, host, data):
            beacon = relay.decode_beacon(data)
            if beacon.delta is not None:
                position = beacon.positions[beacon.delta.topic]
                if beacon.delta.base.era != position.revision.era:
                    crossing.append(beacon)
            send(name, host, data)

        self.fleet._send = look
        self.store.restore(self.saved)
        self.fleet.run(5.0)
        self.assertEqual({2}, self.list_eras())
        self.assertEqual([], crossing)

    def test_only_differing_objects_are_reported_as_changed(self):
        self.store.put(TOPIC, 'other', {'version': 1})
        self.store.put(TOPIC, 'gone', {'version': 1})
        self.saved = self.store.copy()
        self.store.put(TOPIC, 'main', {'version': 9})
        self.store.put(TOPIC, 'gone', None)
        self.store.put(TOPIC, 'new', {'version': 1})
        self.fleet.run(1.0)
        self.store.restore(self.saved)
        self.fleet.run(5.0)
        named = {
            tuple(sorted(changed.paths))
            for _, _, changed in self.fleet.changes
            if changed.topic == TOPIC and changed.revision.era == 2
        }
        # Lost creations and deletions are retained until the store has been
        # without them for the retention time.
        self.assertEqual({('main',), ('gone', 'new')}, named)

    def test_after_a_long_outage_the_return_is_known_soon(self):
        # The longest pause between failed calls, and three calls.
        longest = relay.RelaySettings().most_backoff_seconds + 0.2
        for era in range(2, 9):
            self.fleet.is_store_down = True
            self.fleet.run(8.0 + 0.13 * era)
            self.store.restore(self.saved)
            self.fleet.is_store_down = False
            self.fleet.run(longest)
            self.assertEqual({era}, self.list_eras())

    def test_a_delta_between_two_eras_is_not_applied(self):
        core = self.fleet.cores['entry-0']
        position = core.get_position(TOPIC)
        later = revisions.Revision(position.number + 1, position.era + 1)
        self.send_delta(core, position, later)
        self.assertEqual(position, core.get_position(TOPIC))

    def test_a_delta_of_another_era_is_not_applied(self):
        # The delta starts at the number of this instance's position, but in
        # another era.
        core = self.fleet.cores['entry-0']
        position = core.get_position(TOPIC)
        later = revisions.Revision(position.number + 1, position.era + 1)
        base = revisions.Revision(position.number, later.era)
        effects = self.send_delta(core, base, later)
        self.assertEqual(position, core.get_position(TOPIC))
        self.assertIn(relay.Fetch, [type(each) for each in effects])

    def send_delta(self, core, base, later):
        """Hand an instance a beacon with a delta; return its effects."""
        beacon = relay.Beacon(
            'other',
            'a',
            0,
            False,
            False,
            (
                relay.Position(later, later, 0.0),
                relay.Position(revisions.ZERO, revisions.ZERO, None),
            ),
            relay.TopicDelta(
                0,
                base,
                (items.build_item('main', later.number, 2, {}, later.era),),
            ),
        )
        return core.handle_beacon(self.fleet.now, 'other', beacon)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    [
                        'write',
                        'delete',
                        'copy',
                        'restore',
                        'forget',
                        'down',
                        'cut',
                        'turn',
                        'heal',
                        'end',
                        'start',
                    ]
                ),
                strategies.integers(0, 6),
                strategies.sampled_from([0.0, 0.05, 0.4, 2.5]),
            ),
            max_size=12,
        )
    )
    @hypothesis.settings(max_examples=60, deadline=None)
    def test_all_agree_with_the_store_after_faults_and_returns(self, steps):
        fleet = fleet_module.Fleet(ZONES)
        fleet.run(1.0)
        saved = fleet.store.copy()
        for count, (kind, number, seconds) in enumerate(steps):
            if kind == 'copy':
                saved = fleet.store.copy()
            elif kind == 'restore':
                fleet.store.restore(saved)
            else:
                inject_fault(fleet, kind, number, count)
            fleet.run(seconds)
        fleet.cut = lambda one, other: False
        fleet.is_store_down = False
        fleet.run(RECOVERY_SECONDS)
        stored = {
            item.path: item.revision
            for item in fleet.store.objects[TOPIC].values()
        }
        for core in fleet.cores.values():
            known = {
                item.path: item.revision for item in core.list_items(TOPIC)
            }
            self.assertEqual(stored, known)


def inject_fault(fleet, kind, number, count):
    """Inject a fault into a fleet, or write to its store."""
    name = f'entry-{number}'
    zones = fleet.zones
    zone = zones[name]
    if kind == 'write':
        fleet.store.put(TOPIC, f'p{number}', {'count': count})
    elif kind == 'delete' and f'p{number}' in fleet.store.objects[TOPIC]:
        fleet.store.put(TOPIC, f'p{number}', None)
    elif kind == 'forget':
        fleet.store.forget()
    elif kind == 'down':
        fleet.is_store_down = True
    elif kind == 'cut':
        fleet.cut = lambda one, other: (
            zones.get(one) == zone and zones.get(other) != zone
        )
    elif kind == 'turn':
        fleet.cut = lambda one, other: (
            zones.get(one) == zone and other == fleet_module.STORE
        )
    elif kind == 'heal':
        fleet.cut = lambda one, other: False
        fleet.is_store_down = False
    elif kind == 'end' and name in fleet.cores and len(fleet.cores) > 2:
        fleet.end(name)
    elif kind == 'start' and name not in fleet.cores:
        fleet.start(name, zone)
