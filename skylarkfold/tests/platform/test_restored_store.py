"""New and open flows while the store has come back from an older copy.

Instances with all their decisions on a virtual clock; the store's objects are
the platform's.
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
    """Instances that put what they learn in force."""

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
        for wanted in effects:
            if isinstance(wanted, relay.TopicChanged):
                found = self.cores[name].list_items(wanted.topic)
                self.take(
                    self.topic_applier.apply(
                        self.now, wanted.topic, found, self.flows[name]
                    )
                )

    def take(self, effects):
        """Keep what the decisions on flows bring about."""
        self.effects += effects
        return effects


class ReturnTest(testtools.TestCase):
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

    def come_back(self):
        """Have the store come back from the copy, and all know it."""
        self.fleet.run(HEARD_SECONDS)
        self.fleet.is_store_down = True
        # No watch of before is under way any more.
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
        """Open flows at all instances; list the upstreams that get them."""
        used = set()
        for core in self.fleet.flows.values():
            for _ in range(count):
                first = samples.build_first(next(self.ports))
                effects = core.handle_packet(self.fleet.now, first)
                used.update(samples.list_forwards(effects))
        return used

    def open_flow(self, name):
        """Open a flow that an upstream has; give its port and instance."""
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

    def test_one_that_leaves_gets_no_new_flow_through_the_return(self):
        self.register('i-0a1', state='draining')
        self.come_back()
        for _ in range(8):
            self.assertEqual({'i-0a2'}, self.open_flows())
            self.fleet.run(0.5)

    def test_one_that_has_not_written_again_that_it_leaves_ends(self):
        # Its process has ended; the store removes what it had of it.
        self.register('i-0a1', state='draining')
        self.come_back()
        self.fleet.run(2.6)
        self.store.put(SERVERS, 'i-0a1', None)
        self.fleet.run(HEARD_SECONDS)
        for core in self.fleet.flows.values():
            standing = core.directory.get('i-0a1')
            self.assertIsNotNone(standing.lapsed_at)

    def test_one_that_serves_on_is_taken_at_its_word(self):
        self.register('i-0a1', state='draining')
        self.come_back()
        self.register('i-0a1')
        self.fleet.run(HEARD_SECONDS)
        self.assertEqual({'i-0a1', 'i-0a2'}, self.open_flows())

    def test_one_that_the_copy_lacks_keeps_its_flows_and_gets_new_ones(self):
        self.register('i-0a3')
        self.fleet.run(HEARD_SECONDS)
        instance, port, token = self.open_flow('i-0a3')
        self.come_back()
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

    def test_a_start_that_the_copy_has_not_heard_of_keeps_its_flows(self):
        self.register('i-0a1', born=BORN + 9000)
        self.fleet.run(HEARD_SECONDS)
        self.fleet.run(8.0)
        self.open_flow('i-0a1')
        self.fleet.effects.clear()
        self.come_back()
        self.register('i-0a1', born=BORN + 9000)
        self.fleet.run(8.0)
        self.assertEqual([], samples.list_resets(self.fleet.effects))

    def test_a_gone_one_does_not_take_back_its_address(self):
        self.store.put(SERVERS, 'i-0a1', None)
        self.fleet.run(HEARD_SECONDS)
        self.register('i-0b1', address='10.0.0.161:8080')
        self.fleet.run(HEARD_SECONDS)
        self.open_flow('i-0b1')
        self.fleet.effects.clear()
        self.come_back()
        used = self.open_flows()
        self.assertNotIn('i-0a1', used)
        self.assertIn('i-0b1', used)
        self.register('i-0b1', address='10.0.0.161:8080')
        self.fleet.run(4.0)
        self.assertEqual([], samples.list_resets(self.fleet.effects))

    def test_routes_don_t_go_back(self):
        self.configure(5)
        self.configure(8, (PORT, 8443))
        self.come_back()
        self.assertEqual({8}, self.list_versions())
        for version in (5, 8):
            self.configure(version)
            self.fleet.run(HEARD_SECONDS)
            self.assertEqual({8}, self.list_versions())
        self.configure(9)
        self.fleet.run(HEARD_SECONDS)
        self.assertEqual({9}, self.list_versions())

    def test_routes_that_are_gone_for_good_end(self):
        self.configure(8)
        self.come_back()
        self.fleet.run(15.0 + HEARD_SECONDS)
        self.assertEqual({3}, self.list_versions())

    def list_evacuated(self):
        return {
            core.directory.count_evacuated()
            for core in self.fleet.flows.values()
        }

    def test_an_evacuated_zone_stays_so_until_it_is_written_again(self):
        self.register('i-0a4')
        self.saved = self.store.copy()
        self.store.put(EVACUATIONS, samples.ZONE, {})
        self.come_back()
        self.assertEqual({3}, self.list_evacuated())
        self.store.put(EVACUATIONS, samples.ZONE, {})
        self.fleet.run(16.0)
        self.assertEqual({3}, self.list_evacuated())
        self.store.put(EVACUATIONS, samples.ZONE, None)
        self.fleet.run(HEARD_SECONDS)
        self.assertEqual({0}, self.list_evacuated())

    def test_one_that_is_never_written_again_ends(self):
        self.store.put(EVACUATIONS, samples.ZONE, {})
        self.come_back()
        self.assertEqual({2}, self.list_evacuated())
        self.fleet.run(10.0)
        self.assertEqual({2}, self.list_evacuated())
        self.fleet.run(5.0 + HEARD_SECONDS)
        self.assertEqual({0}, self.list_evacuated())

    def test_a_zone_that_was_taken_back_stays_in_use(self):
        self.store.put(EVACUATIONS, samples.ZONE, {})
        self.fleet.run(HEARD_SECONDS)
        self.saved = self.store.copy()
        self.store.put(EVACUATIONS, samples.ZONE, None)
        self.come_back()
        self.assertEqual({0}, self.list_evacuated())

    def test_one_that_is_evacuated_anew_is_emptied_at_once(self):
        self.store.put(EVACUATIONS, samples.ZONE, {})
        self.fleet.run(HEARD_SECONDS)
        self.saved = self.store.copy()
        self.store.put(EVACUATIONS, samples.ZONE, None)
        self.come_back()
        self.store.put(EVACUATIONS, samples.ZONE, None)
        self.store.put(EVACUATIONS, samples.ZONE, {})
        self.fleet.run(HEARD_SECONDS)
        self.assertEqual({2}, self.list_evacuated())
