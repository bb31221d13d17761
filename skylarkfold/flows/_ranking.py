"""The ranking of instances for each slot.

Flows are divided into slots. The live instances are ranked for each slot by
rendezvous hashing: the first one is the slot's home, the next ones are its
replicas. The first replica is in another zone than the home if possible.
"""

from __future__ import annotations

import array
from collections.abc import Iterable
import heapq

import xxhash

SLOT_COUNT = 1024
MAXIMUM_RANKED = 5
_CANDIDATE_COUNT = 8


def _score_slots(name: str) -> array.array:
    seed = xxhash.xxh3_64_intdigest(name.encode())
    digests = (
        xxhash.xxh3_64_intdigest(slot.to_bytes(2, 'big'), seed)
        for slot in range(SLOT_COUNT)
    )
    return array.array('Q', digests)


def rank_names(subject: str, names: list[str]) -> list[str]:
    """Rank instances for a subject by rendezvous hashing.

    :param subject: what they are ranked for.
    :param names: the names of the instances.
    :returns: the names in order of rank; the same on all instances.
    """
    return sorted(
        names,
        key=lambda name: (
            xxhash.xxh3_64_intdigest(f'{subject}|{name}'.encode()),
            name,
        ),
        reverse=True,
    )


class Ranking:
    """The ranking of the live instances for each slot.

    A ranking's instances never change. :meth:`replace` returns a new ranking,
    so that the former holders of a slot remain available.

    :param zones: the zone of each instance, by name.
    """

    __slots__ = ('_candidates', '_orders', '_scores', '_zones')

    def __init__(self, zones: dict[str, str]) -> None:
        self._zones = dict(zones)
        self._scores = {name: _score_slots(name) for name in zones}
        self._candidates: list[list[str] | None] = [None] * SLOT_COUNT
        self._orders: list[tuple[str, ...] | None] = [None] * SLOT_COUNT

    @property
    def names(self) -> set[str]:
        """The names of the ranked instances."""
        return set(self._zones)

    def replace(self, zones: dict[str, str]) -> Ranking:
        """Rank another set of instances.

        :param zones: the zone of each instance, by name.
        :returns: the new ranking; it reuses scores and unaffected slots.
        """
        ranking = Ranking({})
        ranking._zones = dict(zones)
        ranking._scores = {
            name: self._scores.get(name) or _score_slots(name)
            for name in zones
        }
        added = [name for name in zones if name not in self._zones]
        ranking._candidates = [
            ranking._update_candidates(slot, candidates, added)
            for slot, candidates in enumerate(self._candidates)
        ]
        return ranking

    def list_ranked(self, slot: int) -> tuple[str, ...]:
        """List the highest ranked instances of a slot.

        :param slot: the slot's number.
        :returns: the home, the replicas and the next ones, at most
            ``MAXIMUM_RANKED`` names.
        """
        order = self._orders[slot]
        if order is None:
            order = self._orders[slot] = self._build_order(slot)
        return order

    def _build_order(self, slot: int) -> tuple[str, ...]:
        if self._candidates[slot] is None:
            self._fill_candidates()
        order = list(self._candidates[slot] or ())
        self._move_other_zone_to_second(order)
        return tuple(order[:MAXIMUM_RANKED])

    def _fill_candidates(self) -> None:
        names = sorted(self._scores)
        columns = zip(*(self._scores[name] for name in names))
        for slot, column in enumerate(columns):
            if self._candidates[slot] is None:
                candidates = heapq.nlargest(
                    _CANDIDATE_COUNT, zip(column, names)
                )
                self._candidates[slot] = [name for _, name in candidates]

    def _pick_candidates(self, slot: int, names: Iterable[str]) -> list[str]:
        scores = self._scores
        scored = ((scores[name][slot], name) for name in names)
        return [name for _, name in heapq.nlargest(_CANDIDATE_COUNT, scored)]

    def _update_candidates(
        self, slot: int, candidates: list[str] | None, added: list[str]
    ) -> list[str] | None:
        if candidates is None or any(
            name not in self._zones for name in candidates
        ):
            return None
        if not added:
            return candidates
        return self._pick_candidates(slot, [*candidates, *added])

    def _move_other_zone_to_second(self, order: list[str]) -> None:
        for position in range(1, len(order)):
            if self._zones[order[position]] != self._zones[order[0]]:
                order.insert(1, order.pop(position))
                return
