"""Limits of first packets to upstreams that warm up after a start."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import math

import xxhash

from skylarkfold.affinity import _settings
from skylarkfold.affinity import _upstream_state

# The limit applies to any second on arrival. Packets sent over more than a
# second may arrive within one if the first were delayed on a link.
_WINDOW_SECONDS = 1.2
# Part of the limit that is used: if views of a zone differ, as during a
# network partition with instances replaced, an upstream may have several
# owners.
_USED_SHARE = 0.25
# Minimum share of an owner: with one, a second first packet of the same caller
# would have to wait.
_MINIMUM_SHARE = 2
# An instance owns nothing before it knows the instances of its zone: names are
# exchanged every second, and views converge within 5 s.
_SETTLE_SECONDS = 5.0
# How long a silent instance still counts, so that an instance that is cut off
# from its zone does not own more than before.
_PEER_EXPIRY_SECONDS = 600.0
# Factors that mix the hash of a name with an upstream's incarnation.
_FIRST_FACTOR = 0x9E3779B1
_SECOND_FACTOR = 0x85EBCA6B
_MASK = 0xFFFFFFFF


class WarmUp:
    """How the upstreams of a service warm up.

    :param seconds: how long an upstream is slow after its start.
    :param per_second: requests a second that it can handle in that time.
    """

    __slots__ = ('per_second', 'seconds')

    def __init__(self, seconds: float, per_second: float) -> None:
        self.seconds = seconds
        self.per_second = per_second


_NO_WARM_UP = WarmUp(0.0, 0.0)


class WarmUpLimiter:
    """Limits the first packets a second to an upstream from all instances.

    Each upstream that warms up has a few owners, chosen by rendezvous hashing
    among the instances of its availability zone; only these send it first
    packets. This needs no messages between instances, the limit holds in a
    partition between zones, and unlike equal shares it does not shrink as the
    fleet grows.

    :param zone: this instance's availability zone.
    :param settings: whether the rate is limited, and the limits.
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
        # When each other instance of the zone was last listed.
        self._zone_peers: dict[str, float] = {}
        self._digests: tuple[int, ...] = ()

    def set_warm_ups(self, warm_ups: Mapping[str, WarmUp]) -> None:
        """Set how the upstreams of services warm up.

        :param warm_ups: warm-ups by service.
        """
        self._warm_ups = warm_ups

    def set_mates(
        self, now: float, own: str, zone_peers: Iterable[str]
    ) -> None:
        """Set the instances of this zone.

        :param now: the time.
        :param own: this instance's name.
        :param zone_peers: the names of all others, including silent ones.
        """
        if self._started_at is None:
            self._started_at = now
            self._own_digest = _hash_name(own)
        previous_count = len(self._zone_peers)
        for name in zone_peers:
            self._zone_peers[name] = now
        oldest = now - _PEER_EXPIRY_SECONDS
        expired = [
            name for name, at in self._zone_peers.items() if at < oldest
        ]
        for name in expired:
            del self._zone_peers[name]
        if expired or len(self._zone_peers) != previous_count:
            self._digests = tuple(map(_hash_name, self._zone_peers))

    def get_warm_up_seconds(self, service: str) -> float:
        """Return how long an upstream is slow after a start.

        :param service: its service.
        :returns: seconds; 0 if the rate is not limited.
        """
        if not self._settings.limits_warm_up:
            return 0.0
        return self._warm_ups.get(service, _NO_WARM_UP).seconds

    def allows_first_packet(
        self, now: float, state: _upstream_state.UpstreamState
    ) -> bool:
        """Return whether this instance may send an upstream a first packet.

        :param now: the time.
        :param state: the upstream, which is warming up.
        :returns: whether it may.
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
        """Record that an upstream is sent a first packet.

        :param now: the time.
        :param state: the upstream.
        """
        if not self._settings.limits_warm_up or now >= state.warming_until:
            return
        if state.warm_up_openings is None:
            state.warm_up_openings = collections.deque()
        state.warm_up_openings.append(now)

    def _compute_share(
        self, now: float, state: _upstream_state.UpstreamState
    ) -> int:
        """Compute the first packets a second that this instance may send."""
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
        """Count the instances that rank before this one as an owner."""
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
