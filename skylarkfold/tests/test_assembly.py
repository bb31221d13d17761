"""Tests of the core that builds the configuration from objects."""

import testtools

from skylarkfold import assembly
from skylarkfold import effect
from skylarkfold import event
from skylarkfold import platform_api
from skylarkfold import teams

SETTINGS = b"""{"services": {"%s": {"address": "10.0.0.1:%d", "upstreams": {
    "u1": {"address": "10.0.1.1:9000", "zone": "z"}}}}}"""


class ConfigurationCoreTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.core = assembly.ConfigurationCore()

    def put_settings(self, team, value, version=1):
        path = f'/teams/{team}/settings'
        changed = platform_api.StoredObject(path, version, version, value)
        return self.core.handle(0.0, event.ObjectChanged(changed))

    def reach_revision(self, revision):
        return self.core.handle(0.0, event.RevisionReached(revision))

    def test_changed_configuration_is_published_once(self):
        self.assertEqual([], self.put_settings('a', SETTINGS % (b'desk', 1)))
        (published,) = self.reach_revision(7)
        self.assertEqual(7, published.configuration.revision)
        self.assertEqual(['desk'], list(published.configuration.services))
        self.assertEqual([], self.reach_revision(8))

    def test_invalid_subtree_keeps_last_valid_version(self):
        self.put_settings('a', SETTINGS % (b'desk', 1))
        (recorded,) = self.put_settings('a', b'{"services": 5}', 2)
        self.assertIsInstance(recorded, effect.RecordDecision)
        self.assertEqual('settings-invalid', recorded.reason)
        (published,) = self.reach_revision(2)
        self.assertEqual(['desk'], list(published.configuration.services))

    def test_removing_subtree_removes_its_services(self):
        self.put_settings('a', SETTINGS % (b'desk', 1))
        self.put_settings('b', SETTINGS % (b'vault', 2))
        self.put_settings('a', None, 2)
        (published,) = self.reach_revision(3)
        self.assertEqual(['vault'], list(published.configuration.services))

    def test_unreadable_claim_does_not_change_owner(self):
        path = teams.build_service_path('desk')
        claim = teams.encode_claim(teams.Claim(path, 'b', version=1))
        self.put_settings('a', SETTINGS % (b'desk', 1))
        self.put_settings('b', SETTINGS % (b'desk', 1))
        for version, value in ((1, claim), (2, b'nonsense')):
            changed = platform_api.StoredObject(path, version, version, value)
            self.core.handle(0.0, event.ObjectChanged(changed))
            (published,) = self.reach_revision(version)
            owner = published.configuration.services['desk'].team
            self.assertEqual('b', owner)

    def test_other_objects_are_ignored(self):
        changed = platform_api.StoredObject('/tables/desk', 1, 1, b'x')
        self.core.handle(0.0, event.ObjectChanged(changed))
        self.assertEqual([], self.reach_revision(1))
