"""An instance's own room."""

from __future__ import annotations

import math

from skylarkfold.room import _link
from skylarkfold.room import _loss
from skylarkfold.room import _settings


class InstanceHeadroom:
    """Tells whether a silence may be this instance's own.

    :param settings: the limits.
    :param bytes_per_second: the rate of its link; 0 where it is not known.
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
        """The rate of the link; 0 where it is not known."""
        return self._link.bytes_per_second

    def set_rate(self, bytes_per_second: float) -> None:
        """Take the rate of the link.

        :param bytes_per_second: the rate; 0 where it is not known.
        """
        self._link.bytes_per_second = bytes_per_second

    def record_traffic(self, now: float, received: int, sent: int) -> None:
        """Note what went through the link.

        :param now: the time.
        :param received: bytes that came in.
        :param sent: bytes that went out.
        """
        self._link.note(now, received, sent)

    def record_probe(self, now: float, is_answered: bool) -> None:
        """Note how a probe of an upstream that lives ended.

        :param now: the time.
        :param is_answered: whether its answer came in time.
        """
        self._loss.note(now, is_answered)

    def compute_link_share(self, now: float) -> float:
        """Compute the share of the link's rate that is in use.

        :param now: the time.
        :returns: of the busier direction; 0 where the rate is not known.
        """
        return self._link.compute_share(now)

    def compute_loss_share(self, now: float) -> float:
        """Compute the share of exchanges that gets lost on this side.

        :param now: the time.
        :returns: between 0 and 1.
        """
        return self._loss.compute_share(now)

    def is_full(self, now: float) -> bool:
        """Tell whether the link is full.

        :param now: the time.
        :returns: whether it is; never where its rate is not known.
        """
        return self._link.compute_share(now) >= self._settings.link_share

    def is_short(self, now: float) -> bool:
        """Tell whether this instance is short of room.

        :param now: the time.
        :returns: whether what it sends or gets may wait or get lost, so that
            a silence tells nothing of who is silent.
        """
        least = self._settings.loss_share
        return self.is_full(now) or self._loss.compute_share(now) >= least

    def count_tries(self, now: float, least: int) -> int:
        """Count the probes that must fail in a row to prove something.

        Each may have got lost on this side; all of them seldom have.

        :param now: the time.
        :param least: where nothing gets lost.
        :returns: how many; 0 where no number would do.
        """
        if self.is_short(now):
            return 0
        share = self._loss.compute_share(now)
        settings = self._settings
        tries = math.ceil(math.log(settings.false_share) / math.log(share))
        return 0 if tries > settings.most_tries else max(least, tries)
