"""Outcome of a conditional write, as a read of its object shows it."""

from __future__ import annotations

import enum

from skylarkfold import platform_api


class WriteOutcome(enum.StrEnum):
    """What is known about a write after reading its object.

    ``DONE``: the object has the written value. ``PENDING``: it still has the
    expected version, so the write may be retried. ``LOST``: another writer
    has written the next version. ``REPLACED``: it has a later version; the
    write may have been applied before. ``STALE``: the read is older than
    what is known already and shows nothing.
    """

    DONE = 'done'
    PENDING = 'pending'
    LOST = 'lost'
    REPLACED = 'replaced'
    STALE = 'stale'


def get_version(current: platform_api.StoredObject | None) -> int:
    """Return the version that a conditional write must expect.

    :param current: the present object; None if there is none.
    :returns: its version; 0 if there is none or it was deleted.
    """
    if current is None or current.value is None:
        return 0
    return current.version


def resolve_write(
    write: platform_api.WriteObject,
    current: platform_api.StoredObject | None,
    had_conflict: bool,
) -> WriteOutcome:
    """Find the outcome of a write whose answer was lost, from a read.

    Writes are told apart by their values, so values of different writers
    have to differ, for example by the writer's name or a write's identity.

    :param write: the write.
    :param current: the object that was read; None if there is none.
    :param had_conflict: whether the platform has answered a retry with a
        conflict: the expected version is no longer present.
    :returns: the outcome.
    """
    version = get_version(current)
    if write.value is None and version == 0 and had_conflict:
        return WriteOutcome.DONE
    if version <= write.expected_version:
        # A retry is safe because the write is conditional.
        return WriteOutcome.STALE if had_conflict else WriteOutcome.PENDING
    if version != write.expected_version + 1 or current is None:
        return WriteOutcome.REPLACED
    if current.value == write.value:
        return WriteOutcome.DONE
    return WriteOutcome.LOST
