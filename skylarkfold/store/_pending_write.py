"""State of a write until its outcome is known."""

from __future__ import annotations

from skylarkfold import platform_api


class PendingWrite:
    """One conditional write and what is known about it.

    :param write: the write.
    :param now: when it was requested, in seconds of a monotonic clock.
    :ivar call_number: the number of its open call; 0 without one.
    :ivar current: the object as last known; part of the outcome.
    :ivar had_conflict: whether the platform has answered a conflict.
    :ivar is_answer_lost: whether the answer to a write call was lost.
    :ivar known_revision: the latest revision of the object seen in a watch.
    :ivar needs_read: whether the next call is a read.
    :ivar not_before: when the next call may be sent.
    :ivar sent_at: when the last call was sent.
    """

    __slots__ = (
        'call_number',
        'current',
        'had_conflict',
        'is_answer_lost',
        'known_revision',
        'needs_read',
        'not_before',
        'requested_at',
        'sent_at',
        'write',
    )

    def __init__(self, write: platform_api.WriteObject, now: float) -> None:
        self.write = write
        self.requested_at = now
        self.call_number = 0
        self.sent_at = now
        self.not_before = now
        self.needs_read = False
        self.known_revision = 0
        self.is_answer_lost = False
        self.had_conflict = False
        self.current: platform_api.StoredObject | None = None

    @property
    def is_idle(self) -> bool:
        """Whether it has no open call."""
        return self.call_number == 0

    def build_call(self) -> platform_api.PlatformCall:
        """Build the next call: the write, or a read to find its outcome."""
        if self.needs_read:
            return platform_api.ReadObject(self.write.path)
        return self.write
