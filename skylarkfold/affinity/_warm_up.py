"""What upstreams are sent while they warm up after a start."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import math

import xxhash

from skylarkfold.affinity import _settings
from skylarkfold.affinity import _standing

# The limit holds for any second. Packets that are sent within more than one
# may arrive within one, where the first ones wait on a link.
_WINDOW_SECONDS = 1.2
# A quarter of the limit is used: where views of a zone differ, as while it
# is cut and instances are replaced, an upstream may have several owners.
_USED_SHARE = 0.25
# An owner's share at least, where the limit allows it: with one, a second
# first packet of the same caller has to wait.
_LEAST_SHARE = 2
# Before its own zone's instances are known for certain, an instance owns
# nothing: names of all travel once a second, and views meet within 5 s.
_SETTLE_SECONDS = 5.0
# An instance that is not heard any more counts for so long, so that one that
# is cut off from its zone owns no more than before.
_MEMORY_SECONDS = 600.0
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


_UNKNOWN = WarmUp(0.0, 0.0)


class WarmUpLimit:
    """Bounds the first packets that one gets in a second, from all instances.

    Each upstream that warms up has few owners, drawn by rendezvous hashing
    among the instances of its own availability zone; all others pass it by.
    So no word is needed at a flow, the bound holds in a cut between zones,
    and it does not shrink with the fleet as equal shares would.

    :param zone: this instance's availability zone.
    :param settings: whether there is a bound, and its figures.
    """

    __slots__ = (
        '_begun_at',
        '_digests',
        '_mates',
        '_own_digest',
        '_settings',
        '_warm_ups',
        '_zone',
    )

    def __init__(
        self, zone: str, settings: _settings.AffinitySettings
    ) -> None:
        self._zone = zone
        self._settings = settings
        self._warm_ups: Mapping[str, WarmUp] = {}
        self._begun_at: float | None = None
        self._own_digest = 0
        # When each instance of the zone was last known to be there.
        self._mates: dict[str, float] = {}
        self._digests: tuple[int, ...] = ()

    def set_warm_ups(self, warm_ups: Mapping[str, WarmUp]) -> None:
        """Take how the upstreams of services start.

        :param warm_ups: by service.
        """
        self._warm_ups = warm_ups

    def set_mates(self, now: float, own: str, mates: Iterable[str]) -> None:
        """Take which instances there are in this zone.

        :param now: the time.
        :param own: this instance's name.
        :param mates: the names of the others, silent ones included.
        """
        if self._begun_at is None:
            self._begun_at = now
            self._own_digest = _hash_name(own)
        before = len(self._mates)
        for name in mates:
            self._mates[name] = now
        oldest = now - _MEMORY_SECONDS
        gone = [name for name, at in self._mates.items() if at < oldest]
        for name in gone:
            del self._mates[name]
        if gone or len(self._mates) != before:
            self._digests = tuple(map(_hash_name, self._mates))

    def find_seconds(self, service: str) -> float:
        """Tell how long an upstream is slow after a start.

        :param service: its service.
        :returns: seconds; 0 where there is no bound.
        """
        if not self._settings.limits_warm_up:
            return 0.0
        return self._warm_ups.get(service, _UNKNOWN).seconds

    def allows(self, now: float, standing: _standing.Standing) -> bool:
        """Tell whether an upstream that warms up may get a first packet.

        :param now: the time.
        :param standing: the upstream.
        :returns: whether it may, from this instance.
        """
        if not self._settings.limits_warm_up:
            return True
        share = self._compute_share(now, standing)
        openings = standing.openings or ()
        while openings and openings[0] <= now - _WINDOW_SECONDS:
            openings.popleft()
        return len(openings) < share

    def note_opening(self, now: float, standing: _standing.Standing) -> None:
        """Note that an upstream is sent a first packet.

        :param now: the time.
        :param standing: the upstream.
        """
        if not self._settings.limits_warm_up or now >= standing.warming_until:
            return
        if standing.openings is None:
            standing.openings = collections.deque()
        standing.openings.append(now)

    def _compute_share(self, now: float, standing: _standing.Standing) -> int:
        """Compute what this instance may send an upstream in a second."""
        upstream = standing.upstream
        is_settled = (
            self._begun_at is not None
            and now - self._begun_at >= _SETTLE_SECONDS
        )
        if upstream.zone != self._zone or not is_settled:
            return 0
        warm_up = self._warm_ups.get(upstream.service, _UNKNOWN)
        limit = warm_up.per_second * self._settings.warm_up_factor
        limit += self._settings.warm_up_slack
        used = math.floor(limit * _USED_SHARE)
        owners = max(1, min(used // _LEAST_SHARE, len(self._digests) + 1))
        if self._count_before(upstream.incarnation, owners) >= owners:
            return 0
        return used // owners

    def _count_before(self, incarnation: int, enough: int) -> int:
        """Count the instances that own an upstream before this one."""
        own = _mix(self._own_digest, incarnation)
        before = 0
        for digest in self._digests:
            if _mix(digest, incarnation) > own:
                before += 1
                if before >= enough:
                    break
        return before


def _hash_name(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode())


def _mix(digest: int, incarnation: int) -> int:
    mixed = (digest ^ incarnation) * _FIRST_FACTOR & _MASK
    return (mixed ^ mixed >> 15) * _SECOND_FACTOR & _MASK
