"""Settings of the relay."""

from __future__ import annotations


class RelaySettings:
    """Settings for replicating the platform's store to every instance.

    :param topics: the replicated kinds of objects, each with a position of
        its own; in the same order on all instances.
    :param change_seconds: the time within which a change must be in force on
        every instance that reaches the store. The ages at which instances
        call the store are derived from it.
    :param shared_topics: topics with one set of watchers for the whole fleet
        instead of one in each zone, which saves calls to the store.
    :param lasting_topics: topics that operators write; after the store was
        restored, lost objects of them are retained for ``lasting_seconds``.
    :param rewrite_seconds: how long objects that a restored store has lost
        are retained, until their writers write them again: upstreams do so
        within two seconds, and the change arrives within half a second.
    :param lasting_seconds: the same for ``lasting_topics``: the longest time
        to apply a configuration while the platform recovers from a fault.
    :param watchers: how many instances of a zone watch the store.
    :param wait_seconds: how long the store may hold a watch; less where
        ``change_seconds`` needs it, since only an answer confirms that nothing
        has changed.
    :param call_timeout_seconds: the timeout of a listing. The store answers
        in 4 ms, a slow one in 60 times as long, and a page may have 1 MB.
    :param overdue_seconds: the timeout of a watch beyond the time that the
        store may hold it: twice the answer time of a slow store. It detects
        connections that hang without being closed. Together with
        ``wait_seconds`` and a pause it stays below the 4 s after which the
        platform counts such a fault as over.
    :param gather_seconds: the pause before a watch that returned changes is
        renewed, so that a burst of changes costs few calls.
    :param least_backoff_seconds: the first pause after a failed call.
    :param most_backoff_seconds: the longest pause after a failed call.
    :param tombstones: how many deletions of a topic are remembered.
    :param beacon_seconds: the interval of beacons within a zone, after which
        an instance that missed a change detects it.
    :param far_seconds: the interval of beacons to other zones, to which
        traffic is expensive; changes are sent at once.
    :param slow_seconds: the interval at which beacons also hold known
        instances and the loads of zones.
    :param load_entries: the maximum number of upstreams in a load report, the
        busiest first: 256 take 2 KB, which fits into one datagram.
    :param load_bytes_per_second: the budget of an instance for each of three
        kinds of load reports: its own load and those of other zones, sent
        within its zone, and its zone's load, sent to other zones. Large
        reports are sent less often.
    :param caller_bytes_per_second: the budget for reports on callers' demand
        while a service is short of capacity. Large reports are sent less
        often.
    :param caller_word_seconds: how long the callers' demand in other zones is
        passed on within a zone.
    :param first_seconds: how long a new instance waits for an answer of a
        peer, which takes 10 ms, before it calls the store.
    :param duty_seconds: how long a new instance doesn't watch the store. Until
        it has contacted all seeds it can't tell its rank, and all instances of
        a fleet that starts at once would watch.
    :param seed_seconds: the interval at which unreachable seeds and instances
        of unreachable zones are contacted.
    :param seed_members: an instance that knows more instances than this
        contacts seeds every ``seed_pause_seconds`` instead. Otherwise each
        seed of 600 instances sends 19 KB/s, seven times the mean.
    :param seed_pause_seconds: the average interval in such a fleet. Instances
        do so at different times, so that two parts of a fleet that have
        forgotten each other reconnect far sooner.
    :param silence_seconds: after this time without a beacon a neighbour is
        unreachable: three beacons from another zone lost in a row.
    :param hearsay_seconds: the same for instances that aren't neighbours.
        Instances of a zone exchange the ages of all once a second, which keeps
        them below 6.5 s in zones of 60.
    :param forget_seconds: after this time without a beacon an instance is
        dropped from the table.
    :param substitute_seconds: how old the last answer of the store may become
        beyond the interval between answers before instances substitute for the
        watchers; less where ``change_seconds`` needs it.
    :param serve_bytes_per_second: the budget of an instance for snapshots, so
        that one that is asked by all new instances has bandwidth left for its
        callers; 0 for no limit.
    :param busy_seconds: how long a new instance waits on average for other
        peers after a failed fetch before it calls the store.
    :param fetch_seconds: the timeout of a fetch.
    :param push_bytes: changes up to this size, which fits into one packet, are
        sent in the beacon; larger ones are fetched.
    :param rotation_seconds: how long after its first beacon a peer is assumed
        to be in rotation: its start and the next readiness check, of which
        there are two a second.
    :param pause_seconds: a longer time between two ticks means that the
        process was paused and its state may be stale.
    """

    __slots__ = (
        'beacon_seconds',
        'busy_seconds',
        'call_timeout_seconds',
        'change_seconds',
        'duty_seconds',
        'far_seconds',
        'fetch_seconds',
        'first_seconds',
        'forget_seconds',
        'gather_seconds',
        'hearsay_seconds',
        'lasting_seconds',
        'lasting_topics',
        'least_backoff_seconds',
        'caller_bytes_per_second',
        'caller_word_seconds',
        'load_bytes_per_second',
        'load_entries',
        'most_backoff_seconds',
        'overdue_seconds',
        'pause_seconds',
        'push_bytes',
        'rewrite_seconds',
        'rotation_seconds',
        'seed_members',
        'seed_pause_seconds',
        'seed_seconds',
        'serve_bytes_per_second',
        'shared_topics',
        'silence_seconds',
        'slow_seconds',
        'substitute_seconds',
        'tombstones',
        'topics',
        'wait_seconds',
        'watchers',
    )

    def __init__(
        self,
        topics: tuple[str, ...] = (),
        change_seconds: float = 3.0,
        shared_topics: tuple[str, ...] = (),
        lasting_topics: tuple[str, ...] = (),
        rewrite_seconds: float = 2.5,
        lasting_seconds: float = 15.0,
        watchers: int = 1,
        wait_seconds: float = 3.0,
        call_timeout_seconds: float = 1.0,
        overdue_seconds: float = 0.5,
        gather_seconds: float = 0.2,
        least_backoff_seconds: float = 0.1,
        most_backoff_seconds: float = 1.0,
        tombstones: int = 2000,
        beacon_seconds: float = 0.2,
        far_seconds: float = 0.4,
        slow_seconds: float = 1.0,
        load_entries: int = 256,
        load_bytes_per_second: float = 2500.0,
        caller_bytes_per_second: float = 600.0,
        caller_word_seconds: float = 2.5,
        first_seconds: float = 0.015,
        duty_seconds: float = 1.2,
        seed_seconds: float = 1.0,
        seed_members: int = 12,
        seed_pause_seconds: float = 30.0,
        silence_seconds: float = 1.2,
        hearsay_seconds: float = 10.0,
        forget_seconds: float = 30.0,
        substitute_seconds: float = 1.0,
        serve_bytes_per_second: float = 0.0,
        busy_seconds: float = 0.4,
        fetch_seconds: float = 0.5,
        push_bytes: int = 1000,
        rotation_seconds: float = 0.7,
        pause_seconds: float = 0.8,
    ) -> None:
        self.topics = topics
        self.change_seconds = change_seconds
        self.shared_topics = shared_topics
        self.lasting_topics = lasting_topics
        self.rewrite_seconds = rewrite_seconds
        self.lasting_seconds = lasting_seconds
        self.watchers = watchers
        self.wait_seconds = wait_seconds
        self.call_timeout_seconds = call_timeout_seconds
        self.overdue_seconds = overdue_seconds
        self.gather_seconds = gather_seconds
        self.least_backoff_seconds = least_backoff_seconds
        self.most_backoff_seconds = most_backoff_seconds
        self.tombstones = tombstones
        self.beacon_seconds = beacon_seconds
        self.far_seconds = far_seconds
        self.slow_seconds = slow_seconds
        self.load_entries = load_entries
        self.load_bytes_per_second = load_bytes_per_second
        self.caller_bytes_per_second = caller_bytes_per_second
        self.caller_word_seconds = caller_word_seconds
        self.first_seconds = first_seconds
        self.duty_seconds = duty_seconds
        self.seed_seconds = seed_seconds
        self.seed_members = seed_members
        self.seed_pause_seconds = seed_pause_seconds
        self.silence_seconds = silence_seconds
        self.hearsay_seconds = hearsay_seconds
        self.forget_seconds = forget_seconds
        self.substitute_seconds = substitute_seconds
        self.serve_bytes_per_second = serve_bytes_per_second
        self.busy_seconds = busy_seconds
        self.fetch_seconds = fetch_seconds
        self.push_bytes = push_bytes
        self.rotation_seconds = rotation_seconds
        self.pause_seconds = pause_seconds
