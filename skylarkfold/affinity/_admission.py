"""Which new flows are refused because their service is crowded."""

from __future__ import annotations

import collections

from skylarkfold.affinity import _route
from skylarkfold.affinity import _settings

# Answers of a service that are remembered; and how many tell something.
_SAMPLES = 16
_LEAST_SAMPLES = 8
# The bits of a flow's hash that are a draw, which falls alike on every
# instance; the lower ones choose its service and upstream.
_DRAW_SHIFT = 32
_DRAWS = 1 << 16


class Admission:
    """Refuses new flows while a service answers close to too late.

    An upstream that has more requests than slots queues them, and a full
    queue makes all of them late. Flows that are open can't be refused any
    more; a new one can, at once and truly without a run, and each further
    try of a caller is a new one. How long answers take, as shares of what
    their routes aim at, tells how long the queues are; where nothing is
    answered, nothing is known and nothing refused.

    :param settings: from which share on flows are refused.
    """

    __slots__ = ('_answers', '_crowds', '_settings')

    def __init__(self, settings: _settings.AffinitySettings) -> None:
        self._settings = settings
        self._answers: dict[str, collections.deque[tuple[float, float]]] = {}
        # Since when, and until when at least, services were crowded.
        self._crowds: dict[str, tuple[float, float]] = {}

    def note(self, now: float, service: str, share: float) -> None:
        """Take an answer.

        :param now: the time.
        :param service: the service's name.
        :param share: how long it took, as a share of what its route aims
            at.
        """
        answers = self._answers.get(service)
        if answers is None:
            answers = collections.deque(maxlen=_SAMPLES)
            self._answers[service] = answers
        answers.append((now, share))
        if self.compute_share(now, service) > self._settings.crowd_share:
            since, until = self._crowds.get(service, (now, now))
            if now - until > self._settings.crowd_seconds:
                since = now
            self._crowds[service] = (since, now)

    def compute_share(self, now: float, service: str) -> float:
        """Compute how long answers of a service take at present.

        :param now: the time.
        :param service: the service's name.
        :returns: the share of the aim that most of them need; 0 where too
            few came lately.
        """
        oldest = now - self._settings.crowd_seconds
        answers = self._answers.get(service, ())
        shares = sorted(share for at, share in answers if at >= oldest)
        if len(shares) < _LEAST_SAMPLES:
            return 0.0
        # The acknowledgement of a short answer comes with the caller's
        # next request only: the longer ones are no measure.
        place = int(len(shares) * self._settings.crowd_quantile)
        return shares[min(place, len(shares) - 1)]

    def compute_refused(
        self, now: float, service: str, route: _route.Route
    ) -> float:
        """Compute which part of a route's new flows is refused.

        :param now: the time.
        :param service: the service that the flow would go to.
        :param route: the route.
        :returns: from 0 for none to 1 for all.
        """
        settings = self._settings
        least, limit = settings.crowd_share, settings.crowd_limit
        if route.is_preferred:
            least = (least + limit) / 2
        share = self.compute_share(now, service)
        if share <= least:
            return 0.0
        if share >= limit:
            return 1.0
        return (share - least) / (limit - least)

    def is_refused(
        self,
        now: float,
        service: str | None,
        route: _route.Route,
        hashed: int,
    ) -> bool:
        """Tell whether a new flow is refused.

        :param now: the time.
        :param service: the service that it would go to; None for none.
        :param route: its route.
        :param hashed: its hash.
        :returns: whether it is.
        """
        since, _ = self._crowds.get(service, (now, now))
        if now - since < self._settings.crowd_patience_seconds:
            return False
        drawn = (hashed >> _DRAW_SHIFT) % _DRAWS
        return drawn < self.compute_refused(now, service, route) * _DRAWS
