"""What is known of all callers, from counts here and words of peers."""

from __future__ import annotations

from collections.abc import Iterator
import functools
import math

from skylarkfold.shares import _count
from skylarkfold.shares import _report

# Sources remembered of each sort: four neighbours, who change at times, and
# eleven zones at the size that decides. A word takes up to 15 KB when read.
_MOST_SOURCES = 16
# The source of what neighbours pass on of all other zones together.
ELSEWHERE = ''
# A caller that was counted k times here may have asked for so many times more
# by chance, in standard deviations; few counts say little.
_DEVIATIONS = 3.0
# A total of so many requests is within a tenth.
_ENOUGH_REQUESTS = 100.0


class FleetSize:
    """How many instances share the callers' flows.

    :param mates: others of this availability zone.
    :param zones: all availability zones.
    """

    __slots__ = ('mates', 'zones')

    def __init__(self, mates: int, zones: int = 1) -> None:
        self.mates = max(0, mates)
        self.zones = max(1, zones)


class PeerWords:
    """The latest word of each neighbour and of each other zone.

    :param word_seconds: how long a word counts.
    """

    __slots__ = ('_mates', '_word_seconds', '_zones')

    def __init__(self, word_seconds: float) -> None:
        self._word_seconds = word_seconds
        self._mates: dict[str, tuple[float, _report.Word]] = {}
        self._zones: dict[str, tuple[float, _report.Word]] = {}

    def take(
        self, at: float, source: str, is_zone: bool, word: _report.Word
    ) -> None:
        """Take a word in place of the source's earlier one.

        :param at: when it was said.
        :param source: the neighbour or the zone.
        :param is_zone: which of them.
        :param word: what it said.
        """
        words = self._zones if is_zone else self._mates
        before = words.get(source)
        if before is None and len(words) >= _MOST_SOURCES:
            return
        if before is None or at >= before[0]:
            words[source] = (at, word)

    def expire(self, now: float) -> None:
        """Forget what is too old.

        :param now: the time.
        """
        oldest = now - self._word_seconds
        for words in (self._mates, self._zones):
            for source, (at, _) in list(words.items()):
                if at < oldest:
                    del words[source]

    def list_kinds(self) -> set[_count.Kind]:
        """List the kinds that any word tells of."""
        kinds: set[_count.Kind] = set()
        for words in (self._mates, self._zones):
            for _, word in words.values():
                kinds.update(word)
        return kinds

    def list_mates(
        self, kind: _count.Kind
    ) -> Iterator[tuple[float, _report.Told]]:
        """List what neighbours say of a kind, each with its time."""
        return _select(self._mates, kind)

    def list_zones(
        self, kind: _count.Kind
    ) -> Iterator[tuple[float, _report.Told]]:
        """List what other zones say of a kind, each with its time.

        Who hears them needs not what neighbours pass on of them.
        """
        direct = self.list_direct()
        return _select(direct or self._zones, kind)

    def list_direct(self) -> dict[str, tuple[float, _report.Word]]:
        """List the words of zones that were heard from them."""
        return {
            source: said
            for source, said in self._zones.items()
            if source != ELSEWHERE
        }

    def sum_zones(self) -> tuple[float, _report.Word]:
        """Sum up what was heard from other zones, to be passed on.

        :returns: when the last of it was said, and the sum.
        """
        direct = self.list_direct()
        total: _report.Word = {}
        for _, word in direct.values():
            for kind, told in word.items():
                before = total.get(kind)
                if before is None:
                    total[kind] = told
                    continue
                own = _report.add(before.own, told.own)
                total[kind] = _report.Told(before.known + told.known, own)
        # The sum changes with each word: by the oldest, one of few zones would
        # go before a later one of all.
        return max((at for at, _ in direct.values()), default=0.0), total


def _select(
    words: dict[str, tuple[float, _report.Word]], kind: _count.Kind
) -> Iterator[tuple[float, _report.Told]]:
    for at, word in words.values():
        told = word.get(kind)
        if told is not None:
            yield at, told


class KindView:
    """What all callers ask for of a kind, as far as is known here.

    :param own: counted here.
    :param own_rate: the requests a second of that.
    :param words: of peers.
    :param kind: the kind.
    :param fleet: how many instances there are.
    :param sample_seconds: how many seconds of arrivals a count stands for.
    :ivar near: the mean of this instance and its neighbours.
    :ivar zone: the sum of this availability zone.
    :ivar all: the sum of all zones that are heard.
    :ivar zone_part: which part of all zones this one is.
    :ivar zone_known: how many callers of this zone ask for it.
    :ivar known: the same of all zones that are heard.
    :ivar named: callers that words name, or all where none came: the only
        ones whose demand is known as a whole.
    :ivar said_at: when the oldest word that was used was said; None for none.
    """

    __slots__ = (
        '_heard',
        '_sample_seconds',
        '_size',
        'all',
        'known',
        'mean_seconds',
        'named',
        'near',
        'own',
        'said_at',
        'zone',
        'zone_known',
        'zone_part',
    )

    def __init__(
        self,
        own: _report.Demand,
        own_rate: float,
        words: PeerWords,
        kind: _count.Kind,
        fleet: FleetSize,
        sample_seconds: float,
    ) -> None:
        self._sample_seconds = sample_seconds
        mates = list(words.list_mates(kind))
        zones = list(words.list_zones(kind))
        times = [at for at, _ in (*mates, *zones)]
        self.said_at = min(times) if times else None
        self.own = own
        self.mean_seconds = own.total / own_rate if own_rate else 0.0
        self._size = 1 + fleet.mates
        self.zone_part = 1.0 / fleet.zones
        heard = [told.own for _, told in mates]
        self._heard = functools.reduce(_report.add, heard, own)
        self.near = mean = _report.average(own, heard)
        if len(mates) < fleet.mates and mates and self._is_sparse():
            # Any mean of samples of the zone's flows is one; that over the
            # neighbours' neighbours is of more of them, but older.
            near = (told.near for _, told in mates)
            mean = _report.average(self.near, near)
        zone = _report.scale(mean, self._size)
        most = self._bound(own.total)
        if zone.total > most:
            zone = _report.scale(zone, most / zone.total)
        self.zone = self.all = zone
        told = [told for _, told in (*mates, *zones)]
        self.named = set(own.callers) if not mates else set()
        for each in told:
            self.named.update(each.own.callers)
        known = [len(own.callers), *(told.known for _, told in mates)]
        self.zone_known = self.known = max(known)
        for _, told in zones:
            self.all = _report.add(self.all, told.own)
            self.known += told.known

    def measure(self, caller: bytes) -> tuple[float, float]:
        """Tell what a caller asks for.

        :param caller: the caller.
        :returns: slots, no more than what was counted here allows; and how
            many of its requests were sampled.
        """
        slots = self.all.callers.get(caller, 0.0)
        slots = min(slots, self._bound(self.own.callers.get(caller, 0.0)))
        heard = self._heard.callers.get(caller, 0.0)
        return slots, self._count(heard)

    def _count(self, slots: float) -> float:
        """Tell how many requests a demand was counted from."""
        if not self.mean_seconds:
            return 0.0
        return slots / self.mean_seconds * self._sample_seconds

    def _is_sparse(self) -> bool:
        """Tell whether too little was sampled for a mean of neighbours."""
        return self._count(self._heard.total) < _ENOUGH_REQUESTS

    def _bound(self, own: float) -> float:
        """Compute the most that is likely by what was counted here.

        Routers spread flows over the zone by chance: a word that says far
        more than the sample of this instance allows is none to act on.
        """
        if not self.mean_seconds:
            # Who counted nothing refuses nothing, and passes on what it hears.
            return float('inf')
        sampled = self._count(own)
        deviation = _DEVIATIONS * math.sqrt(sampled + 1.0)
        most = sampled + _DEVIATIONS + deviation
        rate = most / self._sample_seconds
        return rate * self.mean_seconds * self._size
