"""Detection of dead upstreams by majority vote of the instances."""

from __future__ import annotations

import dataclasses

from skylarkfold.flows import _settings
from skylarkfold import service as service_module

# A single instance may be partitioned from a healthy upstream.
_MINIMUM_VOTES = 2


@dataclasses.dataclass(slots=True)
class _UpstreamVotes:
    healthy: dict[str, bool] = dataclasses.field(default_factory=dict)
    unhealthy_since: float | None = None


class HealthView:
    """The instances' votes on the health of each upstream.

    Some instances may fail to reach an upstream that others can reach. It
    counts as dead only after at least two instances, and a majority of those
    that voted, have found it unreachable for ``dead_seconds``. A single live
    instance decides alone.

    :param settings: the flow settings.
    """

    def __init__(self, settings: _settings.FlowSettings) -> None:
        self._settings = settings
        self._votes: dict[tuple[str, str], _UpstreamVotes] = {}

    def record(
        self, peer: str, service_name: str, upstream: str, healthy: bool
    ) -> None:
        """Record an instance's vote.

        :param peer: the instance's name.
        :param service_name: the service's name.
        :param upstream: the upstream's name.
        :param healthy: whether the instance can reach the upstream.
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
        """Return the names of a service's dead upstreams.

        :param now: the current time.
        :param service: the service.
        :param voters: the names of the live instances.
        :returns: the upstreams' names; empty if all would be dead, because
            a fault of the instances' own network is more likely then.
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
        required = min(_MINIMUM_VOTES, len(voters))
        if against < required or against * 2 <= len(counted):
            votes.unhealthy_since = None
            return False
        if votes.unhealthy_since is None:
            votes.unhealthy_since = now
        return now - votes.unhealthy_since >= self._settings.dead_seconds
