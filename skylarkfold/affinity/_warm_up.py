"""What upstreams are sent while they warm up after a start."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import math

import xxhash

from skylarkfold.affinity import _settings
from skylarkfold.affinity import _upstream_state

# The limit holds for any second. Packets that are sent within more than one
# may arrive within one, where the first ones wait on a link.
_WINDOW_SECONDS = 1.2
# A quarter of the limit is used: where views of a zone differ, as while it
# is cut and instances are replaced, an upstream may have several owners.
_USED_SHARE = 0.25
# An owner's share at least, where the limit allows it: with one, a second
# first packet of the same caller has to wait.
_MINIMUM_SHARE = 2
# Before its own zone's instances are known for certain, an instance owns
# nothing: names of all travel once a second, and views meet within 5 s.
_SETTLE_SECONDS = 5.0
# An instance that is not heard any more counts for so long, so that one that
# is cut off from its zone owns no more than before.
_PEER_EXPIRY_SECONDS = 600.0
# Mixes a name's digest with an upstream's.
_FIRST_FACTOR = 0x9E3779B1
_SECOND_FACTOR = 0x85EBCA6B
_MASK = 0xFFFFFFFF


class WarmUp:
    """What is known of how a service's upstreams start.

    :param seconds: how long one is slow.
    :param per_second: requests a second that it bears meanwhile.
    """

    __slots__ = ('per_second', 'seconds')

    def __init__(self, seconds: float, per_second: float) -> None:
        self.seconds = seconds
        self.per_second = per_second


_NO_WARM_UP = WarmUp(0.0, 0.0)


class WarmUpLimiter:
    """Bounds the first packets that one gets in a second, from all instances.

    Each upstream that warms up has few owners, drawn by rendezvous hashing
    among the instances of its own availability zone; all others pass it by.
    So no word is needed at a flow, the bound holds in a cut between zones,
    and it does not shrink with the fleet as equal shares would.

    :param zone: this instance's availability zone.
    :param settings: whether there is a bound, and its figures.
    """

    __slots__ = (
        '_digests',
        '_own_digest',
        '_settings',
        '_started_at',
        '_warm_ups',
        '_zone',
        '_zone_peers',
    )

    def __init__(
        self, zone: str, settings: _settings.AffinitySettings
    ) -> None:
        self._zone = zone
        self._settings = settings
        self._warm_ups: Mapping[str, WarmUp] = {}
        self._started_at: float | None = None
        self._own_digest = 0
        # When each instance of the zone was last known to be there.
        self._zone_peers: dict[str, float] = {}
        self._digests: tuple[int, ...] = ()

    def set_warm_ups(self, warm_ups: Mapping[str, WarmUp]) -> None:
        """Take how the upstreams of services start.

        :param warm_ups: by service.
        """
        self._warm_ups = warm_ups

    def set_mates(
        self, now: float, own: str, zone_peers: Iterable[str]
    ) -> None:
        """Take which instances there are in this zone.

        :param now: the time.
        :param own: this instance's name.
        :param mates: the names of the others, silent ones included.
        """
        if self._started_at is None:
            self._started_at = now
            self._own_digest = _hash_name(own)
        preceding = len(self._zone_peers)
        for name in zone_peers:
            self._zone_peers[name] = now
        oldest = now - _PEER_EXPIRY_SECONDS
        expired = [
            name for name, at in self._zone_peers.items() if at < oldest
        ]
        for name in expired:
            del self._zone_peers[name]
        if expired or len(self._zone_peers) != preceding:
            self._digests = tuple(map(_hash_name, self._zone_peers))

    def get_warm_up_seconds(self, service: str) -> float:
        """Tell how long an upstream is slow after a start.

        :param service: its service.
        :returns: seconds; 0 where there is no bound.
        """
        if not self._settings.limits_warm_up:
            return 0.0
        return self._warm_ups.get(service, _NO_WARM_UP).seconds

    def allows_first_packet(
        self, now: float, state: _upstream_state.UpstreamState
    ) -> bool:
        """Tell whether an upstream that warms up may get a first packet.

        :param now: the time.
        :param standing: the upstream.
        :returns: whether it may, from this instance.
        """
        if not self._settings.limits_warm_up:
            return True
        share = self._compute_share(now, state)
        openings = state.warm_up_openings or ()
        while openings and openings[0] <= now - _WINDOW_SECONDS:
            openings.popleft()
        return len(openings) < share

    def record_first_packet(
        self, now: float, state: _upstream_state.UpstreamState
    ) -> None:
        """Note that an upstream is sent a first packet.

        :param now: the time.
        :param standing: the upstream.
        """
        if not self._settings.limits_warm_up or now >= state.warming_until:
            return
        if state.warm_up_openings is None:
            state.warm_up_openings = collections.deque()
        state.warm_up_openings.append(now)

    def _compute_share(
        self, now: float, state: _upstream_state.UpstreamState
    ) -> int:
        """Compute what this instance may send an upstream in a second."""
        upstream = state.upstream
        is_settled = (
            self._started_at is not None
            and now - self._started_at >= _SETTLE_SECONDS
        )
        if upstream.zone != self._zone or not is_settled:
            return 0
        warm_up = self._warm_ups.get(upstream.service, _NO_WARM_UP)
        limit = warm_up.per_second * self._settings.warm_up_factor
        limit += self._settings.warm_up_slack
        used = math.floor(limit * _USED_SHARE)
        owners = max(1, min(used // _MINIMUM_SHARE, len(self._digests) + 1))
        if self._count_preceding(upstream.incarnation, owners) >= owners:
            return 0
        return used // owners

    def _count_preceding(self, incarnation: int, limit: int) -> int:
        """Count the instances that own an upstream before this one."""
        own = _mix(self._own_digest, incarnation)
        preceding = 0
        for digest in self._digests:
            if _mix(digest, incarnation) > own:
                preceding += 1
                if preceding >= limit:
                    break
        return preceding


def _hash_name(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode())


def _mix(digest: int, incarnation: int) -> int:
    mixed = (digest ^ incarnation) * _FIRST_FACTOR & _MASK
    return (mixed ^ mixed >> 15) * _SECOND_FACTOR & _MASK
