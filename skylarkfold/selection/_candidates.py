"""Upstreams that can take one more request."""

from __future__ import annotations

import dataclasses

from skylarkfold.selection import _instance_record
from skylarkfold.selection import _upstream_record

_Records = list[_upstream_record.UpstreamRecord]


@dataclasses.dataclass(frozen=True, slots=True)
class CandidateSet:
    """The upstreams that can take one more request from some instance.

    :param usable: all upstreams in use, including those at their limit.
    :param free: those with a free slot.
    :param pipelined: those that may queue a request beyond their slots.
    :param slow: slow ones that would answer before the queue is served.
    """

    usable: _Records
    free: _Records = dataclasses.field(default_factory=list)
    pipelined: _Records = dataclasses.field(default_factory=list)
    slow: _Records = dataclasses.field(default_factory=list)

    @property
    def is_empty(self) -> bool:
        """Tell whether no upstream can take a request."""
        return not (self.free or self.pipelined or self.slow)

    def choose(
        self,
        now: float,
        instance: _instance_record.InstanceRecord,
        is_alert: bool,
    ) -> _upstream_record.UpstreamRecord | None:
        """Choose an upstream for an instance.

        :param now: the current time.
        :param instance: the instance that sends the request.
        :param is_alert: whether the request is an alert, which avoids
            upstreams on probation.
        :returns: the one with the least work so far, or None.
        """
        free = self._list_reachable(now, self.free, instance)
        if free:
            return min(
                free,
                key=lambda each: (
                    is_alert and each.is_on_probation,
                    each.work,
                ),
            )
        pipelined = [] if is_alert else self.pipelined
        rest = self._list_reachable(now, pipelined or self.slow, instance)
        return min(
            rest, key=lambda each: (each.running, each.work), default=None
        )

    def _list_reachable(
        self,
        now: float,
        records: _Records,
        instance: _instance_record.InstanceRecord,
    ) -> _Records:
        reachable = [
            each
            for each in records
            if not instance.is_blocked(now, each.number)
        ]
        if reachable:
            return reachable
        if all(instance.is_blocked(now, each.number) for each in self.usable):
            # An instance that reached no upstream recently has to keep
            # trying in order to notice when it can.
            return [
                each
                for each in records
                if each.number not in instance.excluded
            ]
        return []
