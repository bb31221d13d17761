"""Upstreams that may be sent one more request."""

from __future__ import annotations

import dataclasses

from skylarkfold.selection import _instance_record
from skylarkfold.selection import _upstream_record

_Records = list[_upstream_record.UpstreamRecord]


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """The upstreams with room, for whichever instance is granted it.

    :param usable: all upstreams that are in use, with room or without.
    :param free: those with a free slot.
    :param extra: those that may keep a request in their own queue.
    :param spare: slow ones that are faster than waiting.
    """

    usable: _Records
    free: _Records = dataclasses.field(default_factory=list)
    extra: _Records = dataclasses.field(default_factory=list)
    spare: _Records = dataclasses.field(default_factory=list)

    @property
    def is_empty(self) -> bool:
        """Tell whether there is none at all."""
        return not (self.free or self.extra or self.spare)

    def choose(
        self, now: float, view: _instance_record.HolderView, is_alert: bool
    ) -> _upstream_record.UpstreamRecord | None:
        """Choose an upstream for an instance.

        :param now: the present time.
        :param view: the instance that it is for.
        :param is_alert: whether an alert is to be sent, which is not what
            an upstream on trial should be tried with.
        :returns: the one with the least work so far, or None.
        """
        free = self._list_reachable(now, self.free, view)
        if free:
            return min(
                free,
                key=lambda each: (is_alert and each.is_on_trial, each.work),
            )
        extra = [] if is_alert else self.extra
        rest = self._list_reachable(now, extra or self.spare, view)
        return min(
            rest, key=lambda each: (each.running, each.work), default=None
        )

    def _list_reachable(
        self, now: float, records: _Records, view: _instance_record.HolderView
    ) -> _Records:
        reachable = [
            each for each in records if not view.is_blocked(now, each.number)
        ]
        if reachable:
            return reachable
        if all(view.is_blocked(now, each.number) for each in self.usable):
            # It reached nothing lately, and must go on trying.
            return [
                each for each in records if each.number not in view.excluded
            ]
        return []
