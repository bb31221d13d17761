"""A planned stop: leave rotation first, then end."""

from __future__ import annotations

# How long a planned stop waits for others of the zone to be in rotation. Two
# missed checks later, at most 1.2 s, it must be out: within 4 s in all.
_HOLD_SECONDS = 2.2
# It goes on forwarding until the readiness checks, two a second, have
# missed twice and the routers have heard of it.
_LEAVE_SECONDS = 1.6
# Then until no packet has come for so long.
_QUIET_SECONDS = 0.4
# What is left of the grace when a stop ends in any case.
_RESERVE_SECONDS = 1.0


class Departure:
    """How far a planned stop is.

    :param now: when it was asked for.
    :param grace_seconds: how long it may take.
    :ivar left_at: when the instance left rotation, None before.
    """

    __slots__ = ('_asked_at', '_grace_seconds', 'left_at')

    def __init__(self, now: float, grace_seconds: float) -> None:
        self._asked_at = now
        self._grace_seconds = grace_seconds
        self.left_at: float | None = None

    def must_leave(self, now: float, may_leave: bool) -> bool:
        """Tell whether to leave rotation now.

        :param now: the time.
        :param may_leave: whether enough others of the zone are in it.
        """
        if self.left_at is not None:
            return False
        if not may_leave and now - self._asked_at <= _HOLD_SECONDS:
            return False
        self.left_at = now
        return True

    def is_over(self, now: float, packet_at: float) -> bool:
        """Tell whether the process may end.

        :param now: the time.
        :param packet_at: when the last packet came.
        """
        most = self._grace_seconds - _RESERVE_SECONDS
        if now - self._asked_at > most:
            return True
        if self.left_at is None or now - self.left_at <= _LEAVE_SECONDS:
            return False
        return now - packet_at > _QUIET_SECONDS
