"""Upstreams that are dead, as most instances see it."""

from __future__ import annotations

import dataclasses

from skylarkfold.flows import _settings
from skylarkfold import service as service_module

# One instance alone may be the one that is cut off.
_MIN_VOTES = 2


@dataclasses.dataclass(slots=True)
class _UpstreamVotes:
    healthy: dict[str, bool] = dataclasses.field(default_factory=dict)
    unhealthy_since: float | None = None


class HealthView:
    """What each instance says of each upstream's health.

    An upstream that some instances can't reach may be alive for others:
    it is dead only while two or more, and most of those that spoke of it,
    say so, for long enough.

    :param settings: the flow settings.
    """

    def __init__(self, settings: _settings.FlowSettings) -> None:
        self._settings = settings
        self._votes: dict[tuple[str, str], _UpstreamVotes] = {}

    def record(
        self, peer: str, service_name: str, upstream: str, healthy: bool
    ) -> None:
        """Note an instance's opinion.

        :param peer: the instance.
        :param service_name: the service's name.
        :param upstream: the upstream's name.
        :param healthy: what the instance finds.
        """
        key = (service_name, upstream)
        votes = self._votes.setdefault(key, _UpstreamVotes())
        votes.healthy[peer] = healthy

    def find_dead(
        self,
        now: float,
        service: service_module.Service,
        voters: set[str],
    ) -> frozenset[str]:
        """Name the upstreams that are dead.

        :param now: the time.
        :param service: the service.
        :param voters: the live instances.
        :returns: upstream names; never all of a service, for that says
            more about the instances than about the upstreams.
        """
        dead = frozenset(
            upstream.name
            for upstream in service.upstreams
            if self._is_dead(now, (service.name, upstream.name), voters)
        )
        return dead if len(dead) < len(service.upstreams) else frozenset()

    def _is_dead(
        self, now: float, key: tuple[str, str], voters: set[str]
    ) -> bool:
        votes = self._votes.get(key)
        if votes is None:
            return False
        counted = [
            healthy
            for peer, healthy in votes.healthy.items()
            if peer in voters
        ]
        against = counted.count(False)
        required = min(_MIN_VOTES, len(voters))
        if against < required or against * 2 <= len(counted):
            votes.unhealthy_since = None
            return False
        if votes.unhealthy_since is None:
            votes.unhealthy_since = now
        return now - votes.unhealthy_since >= self._settings.dead_seconds
