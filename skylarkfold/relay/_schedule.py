"""When instances have the store confirm a topic."""

from __future__ import annotations

import math

from skylarkfold.relay import _settings

# Shares of the time within which a change must be in force everywhere. What
# follows the last call is left for the call itself, with a new connection, and
# for applying its answer.
_LAST_CALL_SHARE = 0.85
# The substitutes start one after the other within this share.
_SPREAD_SHARE = 0.15
# The least share for an interval between answers, however long beacons are on
# their way.
_LEAST_INTERVAL_SHARE = 0.25


class ConfirmationSchedule:
    """Ages of the store's last answer at which instances call the store.

    A change that nobody has passed on was written after that answer. So an
    instance knows each change in time if it calls the store by itself once the
    answer is old enough, whatever has happened to the watchers.

    :param settings: the relay's settings.
    :ivar interval_seconds: within this time the store answers some watcher, so
        that the fleet has a topic confirmed again.
    :ivar first_seconds: the age at which the first instance substitutes for
        watchers that have not been answered.
    :ivar last_seconds: the age at which the last instance does.
    """

    __slots__ = (
        '_wait_seconds',
        'first_seconds',
        'interval_seconds',
        'last_seconds',
    )

    def __init__(self, settings: _settings.RelaySettings) -> None:
        change_seconds = settings.change_seconds
        self._wait_seconds = settings.wait_seconds
        self.last_seconds = _LAST_CALL_SHARE * change_seconds
        latest_start = self.last_seconds - _SPREAD_SHARE * change_seconds
        # An answer is known in other zones after a beacon to them and one
        # within them.
        travel_seconds = settings.far_seconds + settings.beacon_seconds
        self.interval_seconds = min(
            settings.wait_seconds,
            max(
                latest_start - travel_seconds,
                _LEAST_INTERVAL_SHARE * change_seconds,
            ),
        )
        self.first_seconds = min(
            latest_start, self.interval_seconds + settings.substitute_seconds
        )

    def compute_allowed_age(self, rank: int, instances: int) -> float:
        """Return how old the last answer may be before an instance calls.

        The number of callers doubles in equal steps, so that one instance
        that reaches the store spares most others the call, and the last of
        any number still calls in time.

        :param rank: the instance's rank within the fleet.
        :param instances: the number of instances.
        :returns: the age in seconds.
        """
        share = math.log2(1 + rank) / math.log2(1 + max(instances, 1))
        spread = self.last_seconds - self.first_seconds
        return self.first_seconds + min(1.0, share) * spread

    def compute_watch_seconds(self, watchers: int) -> float:
        """Return how long the store may hold a watch.

        :param watchers: the number of watchers of the topic.
        :returns: the time in seconds.
        """
        return min(self._wait_seconds, watchers * self.interval_seconds)

    def compute_first_watch_seconds(self, rank: int, watchers: int) -> float:
        """Return how long the store may hold a watcher's first watch.

        All watchers start anew after a change, which all of them are told of
        at the same moment. Different first watches spread their answers, so
        that one comes in each interval.

        :param rank: the watcher's rank within the fleet.
        :param watchers: the number of watchers of the topic.
        :returns: the time in seconds.
        """
        longest = self.compute_watch_seconds(watchers)
        shortest = min(longest, self.interval_seconds)
        share = min(1.0, rank / max(1, watchers - 1))
        return shortest + share * (longest - shortest)
