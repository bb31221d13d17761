"""Which new flows are refused because their answer would come too late."""

from __future__ import annotations

from skylarkfold.affinity import _route
from skylarkfold.affinity import _settings
from skylarkfold.affinity import _standing
from skylarkfold.affinity import _work

# The bits of a flow's hash that are a draw, which falls alike on every
# instance; the lower ones choose its service and upstream.
_DRAW_SHIFT = 32
_DRAWS = 1 << 16
# An upstream with a queue that answers within this share of what its queue
# would take has turned the request away.
_SHED_SHARE = 0.3


class Admission:
    """Refuses new flows whose request would be answered too late.

    An upstream that has more requests than slots queues them. How many it
    has is known from the flows here and the peers' words, how long one
    takes a slot is learnt; together they say when the next one is
    answered. Flows that are open can't be refused any more; a new one can,
    at once and truly without a run.

    :param settings: from which share of the aim on flows are refused.
    """

    __slots__ = ('_settings', '_times')

    def __init__(self, settings: _settings.AffinitySettings) -> None:
        self._settings = settings
        self._times: dict[str, _work.WorkTime] = {}

    def note(
        self,
        now: float,
        standing: _standing.Standing,
        ahead: float,
        seconds: float,
    ) -> None:
        """Take an answer.

        :param now: the time.
        :param standing: the upstream that gave it.
        :param ahead: requests that it had before this one.
        :param seconds: how long it took.
        """
        service = standing.upstream.service
        known = self._times.get(service)
        if known is None:
            known = self._times[service] = _work.WorkTime()
        turns = max(1.0, (ahead + 1) / standing.compute_capacity(now))
        if turns > 1 and seconds < _SHED_SHARE * known.seconds * turns:
            return
        known.note(seconds / turns)

    def estimate(self, now: float, standing: _standing.Standing) -> float:
        """Estimate how soon an upstream would answer one request more.

        :param now: the time.
        :param standing: the upstream.
        :returns: seconds; 0 where nothing is known of its service.
        """
        known = self._times.get(standing.upstream.service)
        if known is None:
            return 0.0
        turns = (standing.waiting + 1) / standing.compute_capacity(now)
        return known.seconds * max(1.0, turns)

    def is_refused(
        self,
        now: float,
        route: _route.Route,
        standing: _standing.Standing,
        hashed: int,
    ) -> bool:
        """Tell whether a new flow is refused.

        :param now: the time.
        :param route: its route.
        :param standing: the upstream that it would go to.
        :param hashed: its hash.
        :returns: whether it is.
        """
        if not route.aim_seconds:
            return False
        settings = self._settings
        least, limit = settings.crowd_share, settings.crowd_limit
        if route.is_preferred:
            least, limit = settings.preferred_share, settings.preferred_limit
        share = self.estimate(now, standing) / route.aim_seconds
        if share <= least:
            return False
        drawn = ((hashed >> _DRAW_SHIFT) % _DRAWS) / _DRAWS
        return drawn * (limit - least) < share - least
