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
    """

    __slots__ = (
        'false_share',
        'link_seconds',
        'link_share',
        'loss_seconds',
        'loss_share',
        'most_tries',
    )

    def __init__(
        self,
        link_share: float = 0.8,
        link_seconds: float = 0.2,
        loss_share: float = 0.2,
        loss_seconds: float = 1.0,
        false_share: float = 1e-4,
        most_tries: int = 6,
    ) -> None:
        self.link_share = link_share
        self.link_seconds = link_seconds
        self.loss_share = loss_share
        self.loss_seconds = loss_seconds
        self.false_share = false_share
        self.most_tries = most_tries
