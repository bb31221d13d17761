"""Settings of the relay."""

from __future__ import annotations


class RelaySettings:
    """How what the platform's store holds reaches every instance.

    :param topics: the kinds of objects that are kept, each with a
        position of its own; in the same order on all instances.
    :param shared_topics: those of the topics that change seldom and may take
        ``wait_seconds`` and ``substitute_seconds`` in a fault: the whole
        fleet has one set of watchers for them instead of one in each zone,
        which saves two of three calls in three zones.
    :param watchers: how many instances of a zone watch the store.
    :param lasting_topics: those of the topics that operators write, which may
        take ``lasting_seconds`` to be written again.
    :param rewrite_seconds: after the store has come back from an older copy,
        how long it may lack what its writers still have: entries are written
        again within two seconds, and heard of within half of one more.
    :param lasting_seconds: the same for ``lasting_topics``: as long as a
        configuration may take on a platform that was disturbed.
    :param wait_seconds: how long the store may hold a watch. A watch that
        says nothing proves nothing, so this bounds how old the view of a
        watcher may be; changes must be in force after 3 s.
    :param call_timeout_seconds: how long to wait for a listing. The store
        answers in 4 ms; 60 times as long when it is slow, and a listing
        comes in pages of up to 1 MB.
    :param overdue_seconds: how long to wait for a watch beyond the time
        that the store may hold it: twice what a slow store takes. An open
        connection may fall silent for good without an end, which only this
        shows; together with ``wait_seconds`` and a pause it stays below
        the 4 s after which the platform counts such a fault as over.
    :param gather_seconds: the pause before a watch that brought changes
        is renewed, so that a burst of them costs few calls.
    :param least_backoff_seconds: the first pause after a failed call.
    :param most_backoff_seconds: the longest pause between failed calls.
    :param tombstones: how many deletions of a topic are remembered.
    :param beacon_seconds: how often neighbours are told the positions. An
        instance that missed a change finds out after so long.
    :param far_seconds: the same towards other zones, whose bytes are dear;
        changes are told at once.
    :param slow_seconds: how often names and the loads of zones are added.
    :param load_entries: upstreams in one report of loads at most, the
        busiest first: 256 take 2 KB, which one datagram carries.
    :param load_bytes_per_second: what each of three kinds of reports may cost
        an instance: its own load and those of other zones, told within its
        zone, and its zone's, told to others. They come less often where
        they are large. With 3 KB at rest that is 10.5 KB a second.
    :param caller_bytes_per_second: what telling of callers may cost while a
        service is short of room; words come less often where they are large.
    :param caller_word_seconds: how long what other zones say of callers is
        passed on.
    :param first_seconds: how long a new instance waits for a peer to
        answer before it asks the store; peers answer within 10 ms.
    :param duty_seconds: after its start, how long an instance watches nothing:
        who has that duty is not known before lost seeds were tried again, and
        all of a fleet that starts at once would take it.
    :param seed_seconds: how often seeds that nobody known has are tried,
        and instances of zones that were lost.
    :param seed_members: an instance that knows more instances than this
        tries them every ``seed_pause_seconds`` only. At 600 instances seeds
        sent 19 KB a second without it, seven times the mean.
    :param seed_pause_seconds: since each does so at another moment, two
        halves of a fleet that forgot each other meet again far sooner.
    :param silence_seconds: a neighbour silent for so long has no duties:
        three far beacons lost in a row.
    :param hearsay_seconds: the same for instances that are only heard of
        through others, who tell once a second how long ago all of a zone
        were heard: 6.5 s at most in zones of 60.
    :param forget_seconds: instances silent for so long are forgotten.
    :param substitute_seconds: beyond ``wait_seconds``, how old the view
        may become before others than the watchers watch as well.
    :param serve_bytes_per_second: what an instance spends on whole topics for
        those that start, so that one that all ask has a link left for its
        callers; 0 for no bound.
    :param busy_seconds: how long an instance that starts waits on average for
        other peers once one was too busy for it, before it asks the store.
    :param fetch_seconds: a peer that does not answer a fetch for so long
        is passed over.
    :param push_bytes: changes up to this size travel with the beacon;
        larger ones are fetched. One packet on any link.
    :param rotation_seconds: how long after its first beacon a peer is
        taken to be in rotation: its start, and a readiness check, of
        which there are two a second.
    :param pause_seconds: a longer time between two ticks means that the
        process stood still and what it knows may be old.
    """

    __slots__ = (
        'beacon_seconds',
        'busy_seconds',
        'call_timeout_seconds',
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
