"""Tests of the distribution's core."""

import testtools

from skylarkfold import distribution
from skylarkfold import effect
from skylarkfold import endpoint
from skylarkfold import event
from skylarkfold import instance
from skylarkfold import platform_api
from skylarkfold import revision as revisions

OK = platform_api.PlatformStatus.OK


def build_core(name='a1', **changes):
    settings = instance.InstanceSettings(
        name, 'hall-a', 'norte', endpoint.Endpoint('127.0.0.1', 9000)
    )
    return distribution.DistributionCore(
        settings, distribution.DistributionSettings(**changes), seed=1
    )


def build_object(path, revision, value=b'x'):
    return platform_api.StoredObject(path, 1, revision, value)


def list_of(kind, effects):
    return [each for each in effects if isinstance(each, kind)]


def load(core, now, revision, *objects):
    (call,) = list_of(effect.CallPlatform, core.handle(now, event.Tick()))
    answer = platform_api.PlatformAnswer(OK, objects, revision)
    return core.handle(now, event.PlatformAnswered(call.call, answer))


def refuse(core, now):
    """Answer the next call as one whose revision is compacted away."""
    (call,) = list_of(effect.CallPlatform, core.handle(now, event.Tick()))
    answer = platform_api.PlatformAnswer(platform_api.PlatformStatus.REFUSED)
    core.handle(now, event.PlatformAnswered(call.call, answer))


def exchange(now, cores, effects, sender):
    """Deliver messages between cores until none is left."""
    queue = [(sender, each) for each in effects]
    published = {name: [] for name in cores}
    while queue:
        source, each = queue.pop(0)
        if isinstance(each, effect.PublishObject):
            published[source].append(each.stored)
        if not isinstance(each, effect.SendToPeer):
            continue
        received = event.PeerMessageReceived(source, each.message)
        answers = cores[each.peer].handle(now, received)
        queue += [(each.peer, answer) for answer in answers]
    return published


class PlatformTest(testtools.TestCase):
    def test_a_listing_makes_it_ready(self):
        core = build_core()
        effects = load(core, 0.0, 7, build_object('/teams/a/settings', 5))
        self.assertEqual(7, core.revision)
        self.assertTrue(core.is_ready)
        self.assertEqual(1, len(list_of(effect.PublishObject, effects)))

    def test_objects_elsewhere_are_dropped(self):
        core = build_core()
        effects = load(core, 0.0, 7, build_object('/status/a', 5))
        self.assertEqual([], list_of(effect.PublishObject, effects))

    def test_an_older_answer_is_not_applied(self):
        core = build_core()
        load(core, 0.0, 7, build_object('/tables/a', 7, b'new'))
        effects = load(core, 1.0, 5, build_object('/tables/a', 5, b'old'))
        self.assertEqual([], list_of(effect.PublishObject, effects))
        self.assertEqual(7, core.revision)
        self.assertEqual(b'new', core.get('/tables/a').value)

    def test_a_local_write_is_published_at_once(self):
        core = build_core()
        written = build_object('/tables/a', 9)
        ended = event.WriteEnded('/tables/a', OK, written)
        effects = core.handle(0.0, ended)
        self.assertEqual([effect.PublishObject(written)], effects)
        self.assertEqual([], core.handle(0.0, ended))

    def test_a_listing_after_a_compaction_drops_what_is_absent(self):
        core = build_core()
        kept, gone = build_object('/tables/k', 1), build_object('/tables/g', 2)
        load(core, 0.0, 2, kept, gone)
        refuse(core, 1.0)
        load(core, 9.0, 5, kept)
        self.assertIsNone(core.get('/tables/g'))
        self.assertEqual(kept, core.get('/tables/k'))
        self.assertEqual(5, core.revision)

    def test_a_forgotten_deletion_is_not_undone_by_an_older_watch(self):
        core = build_core(tombstones=0)
        gone = build_object('/tables/g', 2)
        load(core, 0.0, 2, gone)
        load(core, 1.0, 3, build_object('/tables/g', 3, None))
        effects = load(core, 2.0, 3, gone)
        self.assertEqual([], list_of(effect.PublishObject, effects))
        self.assertIsNone(core.get('/tables/g'))

    def test_an_older_answer_confirms_nothing(self):
        core = build_core(pause_seconds=60.0)
        load(core, 0.0, 7)
        refuse(core, 1.0)
        load(core, 9.0, 5)
        self.assertEqual(9.0, core.compute_age(9.0))


class PeerTest(testtools.TestCase):
    def test_a_new_instance_starts_from_a_peer(self):
        cores = {'a1': build_core('a1'), 'a2': build_core('a2')}
        objects = [
            build_object(f'/tables/{n}', n + 1, bytes(900)) for n in range(9)
        ]
        load(cores['a1'], 0.0, 9, *objects)
        connected = cores['a1'].handle(1.0, event.PeerConnected('a2'))
        published = exchange(1.0, cores, connected, 'a1')
        self.assertEqual(objects, published['a2'])
        self.assertTrue(cores['a2'].is_ready)
        self.assertEqual(9, cores['a2'].revision)

    def test_pages_are_fetched_one_after_another(self):
        cores = {
            'a1': build_core('a1', page_bytes=2000),
            'a2': build_core('a2'),
        }
        objects = [
            build_object(f'/tables/{n}', n + 1, bytes(900)) for n in range(9)
        ]
        load(cores['a1'], 0.0, 9, *objects)
        connected = cores['a1'].handle(1.0, event.PeerConnected('a2'))
        published = exchange(1.0, cores, connected, 'a1')
        self.assertEqual(objects, published['a2'])
        self.assertTrue(cores['a2'].is_ready)
        self.assertEqual(9, cores['a2'].revision)

    def test_a_page_that_was_not_asked_for_is_dropped(self):
        core = build_core()
        delta = distribution.Delta(0, 9, False, True, 0, b'')
        core.handle(0.0, event.PeerMessageReceived('a2', delta))
        self.assertEqual(0, core.revision)
        self.assertFalse(core.is_ready)

    def test_a_lasting_difference_at_one_position_is_listed_again(self):
        cores = {'a1': build_core('a1'), 'a2': build_core('a2')}
        whole = [build_object(f'/tables/{n}', n + 1) for n in range(3)]
        load(cores['a1'], 0.0, 9, *whole)
        load(cores['a2'], 0.0, 9, *whole[:2])
        (watch,) = list_of(
            effect.CallPlatform, cores['a2'].handle(0.1, event.Tick())
        )
        for now in (1.0, 4.0):
            connected = cores['a1'].handle(now, event.PeerConnected('a2'))
            exchange(now, cores, connected, 'a1')
        idle = platform_api.PlatformAnswer(OK, (), 9)
        cores['a2'].handle(5.0, event.PlatformAnswered(watch.call, idle))
        effects = load(cores['a2'], 5.0, 9, *whole)
        self.assertIn(effect.PublishObject(whole[2]), effects)

    def test_a_deletion_that_the_server_forgot_is_made_up_for(self):
        cores = {
            'a1': build_core('a1', tombstones=0),
            'a2': build_core('a2'),
        }
        kept, gone = build_object('/tables/k', 1), build_object('/tables/g', 2)
        load(cores['a1'], 0.0, 2, kept, gone)
        load(cores['a2'], 0.0, 2, kept, gone)
        load(cores['a1'], 1.0, 3, build_object('/tables/g', 3, None))
        connected = cores['a1'].handle(1.0, event.PeerConnected('a2'))
        exchange(1.0, cores, connected, 'a1')
        self.assertIsNone(cores['a2'].get('/tables/g'))
        self.assertEqual(kept, cores['a2'].get('/tables/k'))
        self.assertEqual(3, cores['a2'].revision)

    def test_too_many_fetches_are_sent_elsewhere(self):
        core = build_core('a1', serve_count=1, serve_bytes_per_second=0)
        load(core, 0.0, 2, build_object('/tables/k', 1))
        fetch = distribution.Fetch(0, 0)
        core.handle(1.0, event.PeerMessageReceived('a2', fetch))
        effects = core.handle(1.0, event.PeerMessageReceived('a3', fetch))
        sent = list_of(effect.SendToPeer, effects)
        self.assertEqual([distribution.Busy()], [e.message for e in sent])

    def test_a_woken_instance_is_ready_once_a_peer_agrees(self):
        core = build_core()
        load(core, 0.0, 7)
        core.handle(60.0, event.Tick())
        self.assertFalse(core.is_ready)
        position = distribution.Position(7, 10, 0)
        core.handle(60.1, event.PeerMessageReceived('a2', position))
        self.assertTrue(core.is_ready)

    def test_a_peer_that_does_not_answer_is_passed_over(self):
        core = build_core()
        load(core, 0.0, 7)
        for name in ('a2', 'a3'):
            further = distribution.Position(9, 10, 0)
            core.handle(1.0, event.PeerMessageReceived(name, further))
        effects = core.handle(2.5, event.Tick())
        sent = list_of(effect.SendToPeer, effects)
        fetch = distribution.Fetch(7, 0)
        self.assertIn(effect.SendToPeer('a3', fetch), sent)

    def test_a_malformed_page_is_dropped_and_another_peer_asked(self):
        core = build_core()
        load(core, 0.0, 7)
        for name in ('a2', 'a3'):
            further = distribution.Position(9, 10, 0)
            core.handle(1.0, event.PeerMessageReceived(name, further))
        delta = distribution.Delta(7, 9, False, True, 0, b'nonsense')
        effects = core.handle(1.0, event.PeerMessageReceived('a2', delta))
        sent = list_of(effect.SendToPeer, effects)
        fetch = distribution.Fetch(7, 0)
        self.assertEqual([effect.SendToPeer('a3', fetch)], sent)
        self.assertEqual(7, core.revision)


class ReturnTest(testtools.TestCase):
    """The platform's store comes back from a copy some seconds old.

    Seen in the design, by no run: an instance went back to the settings that
    the copy holds, until their operator applied the newer ones again.
    """

    PATH = '/teams/desk/settings'

    def build(self, number, era, version):
        """Build the settings as the store has them."""
        revision = int(revisions.Revision(number, era))
        return platform_api.StoredObject(
            self.PATH, version, revision, f'v{version}'.encode()
        )

    def list_all(self, core, now, found):
        """List the settings; give what is published of them."""
        effects = load(core, now, found.revision, found)
        return [
            each.stored.value
            for each in list_of(effect.PublishObject, effects)
        ]

    def test_what_is_written_after_a_return_counts(self):
        core = build_core()
        self.list_all(core, 0.0, self.build(38, 1, 3))
        refuse(core, 1.0)
        published = self.list_all(core, 2.0, self.build(26, 2, 4))
        self.assertEqual([b'v4'], published)
        self.assertEqual(int(revisions.Revision(26, 2)), core.revision)

    def test_settings_that_were_in_force_don_t_go_back(self):
        core = build_core()
        self.list_all(core, 0.0, self.build(38, 1, 3))
        refuse(core, 1.0)
        published = self.list_all(core, 2.0, self.build(26, 2, 2))
        self.assertEqual([], published)
        refuse(core, 3.0)
        published = self.list_all(core, 4.0, self.build(27, 2, 3))
        self.assertEqual([b'v3'], published)

    def test_what_is_new_is_not_held_back_for_its_lower_number(self):
        core = build_core()
        self.list_all(core, 0.0, self.build(38, 1, 7))
        refuse(core, 1.0)
        self.assertEqual([], self.list_all(core, 2.0, self.build(26, 2, 4)))
        (call,) = list_of(effect.CallPlatform, core.handle(3.0, event.Tick()))
        revision = int(revisions.Revision(27, 2))
        new = platform_api.StoredObject(self.PATH, 5, revision, b'new')
        answer = platform_api.PlatformAnswer(OK, (new,), revision)
        effects = core.handle(3.1, event.PlatformAnswered(call.call, answer))
        (published,) = list_of(effect.PublishObject, effects)
        self.assertEqual(b'new', published.stored.value)

    def test_settings_that_are_never_written_again_end(self):
        core = build_core(announce_seconds=100.0)
        self.list_all(core, 0.0, self.build(38, 1, 3))
        refuse(core, 1.0)
        self.list_all(core, 2.0, self.build(26, 2, 2))
        for now in (8.0, 14.0):
            refuse(core, now)
            found = self.build(26, 2, 2)
            self.assertEqual([], self.list_all(core, now + 1.0, found))
        refuse(core, 17.5)
        self.list_all(core, 18.5, self.build(26, 2, 2))
        effects = core.handle(18.6, event.Tick())
        (published,) = list_of(effect.PublishObject, effects)
        self.assertEqual(b'v2', published.stored.value)

    def test_settings_that_the_copy_lacks_stay(self):
        core = build_core()
        self.list_all(core, 0.0, self.build(38, 1, 3))
        refuse(core, 1.0)
        effects = load(core, 2.0, int(revisions.Revision(26, 2)))
        self.assertEqual([], list_of(effect.PublishObject, effects))
        counted = [each.name for each in list_of(effect.CountMetric, effects)]
        self.assertIn('distribution.retained', counted)

    def test_settings_that_are_deleted_after_a_return_are_gone(self):
        core = build_core()
        self.list_all(core, 0.0, self.build(38, 1, 3))
        refuse(core, 1.0)
        self.list_all(core, 2.0, self.build(26, 2, 2))
        (call,) = list_of(effect.CallPlatform, core.handle(3.0, event.Tick()))
        revision = int(revisions.Revision(27, 2))
        gone = platform_api.StoredObject(self.PATH, 3, revision, None)
        answer = platform_api.PlatformAnswer(OK, (gone,), revision)
        effects = core.handle(3.1, event.PlatformAnswered(call.call, answer))
        (published,) = list_of(effect.PublishObject, effects)
        self.assertIsNone(published.stored.value)

    def test_what_the_system_writes_is_as_the_store_has_it(self):
        core = build_core()
        first = int(revisions.Revision(38, 1))
        table = platform_api.StoredObject('/tables/desk', 3, first, b'new')
        load(core, 0.0, first, table)
        refuse(core, 1.0)
        later = int(revisions.Revision(26, 2))
        older = platform_api.StoredObject('/tables/desk', 2, later, b'old')
        effects = load(core, 2.0, later, older)
        (published,) = list_of(effect.PublishObject, effects)
        self.assertEqual(b'old', published.stored.value)
