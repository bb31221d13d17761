"""What a service's home knows of one instance that uses its slots."""

from __future__ import annotations

import collections
import dataclasses

from skylarkfold import request
from skylarkfold.selection import _messages

_LOST_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class UnseenGrant:
    """A grant that the instance has not confirmed yet."""

    sequence: int
    upstream: int
    sent_at: float


class HolderView:
    """One instance's slots and wants, as the home knows them."""

    __slots__ = (
        '_held',
        '_unseen',
        'blocked_until',
        'excluded',
        'failures',
        'heard_at',
        'in_line',
        'sent_at',
        'sequence',
        'waiting',
    )

    def __init__(self, now: float) -> None:
        self._held: dict[int, int] = {}
        self._unseen: collections.deque[UnseenGrant] = collections.deque()
        self.blocked_until: dict[int, float] = {}
        self.excluded: frozenset[int] = frozenset()
        self.failures: dict[int, int] = {}
        self.heard_at = now
        self.in_line = dict.fromkeys(request.Priority, 0)
        self.sent_at = now
        self.sequence = 0
        self.waiting = dict.fromkeys(request.Priority, 0)

    def count_slots(self) -> dict[int, int]:
        """Count the slots held or on their way, by upstream number."""
        counts = dict(self._held)
        for grant in self._unseen:
            counts[grant.upstream] = counts.get(grant.upstream, 0) + 1
        return counts

    def apply(self, now: float, demand: _messages.SlotDemand) -> None:
        """Take the instance's newest statement.

        :param now: the present time.
        :param demand: the statement.
        """
        self.heard_at = now
        self._forget_unseen(now, demand.seen)
        self._held = {each.upstream: each.count for each in demand.held}
        self.excluded = frozenset(demand.excluded)
        self.waiting = {
            request.Priority.ALERT: demand.alerts,
            request.Priority.EXCHANGE: demand.exchanges,
            request.Priority.BULK: demand.bulk,
        }
        for grant in self._unseen:
            self._take_waiting(grant)

    def record_grant(
        self, now: float, upstream: int, priority: request.Priority
    ) -> None:
        """Note a grant that is sent now.

        :param now: the present time.
        :param upstream: the upstream's number.
        :param priority: the class that it is for.
        """
        self.sequence += 1
        self.sent_at = now
        self._unseen.append(UnseenGrant(self.sequence, upstream, now))
        self.waiting[priority] = max(0, self.waiting[priority] - 1)

    def is_blocked(self, now: float, upstream: int) -> bool:
        """Tell whether the instance can't use an upstream for now."""
        if upstream in self.excluded:
            return True
        return now < self.blocked_until.get(upstream, 0.0)

    def _forget_unseen(self, now: float, seen: int) -> None:
        """Forget grants that have arrived, and those that got lost."""
        while self._unseen:
            oldest = self._unseen[0]
            is_lost = now - oldest.sent_at > _LOST_SECONDS
            if oldest.sequence > seen and not is_lost:
                return
            self._unseen.popleft()

    def _take_waiting(self, grant: UnseenGrant) -> None:
        for priority in request.Priority:
            if self.waiting[priority]:
                self.waiting[priority] -= 1
                return
