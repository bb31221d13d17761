"""Which new flows are refused because their answer would come too late."""

from __future__ import annotations

from skylarkfold.affinity import _directory
from skylarkfold.affinity import _route
from skylarkfold.affinity import _settings
from skylarkfold.affinity import _speed
from skylarkfold.affinity import _standing
from skylarkfold.affinity import _work

# The bits of a flow's hash that are a draw, which falls alike on every
# instance; the lower ones choose its service and upstream.
_DRAW_SHIFT = 32
_DRAWS = 1 << 16
# An answer within this share of what it should take is none of work: an
# upstream that is full or fails gives it at once.
_HASTY_SHARE = 0.3


class Admission:
    """Refuses new flows whose request would be answered too late.

    An upstream that has more requests than slots queues them. How many it
    has is known from the flows here and the peers' words, how long one
    takes a slot is learnt; together they say when the next one is
    answered. Flows that are open can't be refused any more; a new one can,
    at once and truly without a run.

    :param settings: from which share of the aim on flows are refused.
    :param directory: all upstreams, whose speeds are learnt from their
        answers; None where they are not.
    """

    __slots__ = ('_by_address', '_by_service', '_settings', '_speeds')

    def __init__(
        self,
        settings: _settings.AffinitySettings,
        directory: _directory.Directory | None = None,
    ) -> None:
        self._settings = settings
        self._speeds: _speed.Speeds | None = None
        if directory is not None and settings.speed_tolerance:
            self._speeds = _speed.Speeds(settings, directory)
        # How long requests of a route take a slot; and those of a service,
        # which make up the queue.
        self._by_address: dict[bytes, _work.WorkTime] = {}
        self._by_service: dict[str, _work.WorkTime] = {}

    def note(
        self,
        now: float,
        standing: _standing.Standing,
        address: bytes,
        ahead: float,
        seconds: float,
    ) -> None:
        """Take an answer.

        :param now: the time.
        :param standing: the upstream that gave it.
        :param address: of the route.
        :param ahead: requests that it had before this one.
        :param seconds: how long it took.
        """
        service = standing.upstream.service
        queue = self._by_service.get(service)
        if queue is None:
            queue = self._by_service[service] = _work.WorkTime()
        own = self._by_address.get(address)
        if own is None:
            own = self._by_address[address] = _work.WorkTime()
        speed = standing.speed
        slots = standing.compute_capacity(now) / speed
        turns = max(1.0, (ahead + 1) / slots)
        expected = own.seconds + (turns - 1) * queue.seconds
        # As long as it would have taken at the usual speed.
        seconds *= speed
        is_hasty = seconds < _HASTY_SHARE * expected
        if turns > 1 and is_hasty:
            # It was full, which says nothing of its health.
            return
        standing.note_haste(is_hasty)
        if now < standing.warming_until:
            if ahead < standing.upstream.slots and own.seconds:
                standing.slowness.note(seconds / own.seconds)
            return
        if self._speeds is not None and own.seconds and not is_hasty:
            times = seconds / speed / own.seconds
            self._speeds.note(now, standing, times)
        queue.note(seconds / turns)
        if turns == 1:
            own.note(seconds)

    def refresh(self, now: float) -> list[object]:
        """Compute the upstreams' speeds anew where that is due.

        :param now: the time.
        :returns: effects.
        """
        return [] if self._speeds is None else self._speeds.refresh(now)

    def estimate(
        self, now: float, route: _route.Route, standing: _standing.Standing
    ) -> _work.Estimate:
        """Estimate how soon an upstream would answer one request more.

        :param now: the time.
        :param route: the request's route.
        :param standing: the upstream.
        :returns: the estimate; of no time where nothing is known of its
            service.
        """
        queue = self._by_service.get(standing.upstream.service)
        if queue is None:
            return _work.Estimate(0.0, 0.0, 0.0)
        own = self._by_address.get(route.address, queue)
        speed = standing.speed
        slots = standing.compute_capacity(now) / speed
        turns = (standing.waiting + 1) / slots
        usual = queue.seconds / speed
        wait = max(0.0, turns - 1) * usual
        return _work.Estimate(own.seconds / speed, wait, usual)

    def get_work(self, address: bytes, service: str) -> float:
        """Tell how long a request takes a slot.

        :param address: of its route.
        :param service: its service, whose usual requests stand for those of
            a route that is not known yet.
        :returns: seconds; 0 where nothing is known.
        """
        known = self._by_address.get(address) or self._by_service.get(service)
        return known.seconds if known is not None else 0.0

    def is_refused(
        self, route: _route.Route, expected: _work.Estimate, hashed: int
    ) -> bool:
        """Tell whether a new flow is refused.

        :param route: its route.
        :param expected: when its request would be answered.
        :param hashed: its hash.
        :returns: whether it is.
        """
        if not route.aim_seconds:
            return False
        settings = self._settings
        if route.is_preferred:
            least, limit = settings.preferred_share, settings.preferred_limit
            share = expected.seconds / route.aim_seconds
        else:
            least, limit = settings.crowd_share, settings.crowd_limit
            weighted = expected.weigh(settings.length_weight)
            share = weighted / route.aim_seconds
        if share <= least:
            return False
        drawn = ((hashed >> _DRAW_SHIFT) % _DRAWS) / _DRAWS
        return drawn * (limit - least) < share - least
