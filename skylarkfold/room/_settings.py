"""Settings of an instance's own room."""

from __future__ import annotations


class RoomSettings:
    """When an instance's own link is taken to be short of room.

    :param link_share: from this share of the link's rate on it is full: what
        comes beyond it waits or gets lost.
    :param link_seconds: over about how long the share is taken. Shorter than
        the patience after which callers repeat what is not answered.
    :param loss_share: from this share on, of probes to upstreams that live,
        an instance that gets no answer learns nothing of the others.
    :param loss_seconds: over about how long that share is taken.
    :param false_share: how seldom losses of this instance alone may make a
        living upstream look gone, as a share of those that it doubts.
    :param most_tries: probes in a row that may be needed for that. Where more
        would be, silence proves nothing.
    :param bulk_seconds: a route whose callers bring so much that it takes the
        link for longer is bulk: what comes behind one of its requests would
        be that much later.
    :param bulk_share: of the link's rate, bulk gets so much at most, and less
        while that and all else are above ``link_share``; 0 where bulk is let
        in like all else.
    :param bulk_least_share: so much of it bulk gets whatever else there is.
    :param queue_seconds: how long the link may take for what is on its way of
        all bulk at once: what others wait behind it. Shorter than the 0.2 s
        after which callers repeat what is not acknowledged.
    :param window_bytes: what a caller sends at most before an
        acknowledgement: 16 packets of 1,200 bytes.
    :param wait_share: of its aim, the first packet of a bulk route may wait so
        much to be let in.
    :param wait_seconds: and never longer. A caller gives up after 1.4 s; what
        is let in still has to be opened.
    :param wait_limit: first packets that may wait at once.
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
