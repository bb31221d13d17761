"""Planning of a service's next bucket table.

Planning is a pure function, so that instances with the same data plan the
same table. Each step leaves established flows on their upstream.
"""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses

from skylarkfold.flows import _settings
from skylarkfold.flows import _table
from skylarkfold import service as service_module

CLOSED = int(_table.BucketState.CLOSED)
PREPARING = int(_table.BucketState.PREPARING)
OPEN = int(_table.BucketState.OPEN)


@dataclasses.dataclass(frozen=True, slots=True)
class PlanInput:
    """The data that a table is planned from.

    :param service: the service as configured.
    :param dead: the names of dead upstreams.
    :param prepared: the preparing buckets that all instances know of.
    :param migrated: the buckets whose flows were all on their target
        according to a recent report.
    :param settled: those of them for which all instances had applied the
        bucket's last change by then, so that the report stays true.
    :param balanced_count: how many buckets should place new flows by load;
        None for the default of the service's preference.
    """

    service: service_module.Service
    dead: frozenset[str] = frozenset()
    prepared: frozenset[int] = frozenset()
    migrated: frozenset[int] = frozenset()
    settled: frozenset[int] = frozenset()
    balanced_count: int | None = None


def plan_table(
    table: _table.BucketTable,
    plan_input: PlanInput,
    settings: _settings.FlowSettings,
) -> _table.BucketTable | None:
    """Plan the table that should follow the current one.

    :param table: the current table.
    :param plan_input: the data to plan from.
    :param settings: the flow settings.
    :returns: the next table, or None if no change is due.
    """
    edit = _TableEdit(table, plan_input, settings)
    edit.apply()
    planned = edit.build()
    return None if planned == table else planned


class _TableEdit:
    """A table being edited; each method called by apply is one step."""

    def __init__(
        self,
        table: _table.BucketTable,
        plan_input: PlanInput,
        settings: _settings.FlowSettings,
    ) -> None:
        self._service = plan_input.service
        self._input = plan_input
        self._settings = settings
        self._upstreams = list(table.upstreams)
        self._states = list(table.states)
        self._unpinned = list(table.unpinned)
        self._targets = list(table.targets)
        self._serial = table.serial
        self._dead: list[int] = []
        self._indexes: dict[str, int] = {}
        self._deficits: dict[int, int] = {}

    def build(self) -> _table.BucketTable:
        """Return the edited table."""
        return _table.BucketTable(
            upstreams=self._upstreams,
            dead=self._dead,
            states=self._states,
            unpinned=self._unpinned,
            targets=self._targets,
            serial=self._serial,
        )

    def apply(self) -> None:
        """Apply all steps in order."""
        self._add_upstreams()
        self._mark_dead()
        self._close_migrated()
        self._open_prepared()
        self._adjust_balanced()
        self._compute_deficits()
        self._reassign_dead()
        self._move_off_ineligible()
        self._rebalance()

    def _add_upstreams(self) -> None:
        positions = {
            each.name: index for index, each in enumerate(self._upstreams)
        }
        for upstream in self._service.upstreams:
            table_upstream = _table.describe_upstream(upstream)
            index = positions.get(upstream.name)
            if index is None:
                positions[upstream.name] = len(self._upstreams)
                self._upstreams.append(table_upstream)
            elif self._upstreams[index] != table_upstream:
                self._upstreams[index] = table_upstream
        self._indexes = positions

    def _mark_dead(self) -> None:
        self._dead = [
            index
            for index, upstream in enumerate(self._upstreams)
            if upstream.name in self._input.dead
        ]

    def _close_migrated(self) -> None:
        """Close migrated buckets in two steps.

        First the target also becomes the upstream of flows without a pin, so
        that no home sends one elsewhere. The bucket closes once all instances
        have applied that and the home still finds all flows on the target.
        """
        for bucket in sorted(self._input.migrated):
            target = self._targets[bucket]
            if self._states[bucket] != OPEN or target == _table.BY_LOAD:
                continue
            if self._unpinned[bucket] != target:
                self._unpinned[bucket] = target
            elif bucket in self._input.settled:
                self._states[bucket] = CLOSED

    def _open_prepared(self) -> None:
        for bucket in sorted(self._input.prepared):
            if self._states[bucket] == PREPARING:
                self._states[bucket] = OPEN

    def _adjust_balanced(self) -> None:
        """Change how many buckets place new flows by load, if necessary."""
        wanted = self._input.balanced_count
        if wanted is None:
            wanted = _table.count_balanced(self._service, self._settings)
        balanced = [
            bucket
            for bucket, target in enumerate(self._targets)
            if target == _table.BY_LOAD and self._states[bucket] != CLOSED
        ]
        if wanted > len(balanced):
            self._open_balanced(wanted - len(balanced))
        for bucket in balanced[wanted:] if wanted < len(balanced) else []:
            self._targets[bucket] = self._unpinned[bucket]

    def _open_balanced(self, count: int) -> None:
        closed = [
            bucket
            for bucket, state in enumerate(self._states)
            if state == CLOSED
        ]
        count = min(count, len(closed))
        for position in _table.spread_evenly(count, len(closed)):
            self._states[closed[position]] = PREPARING
            self._targets[closed[position]] = _table.BY_LOAD

    def _compute_deficits(self) -> None:
        """Compute how many buckets each eligible upstream lacks by weight."""
        eligible = _table.list_eligible(self._service, self._input.dead)
        weights = {each.name: each.weight for each in eligible}
        assigned = list(self._list_assigned())
        if not weights:
            return
        shares = _table.apportion(weights, len(assigned))
        self._deficits = {
            self._indexes[name]: share for name, share in shares.items()
        }
        for bucket in assigned:
            owner = self._targets[bucket]
            if owner in self._deficits:
                self._deficits[owner] -= 1

    def _list_assigned(self) -> Iterator[int]:
        """List the buckets whose target is an upstream."""
        for bucket, target in enumerate(self._targets):
            if target != _table.BY_LOAD or self._states[bucket] == CLOSED:
                yield bucket

    def _reassign_dead(self) -> None:
        dead = {*self._dead, _table.NO_UPSTREAM}
        for bucket, owner in enumerate(self._unpinned):
            if owner in dead and self._deficits:
                self._reassign(bucket, dead)

    def _reassign(self, bucket: int, dead: set[int]) -> None:
        target = self._targets[bucket]
        if self._states[bucket] == CLOSED:
            self._unpinned[bucket] = self._take_largest_deficit()
            self._targets[bucket] = self._unpinned[bucket]
        elif target == _table.BY_LOAD:
            self._unpinned[bucket] = self._find_largest_deficit()
        elif target in dead:
            self._targets[bucket] = self._take_largest_deficit()
            self._unpinned[bucket] = self._targets[bucket]
        else:
            self._unpinned[bucket] = target

    def _move_off_ineligible(self) -> None:
        """Move buckets from upstreams that take no new flows."""
        for bucket in list(self._list_assigned()):
            if self._deficits and self._targets[bucket] not in self._deficits:
                self._move(bucket, self._take_largest_deficit())

    def _rebalance(self) -> None:
        """Move buckets from upstreams that have too many by weight."""
        allowed = self._count_allowed_moves()
        for bucket in self._list_move_order():
            owner = self._targets[bucket]
            if self._deficits.get(owner, 0) >= 0:
                continue
            if self._states[bucket] == CLOSED:
                if allowed <= 0:
                    return
                allowed -= 1
            self._deficits[owner] += 1
            self._move(bucket, self._take_largest_deficit())

    def _list_move_order(self) -> list[int]:
        """List the buckets to move, those that are already moving first."""
        return sorted(
            self._list_assigned(),
            key=lambda bucket: self._states[bucket] == CLOSED,
        )

    def _count_allowed_moves(self) -> int:
        share = self._settings.continuity_open_share
        if self._service.preference is service_module.Preference.BALANCE:
            share = self._settings.balance_open_share
        moving = sum(
            self._states[bucket] != CLOSED for bucket in self._list_assigned()
        )
        return int(share * len(self._states)) - moving

    def _take_largest_deficit(self) -> int:
        index = self._find_largest_deficit()
        self._deficits[index] -= 1
        return index

    def _find_largest_deficit(self) -> int:
        return max(
            self._deficits, key=lambda each: (self._deficits[each], -each)
        )

    def _move(self, bucket: int, target: int) -> None:
        self._targets[bucket] = target
        if self._states[bucket] == CLOSED:
            self._states[bucket] = PREPARING
