"""Simulated instances that exchange reports over the real relay."""

import random

from skylarkfold.measure import _relay_fleet
from skylarkfold import relay
from skylarkfold import shares
from skylarkfold.tests.shares import fleet as fleets

WORK_SECONDS = fleets.WORK_SECONDS
# Interval at which the daemon refreshes the shares.
STEP_SECONDS = 0.2


class RelayedFleet(_relay_fleet.Fleet):
    """Callers, each of one zone, and instances that get their flows at random.

    :param zones: the availability zone of each instance.
    :param slots: of the service.
    """

    def __init__(self, zones, slots):
        self.random = random.Random(5)
        self.slots = slots
        self.callers = {}
        self.report_bytes = 0
        super().__init__(zones)
        self.run(6.0)

    def start(self, name, zone, capacity=0):
        settings = shares.SharesSettings(True)
        self.callers[name] = shares.CallerShares(settings)
        super().start(name, zone, capacity)

    def perform(self, name, effects):
        super().perform(name, effects)
        for wanted in effects:
            if isinstance(wanted, relay.CallerDemandReported):
                self.callers[name].handle_report(
                    self.now,
                    wanted.source,
                    wanted.is_zone,
                    wanted.age_seconds,
                    wanted.demand,
                )
            elif isinstance(wanted, relay.SendBeacon):
                self.report_bytes += self.measure(wanted)

    def measure(self, wanted):
        """Return how many bytes of a beacon are reports on callers."""
        beacon = wanted.beacon
        whole = len(relay.encode_beacon(beacon))
        callers, beacon.callers = beacon.callers, None
        rest = len(relay.encode_beacon(beacon))
        beacon.callers = callers
        return (whole - rest) * len(wanted.hosts)

    def run_load(self, seconds, demands):
        """Simulate the demands of callers; return what was admitted."""
        names = sorted(set(self.zones.values()))
        homes = {
            number: [
                name
                for name in self.cores
                if self.zones[name] == names[number % len(names)]
            ]
            for number in demands
        }
        given = dict.fromkeys(demands, 0.0)
        for _ in range(round(seconds / STEP_SECONDS)):
            arrivals = []
            for number, slots in demands.items():
                expected = slots * STEP_SECONDS / WORK_SECONDS
                for _ in range(int(expected + self.random.random())):
                    at = self.now + STEP_SECONDS * self.random.random()
                    arrivals.append((at, number))
            for at, number in sorted(arrivals):
                core = self.callers[self.random.choice(homes[number])]
                caller = fleets.name_caller(number)
                core.note(at, fleets.SERVICE, 0, caller, WORK_SECONDS)
                over = core.check_share(at, fleets.SERVICE, 0, caller)
                drawn = self.random.getrandbits(64)
                if over is None or not over.refuses(drawn):
                    given[number] += WORK_SECONDS
            self.run(STEP_SECONDS)
            self.refresh()
        return {number: each / seconds for number, each in given.items()}

    def refresh(self):
        """Refresh the shares and reports, as the daemon does."""
        for name, core in self.cores.items():
            callers = self.callers[name]
            zones = len(set(self.zones.values()))
            known = shares.FleetSize(core.peers.count_mates(), zones)
            rooms = {fleets.SERVICE: shares.Capacity(self.slots)}
            callers.refresh(self.now, rooms, known)
            reports = core.announcer.callers
            reports.put(callers.demand, callers.zone_demand)
            if callers.other_zones:
                reports.put_other_zones(
                    callers.other_zones_at, callers.other_zones
                )
