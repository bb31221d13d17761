"""Settings of the flow core."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class FlowSettings:
    """Limits and intervals of the flow core; the same on all instances.

    :param bucket_count: number of buckets in each service's table, a power
        of two.
    :param replica_count: number of instances that hold each pin besides its
        home; flows survive that many simultaneous unplanned deaths.
    :param control_bytes_per_second: byte budget for sending new pins to
        replicas.
    :param hand_on_bytes_per_second: byte budget for handovers of pins and
        for refreshing replicas.
    :param note_seconds: minimum time between two batches of new pins.
    :param note_limit: maximum number of new pins waiting to be sent; beyond
        it new flows go to their bucket's unpinned upstream if possible.
    :param propagation_seconds: time after which a table counts as applied on
        instances that have not confirmed it.
    :param proposal_seconds: minimum time between two proposals for a
        service.
    :param backup_seconds: additional time that each lower ranked proposer
        waits before it proposes a due change.
    :param settle_seconds: maximum time that a new holder of a slot asks the
        former holders about unknown flows.
    :param hop_limit: maximum number of instances that a datagram may pass
        through.
    :param hold_count: maximum number of buffered datagrams.
    :param hold_bytes: maximum payload bytes of buffered datagrams.
    :param hold_seconds: maximum time that a datagram is buffered.
    :param flow_limit: maximum number of pins on one instance.
    :param cache_limit: maximum number of cached answers of other instances.
    :param cache_request_count: number of redirected datagrams of a flow
        within ``cache_request_seconds`` from which the flow's upstream is
        requested for the cache.
    :param cache_request_seconds: see ``cache_request_count``.
    :param continuity_open_share: maximum share of buckets that may move, or
        place new flows by load, at the same time, for services that prefer
        continuity.
    :param balance_open_share: the same for services that prefer balance.
    :param balance_free_share: minimum share of buckets that place new flows
        by load, for services that prefer balance.
    :param continuity_imbalance: highest load divided by mean load above
        which more buckets place new flows by load, for services that prefer
        continuity.
    :param balance_imbalance: the same for services that prefer balance.
    :param free_step_share: share of buckets by which the number of buckets
        that place by load changes in one step.
    :param free_step_seconds: minimum time between two such steps.
    :param placement_margin: relative excess over the lowest load up to which
        the unpinned upstream still gets a new flow.
    :param load_stale_seconds: age from which a load report is ignored.
    :param unreachable_seconds: time for which an upstream that this instance
        failed to reach gets no new flows.
    :param dead_seconds: time for which an upstream must be reported
        unreachable before its flows are reassigned.
    :param cold_ramp_seconds: duration of the slow start of a new upstream.
    :param stop_seconds: maximum duration of the handovers of a planned stop.
    :param stop_linger_seconds: minimum duration of a planned stop, in which
        the other instances learn of it.
    """

    bucket_count: int = 1024
    replica_count: int = 2
    control_bytes_per_second: int = 1500
    hand_on_bytes_per_second: int = 8000
    note_seconds: float = 0.2
    note_limit: int = 256
    propagation_seconds: float = 13.0
    proposal_seconds: float = 0.5
    backup_seconds: float = 3.0
    settle_seconds: float = 30.0
    hop_limit: int = 6
    hold_count: int = 1024
    hold_bytes: int = 1024 * 1024
    hold_seconds: float = 1.0
    flow_limit: int = 1_000_000
    cache_limit: int = 100_000
    cache_request_count: int = 8
    cache_request_seconds: float = 5.0
    continuity_open_share: float = 0.25
    balance_open_share: float = 0.5
    balance_free_share: float = 0.25
    continuity_imbalance: float = 1.08
    balance_imbalance: float = 1.04
    free_step_share: float = 0.1
    free_step_seconds: float = 6.0
    placement_margin: float = 0.02
    load_stale_seconds: float = 10.0
    unreachable_seconds: float = 5.0
    dead_seconds: float = 3.0
    cold_ramp_seconds: float = 10.0
    stop_seconds: float = 30.0
    stop_linger_seconds: float = 3.0
