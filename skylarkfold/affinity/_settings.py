"""Settings of affinity by token."""

from __future__ import annotations


class AffinitySettings:
    """How flows are placed and when an upstream is taken for gone.

    :param open_patience_seconds: a first packet that its upstream has not
        answered for so long goes to another one as well. An answer takes
        5 to 11 ms within a region; a caller repeats after 200 ms.
    :param open_tries: upstreams that one first packet is sent to at most.
    :param answer_patience_seconds: the least time that a request waits,
        with nothing heard from its upstream since, before the upstream
        is doubted. The patience is learnt for each service: the mean and
        four deviations of its answers.
    :param longest_patience_seconds: the most that it is. Callers repeat a
        packet after 0.2 and 0.6 s and give up within a second or two.
    :param longest_wait_seconds: a request that waits for longer tells
        nothing any more.
    :param repeat_seconds: a caller that is not answered has repeated its
        packet by then; it does so after 0.2 s.
    :param ask_seconds: how long peers have to say that they heard an
        upstream in doubt, before it is probed; they answer within 5 ms.
    :param probe_timeout_seconds: how long a probe waits for the
        connection. It takes 3 ms; a lost packet of it costs a second.
    :param probe_tries: probes in a row that must fail before an upstream
        is taken for out of reach: two, so that one lost packet is no
        verdict (0.06% of pairs at 2.5% loss).
    :param wide_suspects: with so many upstreams of other zones in doubt of
        late, the fault may be on this side.
    :param wide_tries: probes in a row that must fail then. Of a link that
        loses three in ten, four and their controls tell wrong twice in a
        thousand, two and one control six times in a hundred.
    :param busy_silence_seconds: an upstream with more requests than slots is
        not taken for out of reach before it was silent for so long: its
        queue of new connections may be full, and what does not fit is sent
        again after a second.
    :param probe_pause_seconds: the pause between two probes of one
        upstream that answered or is out of reach.
    :param zone_failures: upstreams of another zone that must be out of
        reach, while none of it is heard, before all of them are doubted.
        One is a crash as a rule, and its mates would be probed in vain.
    :param suspect_limit: upstreams in doubt at once beyond which those without
        a flow here are not probed: more than a zone of the users' sites has.
        Without a bound an instance has 1,990 probes under way at once when a
        zone of 1,000 is lost.
    :param verdict_seconds: how long a failed probe allows resets. Longer
        than the pause, the probe and its time-out together.
    :param full_seconds: an upstream that takes connections but does not
        answer its callers is avoided for so long.
    :param return_seconds: one that was out of reach is avoided until so
        long after it fell silent: its entry lapses after 3.6 s if its
        process has ended and another one has its address.
    :param entry_seconds: how long an entry may outlive the last word of its
        process, and a first packet of a flow its placement: three
        heartbeats of 1.2 s, a second for the store to remove it, and the
        1.4 s that a caller waits for an answer to a first packet. Of an
        upstream that has started again, flows opened longer ago than its
        earlier entry was known to stand are those of the earlier start.
    :param lapsed_seconds: how long an upstream whose entry is gone may
        still get new flows where its service has no other: entries that
        lapsed in an outage are back within 2 s.
    :param flow_seconds: the longest life of a flow; an upstream that is
        gone is remembered for so long.
    :param active_seconds: a flow without a packet for so long does not
        count for its upstream's load; callers pause for 1.6 s on average.
    :param flow_limit: flows remembered at most; beyond it a new one is
        forwarded but not watched. 600 instances before 4.9 million flows
        hold 8,167 each.
    :param load_seconds: how long what a peer said of its flows counts; it
        says so several times a second.
    :param crowd_share: from this share of its route's aim on, taken by the
        estimated answer, some new flows are refused. Half: the estimate is
        a median, and half of all answers take longer. 0.3 to 0.6 earn the
        same within 0.01 in the model of heavy load.
    :param crowd_limit: all are refused from this share on.
    :param preferred_share: the same as ``crowd_share`` for routes that go
        before others: almost the whole aim. 0.6 to 2 earn the same within
        0.01.
    :param preferred_limit: all of these are refused from this share on.
    :param length_weight: where not all can be served, a wait counts up to
        so much more for requests that are longer than others of their
        service, so that a slot's time answers several short ones; bounded,
        so that none of its kinds is shut out.
    :param haste_weight: how much more an upstream seems to carry, as a
        share, whose answers all come too soon, as failures do. 2 to 20 earn
        the same within 0.002.
    :param follows_evacuations: whether availability zones may be evacuated
        here; an instance is then not ready before it knows which are.
    :param limits_warm_up: whether first packets to an upstream that warms up
        are bounded.
    :param warm_up_factor: by how much they may exceed, in any second, what
        its service is said to bear then.
    :param warm_up_slack: and how many more they may be.
    :param speed_tolerance: an upstream counts as slower or faster than others
        of its service when its answers take longer or less by this share; 0
        where speeds are not learnt. Those of one machine differ by a tenth.
    :param unseen_trust: how strongly the loads of upstreams decide between
        them when as many flows are placed between two words of peers as an
        upstream has requests at a time, where the least loaded one would be
        chosen by all; 0 where it always is.
    :param choice_sample: of a service with more upstreams than this, a new
        flow is placed among so many of them. Reading all takes 3.7 ms before
        2,400 upstreams, a sample 0.2 ms; the busiest stays within 1.25
        of the mean of four flows each.
    :param near_tolerance: an upstream in this zone is preferred until its
        load is above the mean by this share. In the model, with one of
        three zones calling six times as often, 0.05 to 0.2 earn the same
        within 0.015, 0.5 loses a tenth.
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
