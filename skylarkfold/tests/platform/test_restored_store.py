"""Tests of new and open flows after the store was restored from a copy.

Several instances run on a virtual clock with objects in the platform's format.
"""

import testtools

from skylarkfold import affinity
from skylarkfold.forwarder import _retention_policy
from skylarkfold.forwarder import _settings
from skylarkfold.forwarder import _topics
from skylarkfold.measure import _relay_fleet as fleet_module
from skylarkfold.platform import _adapter
from skylarkfold import relay
from skylarkfold.tests.affinity import samples
from skylarkfold.tests import machines
from skylarkfold.tests.platform import test_foreign

CONFIG = 'config'
SERVERS = 'servers'
EVACUATIONS = 'evacuations'
ZONES = (samples.ZONE, samples.ZONE, samples.OTHER_ZONE)
HEARD_SECONDS = 0.5
AWAY_SECONDS = 3.5
HOST = '198.51.100.1'
PORT = 443
BORN = test_foreign.BORN


def build_settings(name='n', zone=samples.ZONE):
    return machines.build_settings(
        name,
        zone,
        zones=(samples.ZONE, samples.OTHER_ZONE),
        evacuation_seconds=5.0,
    )


class Fleet(fleet_module.Fleet):
    """Instances that apply the changes of their topics."""

    def __init__(self):
        settings = build_settings()
        self.forwarder_settings = _settings.ForwarderSettings()
        _settings.apply_machine_settings(self.forwarder_settings, settings)
        self.adapter = _adapter.Adapter(settings)
        self.topic_applier = _topics.TopicApplier(self.adapter, settings)
        self.forwarder_settings.relay.topics = self.topic_applier.topics
        self.forwarder_settings.relay.lasting_topics = (
            self.topic_applier.lasting_topics
        )
        retention_policy = _retention_policy.ItemRetentionPolicy(
            self.adapter, self.forwarder_settings
        )
        self.flows = {}
        self.effects = []
        super().__init__(
            ZONES, self.forwarder_settings.relay, retention_policy
        )

    def start(self, name, zone, capacity=0):
        self.flows[name] = affinity.AffinityCore(
            zone, self.forwarder_settings.affinity
        )
        super().start(name, zone, capacity)

    def perform(self, name, effects):
        super().perform(name, effects)
        for effect in effects:
            if isinstance(effect, relay.TopicChanged):
                found = self.cores[name].list_items(effect.topic)
                self.record_effects(
                    self.topic_applier.apply(
                        self.now, effect.topic, found, self.flows[name]
                    )
                )

    def record_effects(self, effects):
        """Record the effects of the affinity cores."""
        self.effects += effects
        return effects


class RestoredStoreTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = Fleet()
        self.store = self.fleet.store
        self.beats = 0
        self.ports = iter(range(2000, 60000))
        self.configure(3)
        self.register('i-0a1')
        self.register('i-0a2')
        self.fleet.run(6.0)
        self.saved = self.store.copy()

    def configure(self, version, ports=(PORT,)):
        self.store.put(
            CONFIG,
            'main',
            {
                'version': version,
                'routes': [
                    {
                        'name': f'r-{port}',
                        'host': HOST,
                        'path_prefix': f'/{port}/',
                        'type': 'idempotent',
                        'priority': 0,
                        'service': samples.SERVICE,
                    }
                    for port in ports
                ],
                'services': [{'name': samples.SERVICE}],
                'limits': {'idle_timeout_ms': 15000},
            },
        )

    def register(self, name, state='ready', born=BORN, address=None):
        self.beats += 1
        host = f'10.0.0.{int(name[2:], 16) & 0xFF}'
        self.store.put(
            SERVERS,
            name,
            {
                **test_foreign.ENTRY,
                'service': samples.SERVICE,
                'zone': samples.ZONE,
                'address': address or f'{host}:8080',
                'state': state,
                'born': born,
                'sequence': self.beats,
                'warmup_left_ms': 0,
            },
        )

    def restore_store(self):
        """Restore the store from the copy; wait until all instances know."""
        self.fleet.run(HEARD_SECONDS)
        self.fleet.is_store_down = True
        # By then, no earlier watch is pending.
        self.fleet.run(AWAY_SECONDS)
        self.store.restore(self.saved)
        self.fleet.is_store_down = False
        self.fleet.run(1.2)
        eras = {
            core.get_position(SERVERS).era
            for core in self.fleet.cores.values()
        }
        self.assertEqual({2}, eras)

    def open_flows(self, count=12):
        """Open flows at all instances; return the upstreams they reach."""
        used = set()
        for core in self.fleet.flows.values():
            for _ in range(count):
                first = samples.build_first(next(self.ports))
                effects = core.handle_packet(self.fleet.now, first)
                used.update(samples.list_forwards(effects))
        return used

    def open_flow(self, name):
        """Open a flow to an upstream; return instance, port and token."""
        for instance, core in self.fleet.flows.items():
            for _ in range(20):
                port = next(self.ports)
                effects = core.handle_packet(
                    self.fleet.now, samples.build_first(port)
                )
                if samples.list_forwards(effects) == [name]:
                    token = int(name[2:], 16)
                    packet = samples.build_packet(port, token)
                    core.handle_packet(self.fleet.now, packet)
                    return instance, port, token
        raise AssertionError('no flow')

    def list_versions(self):
        return {core.version for core in self.fleet.flows.values()}

    def test_draining_upstream_gets_no_new_flows(self):
        self.register('i-0a1', state='draining')
        self.restore_store()
        for _ in range(8):
            self.assertEqual({'i-0a2'}, self.open_flows())
            self.fleet.run(0.5)

    def test_draining_upstream_that_never_writes_again_lapses(self):
        # The process has ended, so the store deletes its restored entry.
        self.register('i-0a1', state='draining')
        self.restore_store()
        self.fleet.run(2.6)
        self.store.put(SERVERS, 'i-0a1', None)
        self.fleet.run(HEARD_SECONDS)
        for core in self.fleet.flows.values():
            standing = core.directory.get('i-0a1')
            self.assertIsNotNone(standing.lapsed_at)

    def test_upstream_that_stopped_draining_gets_new_flows(self):
        self.register('i-0a1', state='draining')
        self.restore_store()
        self.register('i-0a1')
        self.fleet.run(HEARD_SECONDS)
        self.assertEqual({'i-0a1', 'i-0a2'}, self.open_flows())

    def test_upstream_missing_in_the_copy_stays_in_use(self):
        self.register('i-0a3')
        self.fleet.run(HEARD_SECONDS)
        instance, port, token = self.open_flow('i-0a3')
        self.restore_store()
        self.assertIn('i-0a3', self.open_flows())
        packet = samples.build_packet(port, token, sequence=102)
        effects = self.fleet.flows[instance].handle_packet(
            self.fleet.now, packet
        )
        self.assertEqual(['i-0a3'], samples.list_forwards(effects))
        self.register('i-0a3')
        self.fleet.run(4.0)
        self.assertEqual([], samples.list_resets(self.fleet.effects))
        lapses = [
            each
            for each in self.fleet.effects
            if getattr(each, 'reason', '') == 'lapsed'
        ]
        self.assertEqual([], lapses)

    def test_restarted_upstream_older_in_the_copy_keeps_its_flows(self):
        self.register('i-0a1', born=BORN + 9000)
        self.fleet.run(HEARD_SECONDS)
        self.fleet.run(8.0)
        self.open_flow('i-0a1')
        self.fleet.effects.clear()
        self.restore_store()
        self.register('i-0a1', born=BORN + 9000)
        self.fleet.run(8.0)
        self.assertEqual([], samples.list_resets(self.fleet.effects))

    def test_removed_upstream_does_not_regain_its_address(self):
        self.store.put(SERVERS, 'i-0a1', None)
        self.fleet.run(HEARD_SECONDS)
        self.register('i-0b1', address='10.0.0.161:8080')
        self.fleet.run(HEARD_SECONDS)
        self.open_flow('i-0b1')
        self.fleet.effects.clear()
        self.restore_store()
        used = self.open_flows()
        self.assertNotIn('i-0a1', used)
        self.assertIn('i-0b1', used)
        self.register('i-0b1', address='10.0.0.161:8080')
        self.fleet.run(4.0)
        self.assertEqual([], samples.list_resets(self.fleet.effects))

    def test_routes_keep_the_highest_version(self):
        self.configure(5)
        self.configure(8, (PORT, 8443))
        self.restore_store()
        self.assertEqual({8}, self.list_versions())
        for version in (5, 8):
            self.configure(version)
            self.fleet.run(HEARD_SECONDS)
            self.assertEqual({8}, self.list_versions())
        self.configure(9)
        self.fleet.run(HEARD_SECONDS)
        self.assertEqual({9}, self.list_versions())

    def test_lost_routes_expire(self):
        self.configure(8)
        self.restore_store()
        self.fleet.run(15.0 + HEARD_SECONDS)
        self.assertEqual({3}, self.list_versions())

    def list_evacuated(self):
        return {
            core.directory.count_evacuated()
            for core in self.fleet.flows.values()
        }

    def test_zone_stays_evacuated_until_the_entry_is_rewritten(self):
        self.register('i-0a4')
        self.saved = self.store.copy()
        self.store.put(EVACUATIONS, samples.ZONE, {})
        self.restore_store()
        self.assertEqual({3}, self.list_evacuated())
        self.store.put(EVACUATIONS, samples.ZONE, {})
        self.fleet.run(16.0)
        self.assertEqual({3}, self.list_evacuated())
        self.store.put(EVACUATIONS, samples.ZONE, None)
        self.fleet.run(HEARD_SECONDS)
        self.assertEqual({0}, self.list_evacuated())

    def test_lost_evacuation_expires(self):
        self.store.put(EVACUATIONS, samples.ZONE, {})
        self.restore_store()
        self.assertEqual({2}, self.list_evacuated())
        self.fleet.run(10.0)
        self.assertEqual({2}, self.list_evacuated())
        self.fleet.run(5.0 + HEARD_SECONDS)
        self.assertEqual({0}, self.list_evacuated())

    def test_ended_evacuation_is_not_restored(self):
        self.store.put(EVACUATIONS, samples.ZONE, {})
        self.fleet.run(HEARD_SECONDS)
        self.saved = self.store.copy()
        self.store.put(EVACUATIONS, samples.ZONE, None)
        self.restore_store()
        self.assertEqual({0}, self.list_evacuated())

    def test_new_evacuation_applies_at_once(self):
        self.store.put(EVACUATIONS, samples.ZONE, {})
        self.fleet.run(HEARD_SECONDS)
        self.saved = self.store.copy()
        self.store.put(EVACUATIONS, samples.ZONE, None)
        self.restore_store()
        self.store.put(EVACUATIONS, samples.ZONE, None)
        self.store.put(EVACUATIONS, samples.ZONE, {})
        self.fleet.run(HEARD_SECONDS)
        self.assertEqual({2}, self.list_evacuated())
