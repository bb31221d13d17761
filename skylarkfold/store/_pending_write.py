"""A write on its way to a settled outcome."""

from __future__ import annotations

from skylarkfold import platform_api


class PendingWrite:
    """One conditional write and what is known about it.

    :param write: the write.
    :param now: when it was asked for, in seconds of a monotonic clock.
    """

    __slots__ = (
        'answer_lost',
        'asked_at',
        'call',
        'current',
        'must_read',
        'revision',
        'sent_at',
        'wait_until',
        'was_refused',
        'write',
    )

    def __init__(self, write: platform_api.WriteObject, now: float) -> None:
        self.write = write
        self.asked_at = now
        self.call = 0
        self.sent_at = now
        self.wait_until = now
        self.must_read = False
        self.revision = 0
        self.answer_lost = False
        self.was_refused = False
        self.current: platform_api.StoredObject | None = None

    @property
    def is_waiting(self) -> bool:
        """Tell whether no call of it is on its way."""
        return self.call == 0

    def build_call(self) -> platform_api.PlatformCall:
        """Build the next call: the write, or the read that settles it."""
        if self.must_read:
            return platform_api.ReadObject(self.write.path)
        return self.write
