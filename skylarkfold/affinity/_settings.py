"""Settings of affinity by token."""

from __future__ import annotations


class AffinitySettings:
    """Limits and timeouts of placement and failure detection.

    :param open_patience_seconds: timeout of a first packet; when its upstream
        has not answered by then, it is sent to another one as well. An answer
        takes 5 to 11 ms within a region; a caller repeats after 200 ms.
    :param open_tries: the most upstreams that one first packet is sent to.
    :param answer_patience_seconds: the minimum timeout of a request; when
        nothing has been heard from its upstream since, the upstream is
        suspected. The timeout adapts to each service: mean plus four
        deviations of its answer times.
    :param longest_patience_seconds: the maximum of that timeout. Callers
        repeat a packet after 0.2 and 0.6 s and give up within a second or two.
    :param longest_wait_seconds: a request that has waited for longer says
        nothing about its upstream.
    :param repeat_seconds: a caller without an answer has repeated its packet
        by then; it does so after 0.2 s.
    :param ask_seconds: how long peers have to report that they heard a
        suspected upstream before it is probed; they answer within 5 ms.
    :param probe_timeout_seconds: how long a probe waits for the connection. It
        takes 3 ms; a lost packet of it costs a second.
    :param probe_tries: consecutive probes that must fail before an upstream is
        declared unreachable: two, so that one lost packet is not enough (0.06%
        of pairs at 2.5% loss).
    :param wide_suspects: when at least this many upstreams of other zones were
        suspected recently, the fault may be on this instance's side.
    :param wide_tries: consecutive probes that must fail in that case. On a
        link that loses three packets in ten, four probes with controls are
        wrong twice in a thousand, two with one control six times in a hundred.
    :param busy_silence_seconds: an upstream with more requests than slots is
        not declared unreachable before it was silent for so long: its accept
        queue may be full, and connection attempts that are dropped are
        repeated after a second.
    :param probe_pause_seconds: the pause between two probes of an upstream
        that answered or is unreachable.
    :param zone_failures: upstreams of another zone that must be unreachable,
        while none of the zone is heard, before all of the zone are suspected.
        A single one is usually a crash; probing the rest of its zone would be
        wasted.
    :param suspect_limit: suspected upstreams beyond which those without a flow
        here are not probed. Without a limit, an instance has 1,990 probes in
        flight when a zone of 1,000 upstreams is lost.
    :param verdict_seconds: how long a failed probe allows resets. Longer than
        the pause, the probe and its timeout together.
    :param full_seconds: an upstream that accepts connections but does not
        answer its callers gets no new flows for so long while others can take
        them.
    :param return_seconds: an upstream that was unreachable is deprioritized
        until so long after it fell silent: its entry lapses after 3.6 s if its
        process has ended and another one has its address.
    :param entry_seconds: how long an entry may outlive the last heartbeat of
        its process, plus how long a first packet may wait for its answer:
        three heartbeats of 1.2 s, a second for the store to remove the entry,
        and 1.4 s until the caller gives up. When an upstream has restarted,
        flows opened longer ago than its earlier entry was last known to exist
        belong to the earlier start.
    :param lapsed_seconds: how long an upstream whose entry has disappeared may
        still get new flows if its service has no other: entries that lapse in
        an outage are back within 2 s.
    :param flow_seconds: the longest lifetime of a flow; an upstream whose
        entry has disappeared is remembered for so long.
    :param active_seconds: a flow without a packet for so long does not count
        for the load of its upstream; callers pause for 1.6 s on average.
    :param flow_limit: the most flows that are tracked; beyond it, a new one is
        forwarded but not tracked. With 600 instances and 4.9 million flows,
        each has 8,167.
    :param load_seconds: how long a peer's load report counts; peers report
        several times a second.
    :param crowd_share: some new flows are refused when the estimated answer
        time exceeds this share of their route's aim. Half of it, since the
        estimate is a median and half of all answers take longer.
    :param crowd_limit: all new flows are refused from this share on.
    :param preferred_share: ``crowd_share`` of the routes that go before
        others: almost the whole aim.
    :param preferred_limit: ``crowd_limit`` of the routes that go before
        others.
    :param length_weight: the largest factor by which the wait of a request
        counts more when it is longer than others of its service, so that short
        requests are preferred under overload; bounded, so that no kind of
        request is starved.
    :param haste_weight: how much an upstream's load is raised, as a share,
        when all of its answers come too early, as those of failures do.
    :param follows_evacuations: whether availability zones may be evacuated
        here; an instance is then not ready before it knows which are.
    :param limits_warm_up: whether the rate of first packets to an upstream
        that warms up is limited.
    :param warm_up_factor: the limit per second as a multiple of what the
        service is configured to handle during its warm-up.
    :param warm_up_slack: added to that limit.
    :param speed_tolerance: an upstream counts as slower or faster than others
        of its service when its answers take longer or less by this share; 0
        disables learning. Upstreams on one machine differ by a tenth.
    :param unseen_trust: how strongly reported loads decide the choice of an
        upstream when as many flows are placed between two reports as an
        upstream has requests in flight; with stale reports, all instances
        would choose the same one. 0 always chooses the least loaded.
    :param choice_sample: of a service with more upstreams than this, a new
        flow is placed among a sample of this size. With 2,400 upstreams,
        reading all takes 3.7 ms, a sample 0.2 ms. With four flows for each
        upstream, the busiest one stays within 1.25 times the mean.
    :param near_tolerance: an upstream in this zone is preferred until its load
        exceeds the mean by this share.
    """

    __slots__ = (
        'active_seconds',
        'ask_seconds',
        'busy_silence_seconds',
        'answer_patience_seconds',
        'choice_sample',
        'crowd_limit',
        'crowd_share',
        'entry_seconds',
        'flow_limit',
        'flow_seconds',
        'follows_evacuations',
        'full_seconds',
        'haste_weight',
        'lapsed_seconds',
        'length_weight',
        'limits_warm_up',
        'load_seconds',
        'longest_patience_seconds',
        'longest_wait_seconds',
        'near_tolerance',
        'open_patience_seconds',
        'open_tries',
        'preferred_limit',
        'preferred_share',
        'probe_pause_seconds',
        'probe_timeout_seconds',
        'probe_tries',
        'repeat_seconds',
        'return_seconds',
        'speed_tolerance',
        'suspect_limit',
        'unseen_trust',
        'verdict_seconds',
        'warm_up_factor',
        'warm_up_slack',
        'wide_suspects',
        'wide_tries',
        'zone_failures',
    )

    def __init__(
        self,
        open_patience_seconds: float = 0.040,
        open_tries: int = 3,
        answer_patience_seconds: float = 0.100,
        longest_patience_seconds: float = 0.6,
        longest_wait_seconds: float = 3.0,
        repeat_seconds: float = 0.25,
        ask_seconds: float = 0.02,
        probe_timeout_seconds: float = 0.1,
        probe_tries: int = 2,
        wide_suspects: int = 2,
        wide_tries: int = 4,
        busy_silence_seconds: float = 1.5,
        probe_pause_seconds: float = 0.4,
        zone_failures: int = 2,
        suspect_limit: int = 32,
        verdict_seconds: float = 1.0,
        full_seconds: float = 0.5,
        return_seconds: float = 4.5,
        entry_seconds: float = 6.0,
        lapsed_seconds: float = 2.5,
        flow_seconds: float = 60.0,
        active_seconds: float = 3.0,
        flow_limit: int = 32768,
        load_seconds: float = 2.5,
        crowd_share: float = 0.5,
        crowd_limit: float = 0.7,
        preferred_share: float = 0.9,
        preferred_limit: float = 1.1,
        length_weight: float = 4.0,
        haste_weight: float = 8.0,
        speed_tolerance: float = 0.15,
        unseen_trust: float = 4.0,
        choice_sample: int = 128,
        near_tolerance: float = 0.1,
        follows_evacuations: bool = False,
        limits_warm_up: bool = False,
        warm_up_factor: float = 1.0,
        warm_up_slack: float = 0.0,
    ) -> None:
        self.open_patience_seconds = open_patience_seconds
        self.open_tries = open_tries
        self.answer_patience_seconds = answer_patience_seconds
        self.longest_patience_seconds = longest_patience_seconds
        self.longest_wait_seconds = longest_wait_seconds
        self.repeat_seconds = repeat_seconds
        self.ask_seconds = ask_seconds
        self.probe_timeout_seconds = probe_timeout_seconds
        self.probe_tries = probe_tries
        self.wide_suspects = wide_suspects
        self.wide_tries = wide_tries
        self.busy_silence_seconds = busy_silence_seconds
        self.probe_pause_seconds = probe_pause_seconds
        self.zone_failures = zone_failures
        self.suspect_limit = suspect_limit
        self.verdict_seconds = verdict_seconds
        self.return_seconds = return_seconds
        self.full_seconds = full_seconds
        self.entry_seconds = entry_seconds
        self.lapsed_seconds = lapsed_seconds
        self.flow_seconds = flow_seconds
        self.active_seconds = active_seconds
        self.flow_limit = flow_limit
        self.load_seconds = load_seconds
        self.crowd_share = crowd_share
        self.crowd_limit = crowd_limit
        self.preferred_share = preferred_share
        self.preferred_limit = preferred_limit
        self.length_weight = length_weight
        self.haste_weight = haste_weight
        self.speed_tolerance = speed_tolerance
        self.unseen_trust = unseen_trust
        self.choice_sample = choice_sample
        self.near_tolerance = near_tolerance
        self.follows_evacuations = follows_evacuations
        self.limits_warm_up = limits_warm_up
        self.warm_up_factor = warm_up_factor
        self.warm_up_slack = warm_up_slack
