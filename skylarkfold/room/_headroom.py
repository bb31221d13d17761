"""Headroom of an instance: load of its link and loss of its probes."""

from __future__ import annotations

import math

from skylarkfold.room import _link
from skylarkfold.room import _loss
from skylarkfold.room import _settings


class InstanceHeadroom:
    """Tells whether missing answers may be caused by this instance's link.

    :param settings: the limits.
    :param bytes_per_second: the rate of its link; 0 if unknown.
    """

    __slots__ = ('_link', '_loss', '_settings')

    def __init__(
        self,
        settings: _settings.RoomSettings | None = None,
        bytes_per_second: float = 0.0,
    ) -> None:
        self._settings = settings or _settings.RoomSettings()
        self._link = _link.LinkMeter(
            bytes_per_second, self._settings.link_seconds
        )
        self._loss = _loss.LossMeter(self._settings.loss_seconds)

    @property
    def settings(self) -> _settings.RoomSettings:
        """The limits."""
        return self._settings

    @property
    def bytes_per_second(self) -> float:
        """The rate of the link; 0 if unknown."""
        return self._link.bytes_per_second

    def set_rate(self, bytes_per_second: float) -> None:
        """Set the rate of the link.

        :param bytes_per_second: the rate; 0 if unknown.
        """
        self._link.bytes_per_second = bytes_per_second

    def record_traffic(self, now: float, received: int, sent: int) -> None:
        """Record traffic on the link.

        :param now: the time.
        :param received: bytes received.
        :param sent: bytes sent.
        """
        self._link.note(now, received, sent)

    def record_probe(self, now: float, is_answered: bool) -> None:
        """Record the result of a probe of an upstream known to be alive.

        :param now: the time.
        :param is_answered: whether it was answered in time.
        """
        self._loss.note(now, is_answered)

    def compute_link_share(self, now: float) -> float:
        """Compute the share of the link's rate that is in use.

        :param now: the time.
        :returns: the share of the busier direction; 0 if the rate is
            unknown.
        """
        return self._link.compute_share(now)

    def compute_loss_share(self, now: float) -> float:
        """Compute the share of probes lost on this instance's side.

        :param now: the time.
        :returns: between 0 and 1.
        """
        return self._loss.compute_share(now)

    def is_full(self, now: float) -> bool:
        """Tell whether the link is full.

        :param now: the time.
        :returns: whether it is; False if its rate is unknown.
        """
        return self._link.compute_share(now) >= self._settings.link_share

    def is_short(self, now: float) -> bool:
        """Tell whether this instance lacks headroom.

        :param now: the time.
        :returns: whether its link is full or loses so much that a missing
            answer proves nothing about the peer.
        """
        least = self._settings.loss_share
        return self.is_full(now) or self._loss.compute_share(now) >= least

    def count_tries(self, now: float, least: int) -> int:
        """Compute how many probes must fail in a row to prove a failure.

        Enough of them that losses on this side alone rarely explain it.

        :param now: the time.
        :param least: the minimum, which applies without losses.
        :returns: the number; 0 if no number of failures is proof.
        """
        if self.is_short(now):
            return 0
        share = self._loss.compute_share(now)
        settings = self._settings
        tries = math.ceil(math.log(settings.false_share) / math.log(share))
        return 0 if tries > settings.most_tries else max(least, tries)
