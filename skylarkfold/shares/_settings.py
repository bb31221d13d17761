"""Settings of callers' shares."""

from __future__ import annotations

from skylarkfold.shares import _network


class SharesSettings:
    """Whether and how callers' shares are enforced.

    :param is_enforced: whether new flows beyond a caller's share are refused.
    :param callers: the number of callers counted individually, the heaviest;
        the demand of the others is counted as a total.
    :param told_callers: the most callers named in a report to peers.
    :param window_seconds: time constant of the decay of counts; 0.81 of a
        change are visible after half a second, when peers must know it.
    :param word_seconds: how long a peer's report is used; reports are sent
        several times per second.
    :param short_share: a service is short of capacity once the demand exceeds
        this share of its slots; above it random arrivals queue.
    :param filled_share: the share of its slots that is then divided. The rest
        keeps the queue short for callers within their share.
    :param joined_share: the share of the slots from which on an instance sends
        reports; below ``short_share``, so that all send them once one of
        them sees a shortage.
    :param certainty: the standard deviations of its sample by which a caller
        must exceed its share before it is refused.
    :param weights: by network, the factor on a caller's share; 1 for callers
        in none of them.
    :param caps_per_second: by network, the largest share of a caller, in
        requests per second, while the service is short.
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
        """Return a copy with shares enforced.

        :returns: the copy.
        """
        values = {name: getattr(self, name) for name in self.__slots__}
        return SharesSettings(**{**values, 'is_enforced': True})
