"""Admission of new flows by the estimated time of their answer."""

from __future__ import annotations

from skylarkfold.affinity import _directory
from skylarkfold.affinity import _request_time
from skylarkfold.affinity import _route
from skylarkfold.affinity import _settings
from skylarkfold.affinity import _speed
from skylarkfold.affinity import _upstream_state

# The bits of a flow's hash from here on are a random draw that is the same on
# every instance; the lower ones choose its service and upstream.
_DRAW_SHIFT = 32
_DRAWS = 1 << 16
# An answer in less than this share of the expected time is no sign of work:
# overloaded or failing upstreams answer at once.
_EARLY_ANSWER_SHARE = 0.3


class Admission:
    """Refuses new flows whose request would be answered too late.

    An upstream with more requests than slots queues them. The requests in
    flight are known from the flows here and the peers' reports, and the time
    that a request occupies a slot is learnt; together they give the time of
    the next answer. Open flows can no longer be refused, but a new one can be
    refused at once without any part of it having run.

    :param settings: thresholds of refusals.
    :param directory: all upstreams, whose speeds are learnt from their
        answers; None to learn none.
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
        # Request times by route, and by service for the queue of an upstream.
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
        """Record the time of an answer.

        :param now: the time.
        :param state: the upstream that answered.
        :param address: the address of the route.
        :param requests_ahead: requests in flight at the upstream when this one
            was sent.
        :param seconds: the time until the answer.
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
        # Convert to the time at the usual speed.
        seconds *= speed
        is_early = seconds < _EARLY_ANSWER_SHARE * expected
        if rounds > 1 and is_early:
            # The upstream's queue was full, which says nothing about its
            # health.
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
        """Recompute the upstreams' speeds if that is due.

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
        """Estimate how soon an upstream would answer another request.

        :param now: the time.
        :param route: the request's route.
        :param state: the upstream.
        :returns: the estimate; zero if nothing is known of its service.
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
        """Return how long a request occupies a slot.

        :param address: the address of its route.
        :param service: its service, whose mean is used for an unknown route.
        :returns: seconds; 0 if nothing is known.
        """
        known = self._by_address.get(address) or self._by_service.get(service)
        return known.seconds if known is not None else 0.0

    def is_refused(
        self,
        route: _route.Route,
        expected: _request_time.AnswerEstimate,
        flow_hash: int,
    ) -> bool:
        """Return whether a new flow is refused.

        :param route: its route.
        :param expected: the estimated time of its answer.
        :param flow_hash: its hash.
        :returns: whether it is refused.
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
