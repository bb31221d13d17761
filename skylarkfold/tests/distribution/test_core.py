"""Tests of the distribution core."""

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


def select(kind, effects):
    return [each for each in effects if isinstance(each, kind)]


def answer_next_call(core, now, revision, *objects):
    (call,) = select(effect.CallPlatform, core.handle(now, event.Tick()))
    answer = platform_api.PlatformAnswer(OK, objects, revision)
    return core.handle(now, event.PlatformAnswered(call.call, answer))


def refuse_next_call(core, now):
    """Refuse the next call because its revision has been compacted."""
    (call,) = select(effect.CallPlatform, core.handle(now, event.Tick()))
    answer = platform_api.PlatformAnswer(platform_api.PlatformStatus.REFUSED)
    core.handle(now, event.PlatformAnswered(call.call, answer))


def deliver(now, cores, effects, sender):
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
    def test_listing_makes_core_ready(self):
        core = build_core()
        effects = answer_next_call(
            core, 0.0, 7, build_object('/teams/a/settings', 5)
        )
        self.assertEqual(7, core.revision)
        self.assertTrue(core.is_ready)
        self.assertEqual(1, len(select(effect.PublishObject, effects)))

    def test_objects_outside_kept_prefixes_are_dropped(self):
        core = build_core()
        effects = answer_next_call(core, 0.0, 7, build_object('/status/a', 5))
        self.assertEqual([], select(effect.PublishObject, effects))

    def test_older_answer_is_not_applied(self):
        core = build_core()
        answer_next_call(core, 0.0, 7, build_object('/tables/a', 7, b'new'))
        effects = answer_next_call(
            core, 1.0, 5, build_object('/tables/a', 5, b'old')
        )
        self.assertEqual([], select(effect.PublishObject, effects))
        self.assertEqual(7, core.revision)
        self.assertEqual(b'new', core.get('/tables/a').value)

    def test_local_write_is_published_at_once(self):
        core = build_core()
        written = build_object('/tables/a', 9)
        ended = event.WriteEnded('/tables/a', OK, written)
        effects = core.handle(0.0, ended)
        self.assertEqual([effect.PublishObject(written)], effects)
        self.assertEqual([], core.handle(0.0, ended))

    def test_listing_after_compaction_deletes_absent_objects(self):
        core = build_core()
        kept, gone = build_object('/tables/k', 1), build_object('/tables/g', 2)
        answer_next_call(core, 0.0, 2, kept, gone)
        refuse_next_call(core, 1.0)
        answer_next_call(core, 9.0, 5, kept)
        self.assertIsNone(core.get('/tables/g'))
        self.assertEqual(kept, core.get('/tables/k'))
        self.assertEqual(5, core.revision)

    def test_older_watch_does_not_undo_an_evicted_tombstone(self):
        core = build_core(tombstones=0)
        gone = build_object('/tables/g', 2)
        answer_next_call(core, 0.0, 2, gone)
        answer_next_call(core, 1.0, 3, build_object('/tables/g', 3, None))
        effects = answer_next_call(core, 2.0, 3, gone)
        self.assertEqual([], select(effect.PublishObject, effects))
        self.assertIsNone(core.get('/tables/g'))

    def test_older_answer_confirms_nothing(self):
        core = build_core(pause_seconds=60.0)
        answer_next_call(core, 0.0, 7)
        refuse_next_call(core, 1.0)
        answer_next_call(core, 9.0, 5)
        self.assertEqual(9.0, core.compute_age(9.0))


class PeerTest(testtools.TestCase):
    def test_new_instance_loads_objects_from_a_peer(self):
        cores = {'a1': build_core('a1'), 'a2': build_core('a2')}
        objects = [
            build_object(f'/tables/{n}', n + 1, bytes(900)) for n in range(9)
        ]
        answer_next_call(cores['a1'], 0.0, 9, *objects)
        connected = cores['a1'].handle(1.0, event.PeerConnected('a2'))
        published = deliver(1.0, cores, connected, 'a1')
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
        answer_next_call(cores['a1'], 0.0, 9, *objects)
        connected = cores['a1'].handle(1.0, event.PeerConnected('a2'))
        published = deliver(1.0, cores, connected, 'a1')
        self.assertEqual(objects, published['a2'])
        self.assertTrue(cores['a2'].is_ready)
        self.assertEqual(9, cores['a2'].revision)

    def test_unrequested_page_is_dropped(self):
        core = build_core()
        delta = distribution.Delta(0, 9, False, True, 0, b'')
        core.handle(0.0, event.PeerMessageReceived('a2', delta))
        self.assertEqual(0, core.revision)
        self.assertFalse(core.is_ready)

    def test_lasting_digest_mismatch_causes_a_listing(self):
        cores = {'a1': build_core('a1'), 'a2': build_core('a2')}
        whole = [build_object(f'/tables/{n}', n + 1) for n in range(3)]
        answer_next_call(cores['a1'], 0.0, 9, *whole)
        answer_next_call(cores['a2'], 0.0, 9, *whole[:2])
        (watch,) = select(
            effect.CallPlatform, cores['a2'].handle(0.1, event.Tick())
        )
        for now in (1.0, 4.0):
            connected = cores['a1'].handle(now, event.PeerConnected('a2'))
            deliver(now, cores, connected, 'a1')
        idle = platform_api.PlatformAnswer(OK, (), 9)
        cores['a2'].handle(5.0, event.PlatformAnswered(watch.call, idle))
        effects = answer_next_call(cores['a2'], 5.0, 9, *whole)
        self.assertIn(effect.PublishObject(whole[2]), effects)

    def test_snapshot_replaces_evicted_tombstones(self):
        cores = {
            'a1': build_core('a1', tombstones=0),
            'a2': build_core('a2'),
        }
        kept, gone = build_object('/tables/k', 1), build_object('/tables/g', 2)
        answer_next_call(cores['a1'], 0.0, 2, kept, gone)
        answer_next_call(cores['a2'], 0.0, 2, kept, gone)
        answer_next_call(
            cores['a1'], 1.0, 3, build_object('/tables/g', 3, None)
        )
        connected = cores['a1'].handle(1.0, event.PeerConnected('a2'))
        deliver(1.0, cores, connected, 'a1')
        self.assertIsNone(cores['a2'].get('/tables/g'))
        self.assertEqual(kept, cores['a2'].get('/tables/k'))
        self.assertEqual(3, cores['a2'].revision)

    def test_fetch_beyond_the_limit_is_refused(self):
        core = build_core('a1', serve_count=1, serve_bytes_per_second=0)
        answer_next_call(core, 0.0, 2, build_object('/tables/k', 1))
        fetch = distribution.Fetch(0, 0)
        core.handle(1.0, event.PeerMessageReceived('a2', fetch))
        effects = core.handle(1.0, event.PeerMessageReceived('a3', fetch))
        sent = select(effect.SendToPeer, effects)
        self.assertEqual([distribution.Busy()], [e.message for e in sent])

    def test_paused_instance_is_ready_once_a_peer_agrees(self):
        core = build_core()
        answer_next_call(core, 0.0, 7)
        core.handle(60.0, event.Tick())
        self.assertFalse(core.is_ready)
        position = distribution.Position(7, 10, 0)
        core.handle(60.1, event.PeerMessageReceived('a2', position))
        self.assertTrue(core.is_ready)

    def test_silent_peer_is_replaced(self):
        core = build_core()
        answer_next_call(core, 0.0, 7)
        for name in ('a2', 'a3'):
            further = distribution.Position(9, 10, 0)
            core.handle(1.0, event.PeerMessageReceived(name, further))
        effects = core.handle(2.5, event.Tick())
        sent = select(effect.SendToPeer, effects)
        fetch = distribution.Fetch(7, 0)
        self.assertIn(effect.SendToPeer('a3', fetch), sent)

    def test_malformed_page_is_dropped_and_another_peer_asked(self):
        core = build_core()
        answer_next_call(core, 0.0, 7)
        for name in ('a2', 'a3'):
            further = distribution.Position(9, 10, 0)
            core.handle(1.0, event.PeerMessageReceived(name, further))
        delta = distribution.Delta(7, 9, False, True, 0, b'nonsense')
        effects = core.handle(1.0, event.PeerMessageReceived('a2', delta))
        sent = select(effect.SendToPeer, effects)
        fetch = distribution.Fetch(7, 0)
        self.assertEqual([effect.SendToPeer('a3', fetch)], sent)
        self.assertEqual(7, core.revision)


class RestoreTest(testtools.TestCase):
    """Guards against reverting to old settings when the store is restored.

    The store comes back from an older copy, so later writes are missing.
    """

    PATH = '/teams/desk/settings'

    def build(self, number, era, version):
        """Build the settings object as the store returns it."""
        revision = int(revisions.Revision(number, era))
        return platform_api.StoredObject(
            self.PATH, version, revision, f'v{version}'.encode()
        )

    def collect_published(self, core, now, found):
        """Answer a call with the settings and return the published values."""
        effects = answer_next_call(core, now, found.revision, found)
        return [
            each.stored.value for each in select(effect.PublishObject, effects)
        ]

    def test_higher_version_written_after_restore_is_published(self):
        core = build_core()
        self.collect_published(core, 0.0, self.build(38, 1, 3))
        refuse_next_call(core, 1.0)
        published = self.collect_published(core, 2.0, self.build(26, 2, 4))
        self.assertEqual([b'v4'], published)
        self.assertEqual(int(revisions.Revision(26, 2)), core.revision)

    def test_older_version_after_restore_is_not_published(self):
        core = build_core()
        self.collect_published(core, 0.0, self.build(38, 1, 3))
        refuse_next_call(core, 1.0)
        published = self.collect_published(core, 2.0, self.build(26, 2, 2))
        self.assertEqual([], published)
        refuse_next_call(core, 3.0)
        published = self.collect_published(core, 4.0, self.build(27, 2, 3))
        self.assertEqual([b'v3'], published)

    def test_lower_version_written_after_restore_is_published(self):
        core = build_core()
        self.collect_published(core, 0.0, self.build(38, 1, 7))
        refuse_next_call(core, 1.0)
        self.assertEqual(
            [], self.collect_published(core, 2.0, self.build(26, 2, 4))
        )
        (call,) = select(effect.CallPlatform, core.handle(3.0, event.Tick()))
        revision = int(revisions.Revision(27, 2))
        new = platform_api.StoredObject(self.PATH, 5, revision, b'new')
        answer = platform_api.PlatformAnswer(OK, (new,), revision)
        effects = core.handle(3.1, event.PlatformAnswered(call.call, answer))
        (published,) = select(effect.PublishObject, effects)
        self.assertEqual(b'new', published.stored.value)

    def test_retained_settings_are_released_after_timeout(self):
        core = build_core(announce_seconds=100.0)
        self.collect_published(core, 0.0, self.build(38, 1, 3))
        refuse_next_call(core, 1.0)
        self.collect_published(core, 2.0, self.build(26, 2, 2))
        for now in (8.0, 14.0):
            refuse_next_call(core, now)
            found = self.build(26, 2, 2)
            self.assertEqual(
                [], self.collect_published(core, now + 1.0, found)
            )
        refuse_next_call(core, 17.5)
        self.collect_published(core, 18.5, self.build(26, 2, 2))
        effects = core.handle(18.6, event.Tick())
        (published,) = select(effect.PublishObject, effects)
        self.assertEqual(b'v2', published.stored.value)

    def test_settings_absent_after_restore_are_retained(self):
        core = build_core()
        self.collect_published(core, 0.0, self.build(38, 1, 3))
        refuse_next_call(core, 1.0)
        effects = answer_next_call(core, 2.0, int(revisions.Revision(26, 2)))
        self.assertEqual([], select(effect.PublishObject, effects))
        counted = [each.name for each in select(effect.CountMetric, effects)]
        self.assertIn('distribution.retained', counted)

    def test_settings_deleted_after_restore_are_deleted(self):
        core = build_core()
        self.collect_published(core, 0.0, self.build(38, 1, 3))
        refuse_next_call(core, 1.0)
        self.collect_published(core, 2.0, self.build(26, 2, 2))
        (call,) = select(effect.CallPlatform, core.handle(3.0, event.Tick()))
        revision = int(revisions.Revision(27, 2))
        gone = platform_api.StoredObject(self.PATH, 3, revision, None)
        answer = platform_api.PlatformAnswer(OK, (gone,), revision)
        effects = core.handle(3.1, event.PlatformAnswered(call.call, answer))
        (published,) = select(effect.PublishObject, effects)
        self.assertIsNone(published.stored.value)

    def test_older_version_of_a_table_is_published(self):
        core = build_core()
        first = int(revisions.Revision(38, 1))
        table = platform_api.StoredObject('/tables/desk', 3, first, b'new')
        answer_next_call(core, 0.0, first, table)
        refuse_next_call(core, 1.0)
        later = int(revisions.Revision(26, 2))
        older = platform_api.StoredObject('/tables/desk', 2, later, b'old')
        effects = answer_next_call(core, 2.0, later, older)
        (published,) = select(effect.PublishObject, effects)
        self.assertEqual(b'old', published.stored.value)
