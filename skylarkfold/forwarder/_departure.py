"""Graceful shutdown: leave rotation first, then exit."""

from __future__ import annotations

# How long a shutdown waits for other instances of the zone to be in rotation.
# Routers remove the instance after two failed readiness checks, which take at
# most 1.2 s more; the limit for all of it is 4 s.
_MAX_HOLD_SECONDS = 2.2
# Forwarding continues until two readiness checks, at two a second, have failed
# and the routers have been updated.
_WITHDRAWAL_SECONDS = 1.6
# After that, the process exits once no packet has arrived for this long.
_QUIET_SECONDS = 0.4
# The process exits at the latest this long before the grace period ends.
_EXIT_MARGIN_SECONDS = 1.0


class Departure:
    """The progress of a graceful shutdown.

    :param now: the time at which it was requested.
    :param grace_seconds: the grace period.
    :ivar left_at: the time at which the instance left rotation; None before.
    """

    __slots__ = (
        '_grace_seconds',
        '_requested_at',
        'left_at',
    )

    def __init__(self, now: float, grace_seconds: float) -> None:
        self._requested_at = now
        self._grace_seconds = grace_seconds
        self.left_at: float | None = None

    def must_leave(self, now: float, may_leave: bool) -> bool:
        """Return whether to leave rotation now; record it if so.

        :param now: the time.
        :param may_leave: whether enough other instances of the zone are in
            rotation.
        """
        if self.left_at is not None:
            return False
        if not may_leave and now - self._requested_at <= _MAX_HOLD_SECONDS:
            return False
        self.left_at = now
        return True

    def is_over(self, now: float, packet_at: float) -> bool:
        """Return whether the process may exit.

        :param now: the time.
        :param packet_at: the arrival time of the last packet.
        """
        limit = self._grace_seconds - _EXIT_MARGIN_SECONDS
        if now - self._requested_at > limit:
            return True
        if self.left_at is None or now - self.left_at <= _WITHDRAWAL_SECONDS:
            return False
        return now - packet_at > _QUIET_SECONDS
