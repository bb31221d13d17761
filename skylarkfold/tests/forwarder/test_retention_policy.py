"""Tests of which version wins after the store was restored from a copy."""

import testtools

from skylarkfold import affinity
from skylarkfold.forwarder import _retention_policy
from skylarkfold.forwarder import _settings
from skylarkfold.platform import _adapter
from skylarkfold.tests import items
from skylarkfold.tests import machines
from skylarkfold.tests.platform import test_foreign
from skylarkfold.tests.platform import test_objects

NAME = 'i-7f3a91c2'
LASTING_SECONDS = 20.0


class ItemRetentionPolicyTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        settings = machines.build_settings(
            change_seconds=5.0, disturbed_seconds=15.0
        )
        self.forwarder_settings = _settings.ForwarderSettings()
        _settings.apply_machine_settings(self.forwarder_settings, settings)
        platform = _adapter.Adapter(settings)
        self.retention_policy = _retention_policy.ItemRetentionPolicy(
            platform, self.forwarder_settings
        )

    def compare(self, topic, former, current, is_fresh=False):
        return self.retention_policy.compute_retention_seconds(
            topic,
            items.build_item(NAME, 38, 3, former, era=1),
            items.build_item(NAME, 26, 3, current, era=2),
            is_fresh,
        )

    def compare_routes(self, former, current, is_fresh=False):
        base = test_objects.CONFIGURATION
        return self.compare(
            'config',
            {**base, 'version': former},
            {**base, 'version': current},
            is_fresh,
        )

    def compare_entries(self, former, current, is_fresh=False):
        base = test_foreign.ENTRY
        return self.compare(
            'servers', {**base, **former}, {**base, **current}, is_fresh
        )

    def test_lower_version_is_held_back(self):
        self.assertEqual(LASTING_SECONDS, self.compare_routes(8, 7))
        self.assertEqual(LASTING_SECONDS, self.compare_routes(8, 7, True))

    def test_same_or_higher_version_is_accepted(self):
        for version in (8, 9):
            self.assertEqual(0.0, self.compare_routes(8, version))

    def test_unreadable_configuration_is_held_back(self):
        self.assertEqual(LASTING_SECONDS, self.compare_routes(8, 'x'))
        self.assertEqual(0.0, self.compare_routes('x', 7))

    def test_draining_upstream_stays_draining(self):
        retention_seconds = self.compare_entries(
            {'state': 'draining', 'sequence': 50},
            {'state': 'ready', 'sequence': 48},
        )
        self.assertEqual(
            self.forwarder_settings.affinity.entry_seconds, retention_seconds
        )

    def test_entry_written_since_the_restore_is_accepted(self):
        retention_seconds = self.compare_entries(
            {'state': 'draining', 'sequence': 50},
            {'state': 'ready', 'sequence': 51},
        )
        self.assertEqual(0.0, retention_seconds)
        fresh = self.compare_entries(
            {'state': 'draining', 'sequence': 50},
            {'state': 'ready', 'sequence': 2},
            is_fresh=True,
        )
        self.assertEqual(0.0, fresh)

    def test_draining_only_in_the_restored_entry_is_accepted(self):
        retention_seconds = self.compare_entries(
            {'state': 'ready', 'sequence': 50},
            {'state': 'draining', 'sequence': 48},
        )
        self.assertEqual(0.0, retention_seconds)

    def test_different_sequence_alone_is_accepted(self):
        retention_seconds = self.compare_entries(
            {'sequence': 50}, {'sequence': 48}
        )
        self.assertEqual(0.0, retention_seconds)

    def test_entry_of_an_earlier_start_is_held_back(self):
        later, earlier = {'born': 2000}, {'born': 1000}
        self.assertEqual(
            self.forwarder_settings.relay.rewrite_seconds,
            self.compare_entries(later, earlier),
        )
        self.assertEqual(0.0, self.compare_entries(earlier, later))

    def test_unreadable_entry_is_held_back(self):
        self.assertEqual(
            self.forwarder_settings.relay.rewrite_seconds,
            self.compare_entries({}, {'state': 'odd'}),
        )
        self.assertEqual(0.0, self.compare_entries({'state': 'odd'}, {}))

    def test_evacuations_are_accepted(self):
        self.assertEqual(0.0, self.compare('evacuations', {'a': 1}, {}))


class RouteVersionsTest(testtools.TestCase):
    """A lower version is accepted in a new era of the store."""

    def set_routes(self, core, version, number, era):
        item = items.build_item('main', number, 3, {}, era)
        table = affinity.RouteTable(version, (), revision=item.revision)
        return core.set_routes(0.0, table)

    def test_within_an_era_lower_versions_are_ignored(self):
        core = affinity.AffinityCore('z', affinity.AffinitySettings())
        self.set_routes(core, 8, 38, 1)
        self.assertEqual([], self.set_routes(core, 7, 39, 1))
        self.assertEqual(8, core.version)

    def test_in_another_era_any_version_is_accepted(self):
        core = affinity.AffinityCore('z', affinity.AffinitySettings())
        self.set_routes(core, 8, 38, 1)
        self.set_routes(core, 7, 26, 2)
        self.assertEqual(7, core.version)
        # The version of the former era, as retained by a peer.
        self.set_routes(core, 8, 38, 1)
        self.assertEqual(8, core.version)
