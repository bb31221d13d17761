"""Tests of which form counts after the store has come back older."""

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


class PrecedenceTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        settings = machines.build_settings(
            change_seconds=5.0, disturbed_seconds=15.0
        )
        self.own = _settings.ForwarderSettings()
        _settings.apply_machine_settings(self.own, settings)
        platform = _adapter.Adapter(settings)
        self.retention_policy = _retention_policy.Precedence(
            platform, self.own
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

    def test_a_lower_version_waits_as_long_as_a_change_may_take(self):
        self.assertEqual(LASTING_SECONDS, self.compare_routes(8, 7))
        self.assertEqual(LASTING_SECONDS, self.compare_routes(8, 7, True))

    def test_the_same_version_or_a_later_one_counts(self):
        for version in (8, 9):
            self.assertEqual(0.0, self.compare_routes(8, version))

    def test_a_configuration_that_can_t_be_read_replaces_none(self):
        self.assertEqual(LASTING_SECONDS, self.compare_routes(8, 'x'))
        self.assertEqual(0.0, self.compare_routes('x', 7))

    def test_one_that_leaves_goes_on_leaving(self):
        hold = self.compare_entries(
            {'state': 'draining', 'sequence': 50},
            {'state': 'ready', 'sequence': 48},
        )
        self.assertEqual(self.own.affinity.entry_seconds, hold)

    def test_one_that_has_written_since_is_as_it_says(self):
        hold = self.compare_entries(
            {'state': 'draining', 'sequence': 50},
            {'state': 'ready', 'sequence': 51},
        )
        self.assertEqual(0.0, hold)
        fresh = self.compare_entries(
            {'state': 'draining', 'sequence': 50},
            {'state': 'ready', 'sequence': 2},
            is_fresh=True,
        )
        self.assertEqual(0.0, fresh)

    def test_one_that_said_so_only_in_the_copy_leaves(self):
        hold = self.compare_entries(
            {'state': 'ready', 'sequence': 50},
            {'state': 'draining', 'sequence': 48},
        )
        self.assertEqual(0.0, hold)

    def test_a_beat_more_or_less_is_no_other_form(self):
        hold = self.compare_entries({'sequence': 50}, {'sequence': 48})
        self.assertEqual(0.0, hold)

    def test_an_earlier_start_does_not_replace_a_later_one(self):
        later, earlier = {'born': 2000}, {'born': 1000}
        self.assertEqual(
            self.own.relay.rewrite_seconds,
            self.compare_entries(later, earlier),
        )
        self.assertEqual(0.0, self.compare_entries(earlier, later))

    def test_an_entry_that_can_t_be_read_replaces_none_at_once(self):
        self.assertEqual(
            self.own.relay.rewrite_seconds,
            self.compare_entries({}, {'state': 'odd'}),
        )
        self.assertEqual(0.0, self.compare_entries({'state': 'odd'}, {}))

    def test_evacuations_are_as_the_store_has_them(self):
        self.assertEqual(0.0, self.compare('evacuations', {'a': 1}, {}))


class VersionsTest(testtools.TestCase):
    """A version that is gone for good gives way to a lower one."""

    def set_routes(self, core, version, number, era):
        item = items.build_item('main', number, 3, {}, era)
        table = affinity.RouteTable(version, (), revision=item.revision)
        return core.set_routes(0.0, table)

    def test_within_an_era_versions_only_rise(self):
        core = affinity.AffinityCore('z', affinity.AffinitySettings())
        self.set_routes(core, 8, 38, 1)
        self.assertEqual([], self.set_routes(core, 7, 39, 1))
        self.assertEqual(8, core.version)

    def test_another_era_s_word_counts_whatever_its_version(self):
        core = affinity.AffinityCore('z', affinity.AffinitySettings())
        self.set_routes(core, 8, 38, 1)
        self.set_routes(core, 7, 26, 2)
        self.assertEqual(7, core.version)
        # One that knew only the copy learns what a peer retains.
        self.set_routes(core, 8, 38, 1)
        self.assertEqual(8, core.version)
