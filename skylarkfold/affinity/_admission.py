"""Which new flows are refused because their answer would come too late."""

from __future__ import annotations

from skylarkfold.affinity import _directory
from skylarkfold.affinity import _request_time
from skylarkfold.affinity import _route
from skylarkfold.affinity import _settings
from skylarkfold.affinity import _speed
from skylarkfold.affinity import _upstream_state

# The bits of a flow's hash that are a draw, which falls alike on every
# instance; the lower ones choose its service and upstream.
_DRAW_SHIFT = 32
_DRAWS = 1 << 16
# An answer within this share of what it should take is none of work: an
# upstream that is full or fails gives it at once.
_EARLY_ANSWER_SHARE = 0.3


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

    __slots__ = ('_by_address', '_by_service', '_settings', '_speed_estimator')

    def __init__(
        self,
        settings: _settings.AffinitySettings,
        directory: _directory.Directory | None = None,
    ) -> None:
        self._settings = settings
        self._speed_estimator: _speed.SpeedEstimator | None = None
        if directory is not None and settings.speed_tolerance:
            self._speed_estimator = _speed.SpeedEstimator(settings, directory)
        # How long requests of a route take a slot; and those of a service,
        # which make up the queue.
        self._by_address: dict[bytes, _request_time.RequestTime] = {}
        self._by_service: dict[str, _request_time.RequestTime] = {}

    def record(
        self,
        now: float,
        state: _upstream_state.UpstreamState,
        address: bytes,
        requests_ahead: float,
        seconds: float,
    ) -> None:
        """Take an answer.

        :param now: the time.
        :param standing: the upstream that gave it.
        :param address: of the route.
        :param ahead: requests that it had before this one.
        :param seconds: how long it took.
        """
        service = state.upstream.service
        service_time = self._by_service.get(service)
        if service_time is None:
            service_time = self._by_service[service] = (
                _request_time.RequestTime()
            )
        route_time = self._by_address.get(address)
        if route_time is None:
            route_time = self._by_address[address] = (
                _request_time.RequestTime()
            )
        speed = state.speed
        slots = state.compute_capacity(now) / speed
        rounds = max(1.0, (requests_ahead + 1) / slots)
        expected = route_time.seconds + (rounds - 1) * service_time.seconds
        # As long as it would have taken at the usual speed.
        seconds *= speed
        is_early = seconds < _EARLY_ANSWER_SHARE * expected
        if rounds > 1 and is_early:
            # It was full, which says nothing of its health.
            return
        state.record_early_answer(is_early)
        if now < state.warming_until:
            if requests_ahead < state.upstream.slots and route_time.seconds:
                state.slowness.record(seconds / route_time.seconds)
            return
        if (
            self._speed_estimator is not None
            and route_time.seconds
            and not is_early
        ):
            ratio = seconds / speed / route_time.seconds
            self._speed_estimator.record(now, state, ratio)
        service_time.record(seconds / rounds)
        if rounds == 1:
            route_time.record(seconds)

    def refresh(self, now: float) -> list[object]:
        """Compute the upstreams' speeds anew where that is due.

        :param now: the time.
        :returns: effects.
        """
        return (
            []
            if self._speed_estimator is None
            else self._speed_estimator.refresh(now)
        )

    def estimate(
        self,
        now: float,
        route: _route.Route,
        state: _upstream_state.UpstreamState,
    ) -> _request_time.AnswerEstimate:
        """Estimate how soon an upstream would answer one request more.

        :param now: the time.
        :param route: the request's route.
        :param standing: the upstream.
        :returns: the estimate; of no time where nothing is known of its
            service.
        """
        service_time = self._by_service.get(state.upstream.service)
        if service_time is None:
            return _request_time.AnswerEstimate(0.0, 0.0, 0.0)
        route_time = self._by_address.get(route.address, service_time)
        speed = state.speed
        slots = state.compute_capacity(now) / speed
        rounds = (state.in_flight + 1) / slots
        typical_seconds = service_time.seconds / speed
        wait = max(0.0, rounds - 1) * typical_seconds
        return _request_time.AnswerEstimate(
            route_time.seconds / speed, wait, typical_seconds
        )

    def get_request_seconds(self, address: bytes, service: str) -> float:
        """Tell how long a request takes a slot.

        :param address: of its route.
        :param service: its service, whose usual requests stand for those of
            a route that is not known yet.
        :returns: seconds; 0 where nothing is known.
        """
        known = self._by_address.get(address) or self._by_service.get(service)
        return known.seconds if known is not None else 0.0

    def is_refused(
        self,
        route: _route.Route,
        expected: _request_time.AnswerEstimate,
        flow_hash: int,
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
            lower, upper = settings.preferred_share, settings.preferred_limit
            share = expected.seconds / route.aim_seconds
        else:
            lower, upper = settings.crowd_share, settings.crowd_limit
            weighted = expected.compute_weighted_seconds(
                settings.length_weight
            )
            share = weighted / route.aim_seconds
        if share <= lower:
            return False
        draw = ((flow_hash >> _DRAW_SHIFT) % _DRAWS) / _DRAWS
        return draw * (upper - lower) < share - lower
