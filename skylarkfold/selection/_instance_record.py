"""The coordinator's record of one instance."""

from __future__ import annotations

import collections
import dataclasses

from skylarkfold import request
from skylarkfold.selection import _messages

_GRANT_TIMEOUT_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class UnacknowledgedGrant:
    """A grant that the instance has not acknowledged yet."""

    sequence: int
    upstream: int
    sent_at: float


class InstanceRecord:
    """Slots and waiting requests of one instance, on the coordinator.

    :ivar blocked_until: end of the time for which the instance gets no
        slot of an upstream, by upstream number.
    :ivar excluded: numbers of upstreams that its request must not use.
    :ivar failures: consecutive failures, by upstream number.
    :ivar heard_at: the time of its last message.
    :ivar queued: entries in the wait queue, by class.
    :ivar sent_at: the time of the last message to it.
    :ivar sequence: the number of the last grant.
    :ivar waiting: requests that wait for a grant, by class.
    """

    __slots__ = (
        '_held',
        '_unacknowledged',
        'blocked_until',
        'excluded',
        'failures',
        'heard_at',
        'queued',
        'sent_at',
        'sequence',
        'waiting',
    )

    def __init__(self, now: float) -> None:
        self._held: dict[int, int] = {}
        self._unacknowledged: collections.deque[UnacknowledgedGrant] = (
            collections.deque()
        )
        self.blocked_until: dict[int, float] = {}
        self.excluded: frozenset[int] = frozenset()
        self.failures: dict[int, int] = {}
        self.heard_at = now
        self.queued = dict.fromkeys(request.Priority, 0)
        self.sent_at = now
        self.sequence = 0
        self.waiting = dict.fromkeys(request.Priority, 0)

    def count_slots(self) -> dict[int, int]:
        """Count the slots that are held or in transit, by upstream number."""
        counts = dict(self._held)
        for grant in self._unacknowledged:
            counts[grant.upstream] = counts.get(grant.upstream, 0) + 1
        return counts

    def apply(self, now: float, demand: _messages.SlotDemand) -> None:
        """Apply a message of the instance.

        :param now: the current time.
        :param demand: the message.
        """
        self.heard_at = now
        self._drop_settled_grants(now, demand.seen)
        self._held = {each.upstream: each.count for each in demand.held}
        self.excluded = frozenset(demand.excluded)
        self.waiting = {
            request.Priority.ALERT: demand.alerts,
            request.Priority.EXCHANGE: demand.exchanges,
            request.Priority.BULK: demand.bulk,
        }
        for grant in self._unacknowledged:
            self._deduct_waiting(grant)

    def record_grant(
        self, now: float, upstream: int, priority: request.Priority
    ) -> None:
        """Record a grant that is being sent.

        :param now: the current time.
        :param upstream: the upstream's number.
        :param priority: the class that it was granted for.
        """
        self.sequence += 1
        self.sent_at = now
        self._unacknowledged.append(
            UnacknowledgedGrant(self.sequence, upstream, now)
        )
        self.waiting[priority] = max(0, self.waiting[priority] - 1)

    def is_blocked(self, now: float, upstream: int) -> bool:
        """Tell whether the instance must not use an upstream for now."""
        if upstream in self.excluded:
            return True
        return now < self.blocked_until.get(upstream, 0.0)

    def _drop_settled_grants(self, now: float, last_sequence: int) -> None:
        """Drop grants that were acknowledged or timed out."""
        while self._unacknowledged:
            oldest = self._unacknowledged[0]
            is_lost = now - oldest.sent_at > _GRANT_TIMEOUT_SECONDS
            if oldest.sequence > last_sequence and not is_lost:
                return
            self._unacknowledged.popleft()

    def _deduct_waiting(self, grant: UnacknowledgedGrant) -> None:
        for priority in request.Priority:
            if self.waiting[priority]:
                self.waiting[priority] -= 1
                return
