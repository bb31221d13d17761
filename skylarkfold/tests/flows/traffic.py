"""Simulated callers whose datagrams reach random instances."""

import random

from skylarkfold.tests.flows import cluster as cluster_module


class Traffic:
    """Flows that send at random times to random instances.

    :param cluster: the cluster.
    :param period: the mean time between two datagrams of a flow.
    :param has_marks: whether first datagrams are marked.
    :param seed: the seed of the random choices.
    """

    def __init__(self, cluster, period=2.0, has_marks=True, seed=1):
        self.cluster = cluster
        self.period = period
        self.has_marks = has_marks
        self.random = random.Random(seed)
        self.first_upstreams = {}
        self.started_at = {}
        self.broken = {}
        self.forwarded_seen = 0
        self.receivers = None

    def begin(self, count, within_seconds=1.0, mean_life_seconds=10000.0):
        """Start flows at random times within a period."""
        base = len(self.started_at)
        for number in range(base, base + count):
            caller = cluster_module.build_caller(number)
            delay = self.random.random() * within_seconds
            self.started_at[caller] = self.cluster.now + delay
            length = self.random.expovariate(1 / mean_life_seconds)
            end = self.cluster.now + delay + length
            self.cluster.schedule(delay, self.send, '', caller, True, end)

    def send(self, name, caller, is_first, end):
        """Send a datagram of a flow and schedule the next one."""
        if self.cluster.now > end:
            return
        names = self.receivers or sorted(self.cluster.cores)
        mark = is_first if self.has_marks else None
        self.cluster.deliver_datagram(self.random.choice(names), caller, mark)
        delay = self.random.uniform(0.2, 1.8) * self.period
        self.cluster.schedule(delay, self.send, '', caller, False, end)

    def run(self, seconds):
        """Advance the time and return the flows broken meanwhile."""
        self.cluster.run(seconds)
        broken = {}
        for name, each in self.cluster.forwarded[self.forwarded_seen :]:
            first = self.first_upstreams.setdefault(
                each.caller, each.upstream.name
            )
            if first != each.upstream.name:
                broken.setdefault(
                    each.caller,
                    (first, each.upstream.name, name, each.reason.value),
                )
        self.forwarded_seen = len(self.cluster.forwarded)
        self.broken.update(broken)
        return broken
