"""The store is restored from a backup with an older list of holders.

Guards against an instance that accepts the older list: votes given under the
newer one would be lost, and a keyed request could run twice.
"""

import testtools

from skylarkfold import effect
from skylarkfold import event
from skylarkfold import platform_api
from skylarkfold.requests import _holders
from skylarkfold import revision as revisions
from skylarkfold.tests.requests import samples

NAME = 'entry-1'
OK = platform_api.PlatformStatus.OK
CONFLICT = platform_api.PlatformStatus.CONFLICT


def build_list(*names, serial=0):
    holders = tuple(
        _holders.Holder(name, 'hall-a', number + 1)
        for number, name in enumerate(names)
    )
    return _holders.HolderValue(holders, serial=serial)


def store(value, version, number, era):
    """Return a list as an object of the store."""
    revision = int(revisions.Revision(number, era))
    written = None if value is None else _holders.encode_value(value)
    return platform_api.StoredObject(_holders.PATH, version, revision, written)


class StoreRollbackTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.core = samples.make_core(name=NAME)
        self.now = 0.0
        self.newest = build_list(NAME, 'entry-2', serial=7)
        self.handle_stored(store(self.newest, 7, 38, 1))

    def handle_stored(self, found):
        """Deliver a stored object and return the writes that follow."""
        return self.list_writes(
            self.core.handle(self.now, event.ObjectChanged(found))
        )

    def wait(self, seconds):
        """Advance the clock and return the writes that follow."""
        writes = []
        for _ in range(int(seconds * 4)):
            self.now += 0.25
            writes += self.list_writes(
                self.core.handle(self.now, event.Tick())
            )
        return writes

    @staticmethod
    def list_writes(effects):
        return [
            each.write
            for each in effects
            if isinstance(each, effect.RequestWrite)
        ]

    def get_holders(self):
        return self.core.holder_manager.holders

    def test_older_list_does_not_replace_the_newest(self):
        self.handle_stored(store(build_list('entry-2', serial=5), 5, 26, 2))
        self.assertEqual(self.newest, self.get_holders().value)

    def test_newest_list_is_written_again(self):
        self.handle_stored(store(build_list('entry-2', serial=5), 5, 26, 2))
        write = self.wait(1.0)[0]
        self.assertEqual(5, write.expected_version)
        self.assertEqual(_holders.encode_value(self.newest), write.value)
        written = store(self.newest, 6, 30, 2)
        ended = event.WriteEnded(_holders.PATH, OK, written)
        self.core.handle(self.now, ended)
        self.assertEqual(written.revision, self.get_holders().list_revision)
        self.assertEqual(6, self.get_holders().version)
        self.assertNotIn(write.value, [each.value for each in self.wait(3.0)])

    def test_list_rewritten_by_another_instance_is_accepted(self):
        older = store(build_list('entry-2', serial=5), 5, 26, 2)
        self.handle_stored(older)
        self.wait(1.0)
        again = store(self.newest, 6, 30, 2)
        ended = event.WriteEnded(_holders.PATH, CONFLICT, again)
        self.core.handle(self.now, ended)
        self.assertEqual(again.revision, self.get_holders().list_revision)

    def test_deleted_list_is_written_again(self):
        self.handle_stored(store(None, 8, 26, 2))
        write = self.wait(1.0)[0]
        self.assertEqual(0, write.expected_version)
        self.assertEqual(_holders.encode_value(self.newest), write.value)

    def test_later_list_is_accepted_with_a_lower_version(self):
        later = build_list(NAME, 'entry-3', serial=8)
        self.handle_stored(store(later, 6, 26, 2))
        self.assertEqual(later, self.get_holders().value)

    def test_each_change_increments_the_serial(self):
        holders = self.get_holders()
        wanted = (_holders.Holder(NAME, 'hall-a', 1),)
        changed = holders.build_replacement(wanted)
        self.assertEqual(8, changed.serial)
        joint = _holders.HolderList(2, 2, changed)
        self.assertEqual(9, joint.build_completion(frozenset()).serial)

    def test_lists_without_a_serial_are_ordered_by_revision(self):
        core = samples.make_core(name=NAME)
        first, second = build_list(NAME), build_list(NAME, 'entry-2')
        for found in (store(first, 1, 3, 1), store(second, 2, 4, 1)):
            core.handle(0.0, event.ObjectChanged(found))
        self.assertEqual(second, core.holder_manager.holders.value)
