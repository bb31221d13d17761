"""Tests of the configuration put together from objects."""

import testtools

from skylarkfold import assembly
from skylarkfold import effect
from skylarkfold import event
from skylarkfold import platform_api
from skylarkfold import teams

SETTINGS = b"""{"services": {"%s": {"address": "10.0.0.1:%d", "upstreams": {
    "u1": {"address": "10.0.1.1:9000", "zone": "z"}}}}}"""


class AssemblyTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.core = assembly.ConfigurationCore()

    def put(self, team, value, version=1):
        path = f'/teams/{team}/settings'
        changed = platform_api.StoredObject(path, version, version, value)
        return self.core.handle(0.0, event.ObjectChanged(changed))

    def reach(self, revision):
        return self.core.handle(0.0, event.RevisionReached(revision))

    def test_published_once_at_the_revision_of_a_change(self):
        self.assertEqual([], self.put('a', SETTINGS % (b'desk', 1)))
        (published,) = self.reach(7)
        self.assertEqual(7, published.configuration.revision)
        self.assertEqual(['desk'], list(published.configuration.services))
        self.assertEqual([], self.reach(8))

    def test_invalid_subtree_leaves_the_last_good_one(self):
        self.put('a', SETTINGS % (b'desk', 1))
        (recorded,) = self.put('a', b'{"services": 5}', 2)
        self.assertIsInstance(recorded, effect.RecordDecision)
        self.assertEqual('settings-invalid', recorded.reason)
        (published,) = self.reach(2)
        self.assertEqual(['desk'], list(published.configuration.services))

    def test_removed_subtree_takes_its_services_along(self):
        self.put('a', SETTINGS % (b'desk', 1))
        self.put('b', SETTINGS % (b'vault', 2))
        self.put('a', None, 2)
        (published,) = self.reach(3)
        self.assertEqual(['vault'], list(published.configuration.services))

    def test_claim_that_can_not_be_read_changes_no_owner(self):
        path = teams.build_service_path('desk')
        claim = teams.encode_claim(teams.Claim(path, 'b', version=1))
        self.put('a', SETTINGS % (b'desk', 1))
        self.put('b', SETTINGS % (b'desk', 1))
        for version, value in ((1, claim), (2, b'nonsense')):
            changed = platform_api.StoredObject(path, version, version, value)
            self.core.handle(0.0, event.ObjectChanged(changed))
            (published,) = self.reach(version)
            owner = published.configuration.services['desk'].team
            self.assertEqual('b', owner)

    def test_other_objects_change_nothing(self):
        changed = platform_api.StoredObject('/tables/desk', 1, 1, b'x')
        self.core.handle(0.0, event.ObjectChanged(changed))
        self.assertEqual([], self.reach(1))
