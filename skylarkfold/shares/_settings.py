"""Settings of the callers' shares."""

from __future__ import annotations

from skylarkfold.shares import _network


class SharesSettings:
    """Whether and how callers' shares are kept.

    :param is_enforced: whether new flows beyond a caller's share are refused.
    :param callers: callers counted one by one, the heaviest; what the others
        ask for is counted in total.
    :param told_callers: of these, how many a word to peers holds at most.
    :param window_seconds: time constant of the decay of what was counted; of
        a change 0.81 are seen after half a second, when peers must know.
    :param word_seconds: how long a peer's word counts; it comes several times
        a second.
    :param short_share: a service is short of room once it is asked for more
        than this share of its slots: random arrivals queue from there on.
    :param filled_share: up to which share of its slots it is filled then.
        The rest keeps the queue short for those within their share.
    :param joined_share: from this share of its slots on, an instance tells
        what it counts; lower than ``short_share``, so that all tell once
        one of them sees a shortage.
    :param certainty: by how many standard deviations of what was sampled a
        caller must be above its share before it is refused.
    :param weights: by network, how much more of a share than others a caller
        has; 1 where nothing is said.
    :param caps_per_second: by network, the largest share of a caller, in
        requests a second of a service that is short.
    """

    __slots__ = (
        'callers',
        'caps_per_second',
        'certainty',
        'filled_share',
        'is_enforced',
        'joined_share',
        'short_share',
        'told_callers',
        'weights',
        'window_seconds',
        'word_seconds',
    )

    def __init__(
        self,
        is_enforced: bool = False,
        callers: int = 256,
        told_callers: int = 16,
        window_seconds: float = 0.3,
        word_seconds: float = 2.5,
        short_share: float = 0.9,
        filled_share: float = 0.95,
        joined_share: float = 0.8,
        certainty: float = 2.0,
        weights: _network.NetworkTable | None = None,
        caps_per_second: _network.NetworkTable | None = None,
    ) -> None:
        self.is_enforced = is_enforced
        self.callers = callers
        self.told_callers = told_callers
        self.window_seconds = window_seconds
        self.word_seconds = word_seconds
        self.short_share = short_share
        self.filled_share = filled_share
        self.joined_share = joined_share
        self.certainty = certainty
        self.weights = weights or _network.NetworkTable(())
        self.caps_per_second = caps_per_second or _network.NetworkTable(())

    def enforce(self) -> 'SharesSettings':
        """Copy them with shares enforced.

        :returns: the copy.
        """
        values = {name: getattr(self, name) for name in self.__slots__}
        return SharesSettings(**{**values, 'is_enforced': True})
