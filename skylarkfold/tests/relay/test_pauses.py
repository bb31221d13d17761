"""Tests of what an instance claims to know after a pause of its process.

What would be seen: an instance that wakes refuses the first packets of flows
on a route that was added while it stood still. The cause: messages that waited
in its sockets were taken to tell of the moment at which they were read.
"""

import testtools

from skylarkfold.measure import _relay_fleet as fleet_module

ZONES = ('a', 'a', 'a', 'a', 'b', 'b', 'c', 'c')
REST_SECONDS = 9.0
# The watchers of two zones, and instances that don't watch.
PAUSED = ('entry-0', 'entry-3', 'entry-4', 'entry-7')
PAUSES = (0.9, 5.0)
# From the start of a pause until a change that is made within it.
CHANGES = (0.3, 0.8)
STEP_SECONDS = 0.01
# The way of a message over all hops, which the ages leave out.
TRAVEL_SECONDS = 0.1


class PauseTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = fleet_module.Fleet(ZONES)
        self.version = 0
        self.write()
        self.fleet.run(REST_SECONDS)

    def write(self):
        self.version += 1
        value = {'version': self.version}
        for topic in fleet_module.TOPICS:
            self.fleet.write(topic, 'main', value)

    def check_ages(self):
        """Assert that no instance claims to know what it does not know."""
        fleet = self.fleet
        for topic in fleet_module.TOPICS:
            newest = fleet.store.objects[topic]['main'].revision
            written_at = fleet.written[(topic, 'main')]
            found = fleet.get_revisions(topic, 'main')
            for name, core in fleet.cores.items():
                age = core.compute_age(fleet.now, topic)
                if found[name] == newest or age is None:
                    continue
                self.assertLessEqual(
                    fleet.now - age, written_at + TRAVEL_SECONDS, name
                )

    def run_checked(self, seconds):
        until = self.fleet.now + seconds
        while self.fleet.now < until:
            self.fleet.run(STEP_SECONDS)
            self.check_ages()

    def pause(self, name, seconds, change):
        """Pause an instance; change all topics at a share of that time.

        Its socket is full by then: what is sent after that is lost.
        """
        self.fleet.paused = {name}
        self.run_checked(change * seconds)
        self.isolate(name)
        self.write()
        self.run_checked((1.0 - change) * seconds)

    def isolate(self, name):
        self.fleet.cut = lambda one, other: name in (one, other)

    def wake(self, name):
        """Wake it; nothing that is sent from now on reaches it for a while."""
        self.isolate(name)
        self.fleet.paused = set()
        self.run_checked(0.5)
        self.fleet.cut = lambda one, other: False
        self.run_checked(3.0)

    def test_messages_that_waited_confirm_nothing_since(self):
        """Guards against an age that leaves out the receiver's pause."""
        for name in PAUSED:
            for seconds in PAUSES:
                for change in CHANGES:
                    self.pause(name, seconds, change)
                    self.wake(name)

    def test_answers_of_the_store_that_waited_confirm_nothing_since(self):
        """Guards against the same with what the store answered meanwhile."""
        for name in PAUSED:
            self.fleet.paused = {name}
            self.run_checked(0.2)
            # The first change answers its watch, the second does not.
            self.write()
            self.run_checked(3.0)
            self.isolate(name)
            self.write()
            self.run_checked(0.2)
            self.wake(name)
            found = self.fleet.get_revisions('routes', 'main')
            self.assertEqual(1, len(set(found.values())))
