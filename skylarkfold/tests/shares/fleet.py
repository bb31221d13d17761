"""Simulated instances that share flows at random, with delayed reports."""

import random

from skylarkfold import shares

SERVICE = 7
WORK_SECONDS = 0.05
STEP_SECONDS = 0.2
# Offsets of an instance's neighbours on the ring of its zone.
RING = (-2, -1, 1, 2)


def name_caller(number):
    """Make a caller's packed address."""
    return bytes((192, 0, 2, number))


class SimulatedInstance:
    """One instance with the reports in transit to it."""

    def __init__(self, name, zone, settings):
        self.name = name
        self.zone = zone
        self.mates = []
        self.core = shares.CallerShares(settings)
        self.in_transit = []

    def receive_reports(self, now):
        """Handle the reports that have arrived."""
        while self.in_transit and self.in_transit[0][0] <= now:
            _, sent_at, source, is_zone, report = self.in_transit.pop(0)
            age = now - sent_at if is_zone else 0.0
            self.core.handle_report(now, source, is_zone, age, report)


class Fleet:
    """Simulated instances in zones of equal size.

    Callers belong to a zone, as routers see them.
    """

    def __init__(self, count, zones=1, slots=120.0, delay=0.2, **fields):
        self.random = random.Random(11)
        self.slots = slots
        self.delay = delay
        self.now = 0.0
        settings = shares.SharesSettings(True, **fields)
        self.instances = [
            SimulatedInstance(f'n-{number}', number % zones, settings)
            for number in range(count)
        ]
        self.zones = [
            [each for each in self.instances if each.zone == zone]
            for zone in range(zones)
        ]
        for zone in self.zones:
            for place, each in enumerate(zone):
                near = {(place + step) % len(zone) for step in RING}
                each.mates = [zone[at] for at in sorted(near - {place})]
        self.muted = set()
        self.is_partitioned = False
        self.report_count = 0
        self.report_bytes = 0

    def run_load(self, seconds, demands, priorities=None):
        """Simulate the demands of callers; return what was admitted.

        :param seconds: for how long.
        :param demands: slots by the caller's number.
        :returns: slots that were admitted, by the caller's number.
        """
        given = dict.fromkeys(demands, 0.0)
        steps = round(seconds / STEP_SECONDS)
        for _ in range(steps):
            arrivals = [
                (self.now + STEP_SECONDS * self.random.random(), number)
                for number, slots in demands.items()
                for _ in range(self._draw_flows(slots))
            ]
            for at, number in sorted(arrivals):
                priority = (priorities or {}).get(number, 0)
                if self._request(at, number, priority):
                    given[number] += WORK_SECONDS
            self.now += STEP_SECONDS
            self._exchange_reports()
        return {number: each / seconds for number, each in given.items()}

    def _draw_flows(self, slots):
        expected = slots * STEP_SECONDS / WORK_SECONDS
        return int(expected + self.random.random())

    def _request(self, at, number, priority):
        zone = self.zones[number % len(self.zones)]
        core = self.random.choice(zone).core
        caller = name_caller(number)
        core.note(at, SERVICE, priority, caller, WORK_SECONDS)
        over = core.check_share(at, SERVICE, priority, caller)
        return over is None or not over.refuses(self.random.getrandbits(64))

    def _exchange_reports(self):
        for each in self.instances:
            each.receive_reports(self.now)
            zone = len(self.zones[each.zone])
            each.core.refresh(
                self.now,
                {SERVICE: shares.Capacity(self.slots)},
                shares.FleetSize(zone - 1, len(self.zones)),
            )
            if each.name in self.muted:
                continue
            if each.core.demand:
                for mate in each.mates:
                    self._send(each, mate, each.name, False, each.core.demand)
        for zone in self.zones:
            reporter = zone[0]
            is_silent = self.is_partitioned or reporter.name in self.muted
            if not reporter.core.zone_demand or is_silent:
                continue
            for each in self.instances:
                if each.zone != reporter.zone:
                    report = reporter.core.zone_demand
                    self._send(
                        reporter, each, f'z-{reporter.zone}', True, report
                    )

    def _send(self, reporter, each, source, is_zone, report):
        self.report_count += 1
        self.report_bytes += len(report)
        due = self.now + self.delay
        each.in_transit.append((due, self.now, source, is_zone, report))
