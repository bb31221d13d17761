"""The interface of decision cores."""

from __future__ import annotations

from typing import Protocol


class Core(Protocol):
    """A state machine whose only inputs are events and the time.

    A core does no I/O, reads no clock and uses no global source of
    randomness; differences between instances come from its settings.
    """

    def handle(self, now: float, event: object) -> list[object]:
        """Handle one event.

        :param now: the time in seconds of a monotonic clock.
        :param event: an event of :mod:`skylarkfold.event`; types that the
            core does not handle are ignored.
        :returns: effects of :mod:`skylarkfold.effect`, in order.
        """
