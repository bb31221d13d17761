"""Tests of a simultaneous start of all instances of a large fleet.

The first instance that has a snapshot must not be overloaded by the fetches
of all others, which would time out and be repeated.
"""

import testtools

from skylarkfold.measure import _relay_fleet as fleet_module
from skylarkfold import relay
from skylarkfold import revision as revisions

INSTANCES = 100
UPSTREAMS = 800
LINK_BYTES = 100_000.0
SHARE = 0.5
# The platform counts a machine as stable 4 s after its start.
READY_SECONDS = 3.0
STARTS_SECONDS = 0.6


def build_entry(number):
    return {
        'service': f'service-{number % 2}',
        'address': f'10.{number // 250}.0.{number % 250 + 1}:8103',
        'zone': 'abc'[number % 3],
        'version': 'v1',
        'max_concurrency': 2,
        'state': 'ready',
        'warmup_left_ms': 0,
        'sequence': number,
        'born': 1764720000123 + 7919 * number,
    }


class StartOfAllTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        settings = relay.RelaySettings(
            topics=fleet_module.TOPICS,
            serve_bytes_per_second=SHARE * LINK_BYTES,
        )
        self.fleet = fleet_module.Fleet(
            (), settings, link_bytes_per_second=LINK_BYTES
        )
        self.fleet.store.put('routes', 'main', {'version': 1})
        for number in range(UPSTREAMS):
            self.fleet.store.put(
                'upstreams', f'i-{number:010x}', build_entry(number)
            )
        for number in range(INSTANCES):
            # Instances need different times to load the program.
            place = number * 7919 % INSTANCES / INSTANCES
            name, zone = f'entry-{number}', 'abc'[number % 3]
            self.fleet._plan(
                place * STARTS_SECONDS,
                lambda name=name, zone=zone: self.fleet.start(name, zone),
            )

    def test_all_instances_are_ready_soon_on_slow_links(self):
        self.fleet.run(STARTS_SECONDS + READY_SECONDS)
        late = [
            name
            for name, core in self.fleet.cores.items()
            if not core.is_ready
        ]
        self.assertEqual(INSTANCES, len(self.fleet.cores))
        self.assertEqual([], late)

    def test_the_instance_that_all_ask_keeps_bandwidth_for_callers(self):
        seconds = STARTS_SECONDS + READY_SECONDS
        self.fleet.run(seconds)
        busiest = max(self.fleet.sent.values())
        page = len(
            relay.encode_page(
                self.fleet.cores['entry-0'].handle_fetch(
                    self.fleet.now + 60.0, 1, revisions.ZERO
                )
            )
        )
        beacons = 11_000 * seconds
        share = SHARE * LINK_BYTES * (seconds + 1.0)
        self.assertLessEqual(busiest, share + page + beacons)

    def test_few_instances_list_the_store(self):
        self.fleet.run(STARTS_SECONDS + READY_SECONDS)
        # Only instances that found no peer with a snapshot list both topics.
        calls = self.fleet.store.calls.total()
        self.assertLess(calls, 2 * INSTANCES)
