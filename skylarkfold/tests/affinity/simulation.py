"""Simulation of instances that place short flows on unequal upstreams.

Each instance uses the production code for placement and learning; reports
between instances are summed and arrive late. There is no network, only a
virtual clock.
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
LONG_FACTOR = 7.0
SLOTS = 2
MEAN_SECONDS = WORK_SECONDS * (1 + LONG_SHARE * (LONG_FACTOR - 1))


class SimulatedInstance:
    """The state of one instance."""

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
        """Handle the answer of a flow's request, which ends the flow."""
        chosen.flows -= 1
        chosen.change_busy(now, -1)
        self.admission.record(
            now, chosen, samples.ADDRESS, requests_ahead, seconds
        )

    def report(self, now):
        """List the report for peers, in the order of the upstreams."""
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

    def handle_reports(self, report_interval_seconds, total, own):
        """Apply the sum of all reports without this instance's own."""
        self.directory.record_report_interval(report_interval_seconds)
        for each, sums, own_value in zip(self.states, total, own):
            flows, busy, answers, slowness = (
                one - other for one, other in zip(sums, own_value)
            )
            each.remote_flows = flows
            each.remote_busy = max(0.0, busy)
            each.remote_answers = max(0.0, answers)
            each.remote_slowness = slowness


class SimulatedFleet:
    """The simulated instances and upstreams.

    :param count: the number of instances.
    :param speeds: the speed of each upstream.
    :param report_age_seconds: the age of a report when the next one arrives;
        half of it is its delay, as between zones.
    :param share: the load as a share of the capacity of all upstreams.
    :param reports: false reports on the upstreams that replace those of the
        first instance.
    """

    def __init__(
        self,
        count,
        speeds,
        report_age_seconds,
        share,
        seed=1,
        reports=None,
        **settings,
    ):
        self.now = 0.0
        self.speeds = list(speeds)
        self._draw = random.Random(f'deciders {seed}')
        limits = affinity.AffinitySettings(**settings)
        entries = [
            samples.build_upstream(number + 1, slots=SLOTS)
            for number in range(len(self.speeds))
        ]
        self.instances = [
            SimulatedInstance(entries, limits) for _ in range(count)
        ]
        self._report_age_seconds = report_age_seconds
        self._false_report = reports
        self._pause = MEAN_SECONDS / (share * SLOTS * sum(self.speeds))
        self._free_at = [[0.0] * SLOTS for _ in self.speeds]
        self._order = itertools.count()
        self._due = []
        self._call(0.0, self._arrive)
        self._call(0.0, self._report)
        self.waits = [[] for _ in self.speeds]

    def run(self, until):
        """Run until a time, recording the waits of each upstream anew."""
        self.waits = [[] for _ in self.speeds]
        while self._due and self._due[0][0] <= until:
            self.now, _, act, args = heapq.heappop(self._due)
            act(*args)
        self.now = until

    def list_speeds(self):
        """List the speeds as estimated by the last instance."""
        return [each.speed for each in self.instances[-1].states]

    def compute_wait(self):
        """Compute the mean time until a new request would be done."""
        return sum(map(sum, self.waits)) / sum(map(len, self.waits))

    def _call(self, at, act, *args):
        heapq.heappush(self._due, (at, next(self._order), act, args))

    def _arrive(self):
        now = self.now
        self._call(now + self._draw.expovariate(1 / self._pause), self._arrive)
        instance = self._draw.choice(self.instances)
        chosen, requests_ahead = instance.place(
            now, self._draw.getrandbits(64)
        )
        place = chosen.upstream.number - 1
        work = WORK_SECONDS * self._draw.lognormvariate(-(SIGMA**2) / 2, SIGMA)
        if self._draw.random() < LONG_SHARE:
            work *= LONG_FACTOR
        free_at = self._free_at[place]
        slot = free_at.index(min(free_at))
        begun = max(now, free_at[slot])
        free_at[slot] = begun + work / self.speeds[place]
        seconds = free_at[slot] - now
        answer = instance.handle_answer
        at = free_at[slot]
        self._call(at, self._answer, answer, chosen, requests_ahead, seconds)

    def _answer(self, answer, chosen, requests_ahead, seconds):
        answer(self.now, chosen, requests_ahead, seconds)

    def _report(self):
        now = self.now
        self._call(now + self._report_age_seconds / 2, self._report)
        reports = [each.report(now) for each in self.instances]
        if self._false_report is not None:
            reports[0] = self._false_report
        total = [
            [sum(values) for values in zip(*columns)]
            for columns in zip(*reports)
        ]
        for each, own in zip(self.instances, reports):
            late = now + self._report_age_seconds / 2
            self._call(
                late,
                each.handle_reports,
                self._report_age_seconds / 2,
                total,
                own,
            )
            each.admission.refresh(now)
        for waits, free_at, speed in zip(
            self.waits, self._free_at, self.speeds
        ):
            # The time until another request would be done, at the usual speed.
            queued = max(0.0, min(free_at) - now)
            waits.append(queued + MEAN_SECONDS / speed)
