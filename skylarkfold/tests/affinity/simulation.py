"""Instances that place short flows before upstreams of unequal speed.

Each decides with the product's own placement and learning; what they tell
one another is added up and arrives late. No network: one virtual clock.
"""

import heapq
import itertools
import random

from skylarkfold import affinity
from skylarkfold.affinity import _admission
from skylarkfold.affinity import _directory
from skylarkfold.affinity import _load_trust
from skylarkfold.affinity import _placement
from skylarkfold.affinity import _warm_up
from skylarkfold.tests.affinity import samples

WORK_SECONDS = 0.013
SIGMA = 0.5
# One request in thirty takes seven times as long.
LONG_SHARE = 1 / 30
LONG_TIMES = 7.0
SLOTS = 2
MEAN_SECONDS = WORK_SECONDS * (1 + LONG_SHARE * (LONG_TIMES - 1))


class SimulatedInstance:
    """What one instance knows of the upstreams."""

    def __init__(self, entries, settings):
        self.directory = _directory.Directory(settings)
        self.directory.replace(0.0, entries)
        self.admission = _admission.Admission(settings, self.directory)
        self.states = self.directory.list_states(samples.SERVICE)
        self.settings = settings
        self.limit = _warm_up.WarmUpLimiter(samples.ZONE, settings)
        self.load_trust = _load_trust.LoadTrust(
            settings.unseen_trust, self.directory
        )

    def place(self, now, flow_hash):
        """Choose an upstream for a flow of one request."""
        chosen = _placement.choose_upstream(
            now,
            self.states,
            samples.ZONE,
            flow_hash,
            (),
            self.settings,
            self.limit,
            self.load_trust,
        )
        requests_ahead = round(chosen.in_flight)
        chosen.flows += 1
        chosen.change_busy(now, 1)
        return chosen, requests_ahead

    def handle_answer(self, now, chosen, requests_ahead, seconds):
        """Take the answer of a flow's request, which ends it."""
        chosen.flows -= 1
        chosen.change_busy(now, -1)
        self.admission.record(
            now, chosen, samples.ADDRESS, requests_ahead, seconds
        )

    def tell(self, now):
        """List what peers are told, by place of the upstream."""
        return [
            (
                each.flows,
                each.pop_mean_busy(now),
                *(
                    each.answer_statistics.export(now)
                    if each.answer_statistics
                    else (0.0, 0.0)
                ),
            )
            for each in self.states
        ]

    def hear(self, report_interval_seconds, total, own):
        """Take what all told, this one's own word included."""
        self.directory.record_report_interval(report_interval_seconds)
        for each, sums, mine in zip(self.states, total, own):
            flows, busy, answers, slowness = (
                one - other for one, other in zip(sums, mine)
            )
            each.remote_flows = flows
            each.remote_busy = max(0.0, busy)
            each.remote_answers = max(0.0, answers)
            each.remote_slowness = slowness


class SimulatedFleet:
    """Instances and upstreams in play.

    :param count: instances.
    :param speeds: of each upstream.
    :param age_seconds: how old words are at most when the next ones come:
        half of it they are under way, as between zones.
    :param share: of all work that upstreams can do, how much is asked.
    :param told: words of upstreams in place of the first instance's true
        ones, as that of a liar.
    """

    def __init__(
        self, count, speeds, age_seconds, share, seed=1, told=None, **settings
    ):
        self.now = 0.0
        self.speeds = list(speeds)
        self._draw = random.Random(f'deciders {seed}')
        limits = affinity.AffinitySettings(**settings)
        entries = [
            samples.build_upstream(number + 1, slots=SLOTS)
            for number in range(len(self.speeds))
        ]
        self.deciders = [
            SimulatedInstance(entries, limits) for _ in range(count)
        ]
        self._age_seconds = age_seconds
        self._told = told
        self._pause = MEAN_SECONDS / (share * SLOTS * sum(self.speeds))
        self._free_at = [[0.0] * SLOTS for _ in self.speeds]
        self._order = itertools.count()
        self._due = []
        self._call(0.0, self._arrive)
        self._call(0.0, self._tell)
        self.waits = [[] for _ in self.speeds]

    def run(self, until):
        """Play, with the waits of each upstream counted anew."""
        self.waits = [[] for _ in self.speeds]
        while self._due and self._due[0][0] <= until:
            self.now, _, act, args = heapq.heappop(self._due)
            act(*args)
        self.now = until

    def list_known(self):
        """List the speeds that the last instance knows."""
        return [each.speed for each in self.deciders[-1].states]

    def compute_wait(self):
        """Compute how soon a request would be done, on average."""
        return sum(map(sum, self.waits)) / sum(map(len, self.waits))

    def _call(self, at, act, *args):
        heapq.heappush(self._due, (at, next(self._order), act, args))

    def _arrive(self):
        now = self.now
        self._call(now + self._draw.expovariate(1 / self._pause), self._arrive)
        decider = self._draw.choice(self.deciders)
        chosen, requests_ahead = decider.place(now, self._draw.getrandbits(64))
        place = chosen.upstream.number - 1
        work = WORK_SECONDS * self._draw.lognormvariate(-(SIGMA**2) / 2, SIGMA)
        if self._draw.random() < LONG_SHARE:
            work *= LONG_TIMES
        free_at = self._free_at[place]
        slot = free_at.index(min(free_at))
        begun = max(now, free_at[slot])
        free_at[slot] = begun + work / self.speeds[place]
        seconds = free_at[slot] - now
        answer = decider.handle_answer
        at = free_at[slot]
        self._call(at, self._answer, answer, chosen, requests_ahead, seconds)

    def _answer(self, answer, chosen, requests_ahead, seconds):
        answer(self.now, chosen, requests_ahead, seconds)

    def _tell(self):
        now = self.now
        self._call(now + self._age_seconds / 2, self._tell)
        told = [each.tell(now) for each in self.deciders]
        if self._told is not None:
            told[0] = self._told
        total = [
            [sum(values) for values in zip(*words)] for words in zip(*told)
        ]
        for each, own in zip(self.deciders, told):
            late = now + self._age_seconds / 2
            self._call(late, each.hear, self._age_seconds / 2, total, own)
            each.admission.refresh(now)
        for waits, free_at, speed in zip(
            self.waits, self._free_at, self.speeds
        ):
            # Until the next request would be done, in usual work.
            queued = max(0.0, min(free_at) - now)
            waits.append(queued + MEAN_SECONDS / speed)
