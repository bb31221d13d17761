"""Which instances keep the pins of a part of all flows.

All flows are divided into slots. The live instances are ranked for each
slot by rendezvous hashing: the first is the slot's home, the next ones its
replicas, the first of them in another zone where there is one.
"""

from __future__ import annotations

import array
from collections.abc import Iterable
import heapq

import xxhash

SLOT_COUNT = 1024
MAX_RANKED = 5
_CANDIDATE_COUNT = 8


def _score_slots(name: str) -> array.array:
    seed = xxhash.xxh3_64_intdigest(name.encode())
    digests = (
        xxhash.xxh3_64_intdigest(slot.to_bytes(2, 'big'), seed)
        for slot in range(SLOT_COUNT)
    )
    return array.array('Q', digests)


def rank_names(subject: str, names: list[str]) -> list[str]:
    """Rank instances for a subject, alike wherever the names are alike.

    :param subject: what they are ranked for.
    :param names: the instances.
    :returns: the names, the first in charge first.
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
    """The ranking of live instances for every slot.

    An object's members never change: :meth:`replace` makes a new one, so
    that the former holders of a slot can still be asked for.

    :param zones: each instance's zone, by name.
    """

    __slots__ = ('_candidates', '_orders', '_scores', '_zones')

    def __init__(self, zones: dict[str, str]) -> None:
        self._zones = dict(zones)
        self._scores = {name: _score_slots(name) for name in zones}
        self._candidates: list[list[str] | None] = [None] * SLOT_COUNT
        self._orders: list[tuple[str, ...] | None] = [None] * SLOT_COUNT

    @property
    def names(self) -> set[str]:
        """The instances that are ranked."""
        return set(self._zones)

    def replace(self, zones: dict[str, str]) -> Ranking:
        """Rank another set of instances.

        :param zones: each instance's zone, by name.
        :returns: a ranking that takes over what is unchanged.
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
        """List the first instances of a slot.

        :param slot: its number.
        :returns: home, replica and the next ones, ``DEPTH`` at most.
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
        return tuple(order[:MAX_RANKED])

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
