"""The next table of a service, worked out from what is known.

A pure function: every instance that knows the same comes to the same
table, and each step leaves established flows where they are.
"""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses

from skylarkfold.flows import _settings
from skylarkfold.flows import _table
from skylarkfold import service as service_module

CLOSED = int(_table.BucketState.CLOSED)
PREPARE = int(_table.BucketState.PREPARE)
OPEN = int(_table.BucketState.OPEN)


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """What a table has to answer to.

    :param service: the service as configured.
    :param dead: names of upstreams that are dead.
    :param prepared: buckets whose preparation is in force everywhere.
    :param emptied: buckets whose flows were all on their target lately.
    :param settled: those of them where that can't change any more.
    :param free_count: how many buckets are to place new flows by load;
        None for the number that the preference asks for.
    """

    service: service_module.Service
    dead: frozenset[str] = frozenset()
    prepared: frozenset[int] = frozenset()
    emptied: frozenset[int] = frozenset()
    settled: frozenset[int] = frozenset()
    free_count: int | None = None


def plan_table(
    table: _table.BucketTable,
    situation: Situation,
    settings: _settings.FlowSettings,
) -> _table.BucketTable | None:
    """Work out the table that should follow.

    :param table: the table in force.
    :param situation: what it has to answer to.
    :param settings: the flow settings.
    :returns: the next table, or None if this one can stay.
    """
    edit = _Edit(table, situation, settings)
    edit.apply()
    planned = edit.build()
    return None if planned == table else planned


class _Edit:
    """A table under change; each method is one step."""

    def __init__(
        self,
        table: _table.BucketTable,
        situation: Situation,
        settings: _settings.FlowSettings,
    ) -> None:
        self._service = situation.service
        self._situation = situation
        self._settings = settings
        self._upstreams = list(table.upstreams)
        self._states = list(table.states)
        self._unpinned = list(table.unpinned)
        self._targets = list(table.targets)
        self._serial = table.serial
        self._dead: list[int] = []
        self._indexes: dict[str, int] = {}
        self._missing: dict[int, int] = {}

    def build(self) -> _table.BucketTable:
        """Give the changed table."""
        return _table.BucketTable(
            upstreams=self._upstreams,
            dead=self._dead,
            states=self._states,
            unpinned=self._unpinned,
            targets=self._targets,
            serial=self._serial,
        )

    def apply(self) -> None:
        """Take all steps in order."""
        self._add_upstreams()
        self._mark_dead()
        self._close_settled()
        self._commit_prepared()
        self._adjust_free()
        self._count_missing()
        self._release_dead()
        self._leave_ineligible()
        self._even_out()

    def _add_upstreams(self) -> None:
        positions = {
            each.name: index for index, each in enumerate(self._upstreams)
        }
        for upstream in self._service.upstreams:
            described = _table.describe_upstream(upstream)
            index = positions.get(upstream.name)
            if index is None:
                positions[upstream.name] = len(self._upstreams)
                self._upstreams.append(described)
            elif self._upstreams[index] != described:
                self._upstreams[index] = described
        self._indexes = positions

    def _mark_dead(self) -> None:
        self._dead = [
            index
            for index, upstream in enumerate(self._upstreams)
            if upstream.name in self._situation.dead
        ]

    def _close_settled(self) -> None:
        """Close buckets in two steps.

        First flows without a pin go to the target as well, so that no
        home puts one elsewhere. Once that is in force everywhere and the
        home still finds all flows on the target, the bucket closes.
        """
        for bucket in sorted(self._situation.emptied):
            target = self._targets[bucket]
            if self._states[bucket] != OPEN or target == _table.FREE:
                continue
            if self._unpinned[bucket] != target:
                self._unpinned[bucket] = target
            elif bucket in self._situation.settled:
                self._states[bucket] = CLOSED

    def _commit_prepared(self) -> None:
        for bucket in sorted(self._situation.prepared):
            if self._states[bucket] == PREPARE:
                self._states[bucket] = OPEN

    def _adjust_free(self) -> None:
        wanted = self._situation.free_count
        if wanted is None:
            wanted = _table.count_free(self._service, self._settings)
        free = [
            bucket
            for bucket, target in enumerate(self._targets)
            if target == _table.FREE and self._states[bucket] != CLOSED
        ]
        if wanted > len(free):
            self._open_freely(wanted - len(free))
        for bucket in free[wanted:] if wanted < len(free) else []:
            self._targets[bucket] = self._unpinned[bucket]

    def _open_freely(self, count: int) -> None:
        closed = [
            bucket
            for bucket, state in enumerate(self._states)
            if state == CLOSED
        ]
        count = min(count, len(closed))
        for position in _table.spread_evenly(count, len(closed)):
            self._states[closed[position]] = PREPARE
            self._targets[closed[position]] = _table.FREE

    def _count_missing(self) -> None:
        eligible = _table.list_eligible(self._service, self._situation.dead)
        weights = {each.name: each.weight for each in eligible}
        bound = list(self._list_bound())
        if not weights:
            return
        shares = _table.apportion(weights, len(bound))
        self._missing = {
            self._indexes[name]: share for name, share in shares.items()
        }
        for bucket in bound:
            owner = self._targets[bucket]
            if owner in self._missing:
                self._missing[owner] -= 1

    def _list_bound(self) -> Iterator[int]:
        for bucket, target in enumerate(self._targets):
            if target != _table.FREE or self._states[bucket] == CLOSED:
                yield bucket

    def _release_dead(self) -> None:
        dead = {*self._dead, _table.NO_UPSTREAM}
        for bucket, owner in enumerate(self._unpinned):
            if owner in dead and self._missing:
                self._release(bucket, dead)

    def _release(self, bucket: int, dead: set[int]) -> None:
        target = self._targets[bucket]
        if self._states[bucket] == CLOSED:
            self._unpinned[bucket] = self._take_missing()
            self._targets[bucket] = self._unpinned[bucket]
        elif target == _table.FREE:
            self._unpinned[bucket] = self._find_most_missing()
        elif target in dead:
            self._targets[bucket] = self._take_missing()
            self._unpinned[bucket] = self._targets[bucket]
        else:
            self._unpinned[bucket] = target

    def _leave_ineligible(self) -> None:
        for bucket in list(self._list_bound()):
            if self._missing and self._targets[bucket] not in self._missing:
                self._move(bucket, self._take_missing())

    def _even_out(self) -> None:
        allowance = self._count_allowance()
        for bucket in self._order_for_moves():
            owner = self._targets[bucket]
            if self._missing.get(owner, 0) >= 0:
                continue
            if self._states[bucket] == CLOSED:
                if allowance <= 0:
                    return
                allowance -= 1
            self._missing[owner] += 1
            self._move(bucket, self._take_missing())

    def _order_for_moves(self) -> list[int]:
        return sorted(
            self._list_bound(),
            key=lambda bucket: self._states[bucket] == CLOSED,
        )

    def _count_allowance(self) -> int:
        share = self._settings.continuity_open_share
        if self._service.preference is service_module.Preference.BALANCE:
            share = self._settings.balance_open_share
        moving = sum(
            self._states[bucket] != CLOSED for bucket in self._list_bound()
        )
        return int(share * len(self._states)) - moving

    def _take_missing(self) -> int:
        index = self._find_most_missing()
        self._missing[index] -= 1
        return index

    def _find_most_missing(self) -> int:
        return max(
            self._missing, key=lambda each: (self._missing[each], -each)
        )

    def _move(self, bucket: int, target: int) -> None:
        self._targets[bucket] = target
        if self._states[bucket] == CLOSED:
            self._states[bucket] = PREPARE
