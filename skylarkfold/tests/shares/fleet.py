"""Deciders that share callers' flows by chance, and hear one another late."""

import random

from skylarkfold import shares

SERVICE = 7
WORK_SECONDS = 0.05
STEP_SECONDS = 0.2
# Of a zone's ring, those beside an instance.
RING = (-2, -1, 1, 2)


def name_caller(number):
    """Make a caller's packed address."""
    return bytes((192, 0, 2, number))


class Decider:
    """One instance with the words that are on their way to it."""

    def __init__(self, name, zone, settings):
        self.name = name
        self.zone = zone
        self.mates = []
        self.core = shares.CallerShares(settings)
        self.coming = []

    def hear(self, now):
        """Take the words that have arrived."""
        while self.coming and self.coming[0][0] <= now:
            _, sent_at, source, is_zone, word = self.coming.pop(0)
            age = now - sent_at if is_zone else 0.0
            self.core.handle_report(now, source, is_zone, age, word)


class Fleet:
    """Some deciders in zones of equal size.

    Callers belong to a zone, as routers see them.
    """

    def __init__(self, count, zones=1, slots=120.0, delay=0.2, **fields):
        self.random = random.Random(11)
        self.slots = slots
        self.delay = delay
        self.now = 0.0
        settings = shares.SharesSettings(True, **fields)
        self.deciders = [
            Decider(f'n-{number}', number % zones, settings)
            for number in range(count)
        ]
        self.zones = [
            [each for each in self.deciders if each.zone == zone]
            for zone in range(zones)
        ]
        for zone in self.zones:
            for place, each in enumerate(zone):
                near = {(place + step) % len(zone) for step in RING}
                each.mates = [zone[at] for at in sorted(near - {place})]
        self.lost = set()
        self.is_cut = False
        self.words = 0
        self.bytes = 0

    def play(self, seconds, demands, priorities=None):
        """Let callers ask for slots; tell what they were given.

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
                if self._ask(at, number, priority):
                    given[number] += WORK_SECONDS
            self.now += STEP_SECONDS
            self._tell()
        return {number: each / seconds for number, each in given.items()}

    def _draw_flows(self, slots):
        expected = slots * STEP_SECONDS / WORK_SECONDS
        return int(expected + self.random.random())

    def _ask(self, at, number, priority):
        zone = self.zones[number % len(self.zones)]
        core = self.random.choice(zone).core
        caller = name_caller(number)
        core.note(at, SERVICE, priority, caller, WORK_SECONDS)
        over = core.check_share(at, SERVICE, priority, caller)
        return over is None or not over.refuses(self.random.getrandbits(64))

    def _tell(self):
        for each in self.deciders:
            each.hear(self.now)
            zone = len(self.zones[each.zone])
            each.core.refresh(
                self.now,
                {SERVICE: shares.Capacity(self.slots)},
                shares.FleetSize(zone - 1, len(self.zones)),
            )
            if each.name in self.lost:
                continue
            if each.core.demand:
                for mate in each.mates:
                    self._send(each, mate, each.name, False, each.core.demand)
        for zone in self.zones:
            teller = zone[0]
            is_mute = self.is_cut or teller.name in self.lost
            if not teller.core.zone_demand or is_mute:
                continue
            for each in self.deciders:
                if each.zone != teller.zone:
                    word = teller.core.zone_demand
                    self._send(teller, each, f'z-{teller.zone}', True, word)

    def _send(self, teller, each, source, is_zone, word):
        self.words += 1
        self.bytes += len(word)
        due = self.now + self.delay
        each.coming.append((due, self.now, source, is_zone, word))
