"""Settings of an instance's headroom and of bulk admission."""

from __future__ import annotations


class RoomSettings:
    """Limits for an instance's link and for bulk traffic on it.

    :param link_share: the share of the link's rate from which on it counts as
        full: traffic above it is queued or lost.
    :param link_seconds: time constant of the averaged share; shorter than the
        time after which callers retransmit unanswered packets.
    :param loss_share: the share of lost probes to live upstreams from which on
        a missing answer proves nothing about an upstream.
    :param loss_seconds: time constant of the averaged loss.
    :param false_share: the accepted probability that losses of this instance
        alone make a live upstream look dead, per suspected upstream.
    :param most_tries: the largest number of failed probes in a row that may
        be required for that; if more are needed, they prove nothing.
    :param bulk_seconds: a route is bulk if one of its requests occupies the
        link for longer, on average; traffic behind it is delayed as much.
    :param bulk_share: the largest share of the link's rate for bulk; it gets
        less while all traffic exceeds ``link_share``. 0 admits bulk like any
        other traffic.
    :param bulk_least_share: the share that bulk gets whatever the other load.
    :param queue_seconds: the link time of all bulk bytes in flight at once,
        which delays other traffic. Shorter than the 0.2 s after which callers
        retransmit unacknowledged packets.
    :param window_bytes: the bytes that a caller sends before it needs an
        acknowledgement: 16 packets of 1,200 bytes.
    :param wait_share: the part of its route's target response time that the
        first packet of a bulk flow may wait for admission.
    :param wait_seconds: the longest wait in any case. A caller gives up after
        1.4 s, and an admitted flow still has to be opened.
    :param wait_limit: the number of first packets that may wait at once.
    """

    __slots__ = (
        'bulk_least_share',
        'bulk_seconds',
        'bulk_share',
        'false_share',
        'link_seconds',
        'link_share',
        'loss_seconds',
        'loss_share',
        'most_tries',
        'queue_seconds',
        'wait_limit',
        'wait_seconds',
        'wait_share',
        'window_bytes',
    )

    def __init__(
        self,
        link_share: float = 0.8,
        link_seconds: float = 0.2,
        loss_share: float = 0.2,
        loss_seconds: float = 1.0,
        false_share: float = 1e-4,
        most_tries: int = 6,
        bulk_seconds: float = 0.005,
        bulk_share: float = 0.7,
        bulk_least_share: float = 0.1,
        queue_seconds: float = 0.1,
        window_bytes: int = 19200,
        wait_share: float = 0.4,
        wait_seconds: float = 0.6,
        wait_limit: int = 64,
    ) -> None:
        self.link_share = link_share
        self.link_seconds = link_seconds
        self.loss_share = loss_share
        self.loss_seconds = loss_seconds
        self.false_share = false_share
        self.most_tries = most_tries
        self.bulk_seconds = bulk_seconds
        self.bulk_share = bulk_share
        self.bulk_least_share = bulk_least_share
        self.queue_seconds = queue_seconds
        self.window_bytes = window_bytes
        self.wait_share = wait_share
        self.wait_seconds = wait_seconds
        self.wait_limit = wait_limit
