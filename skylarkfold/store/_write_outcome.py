"""What a read tells about a conditional write."""

from __future__ import annotations

import enum

from skylarkfold import platform_api


class WriteOutcome(enum.StrEnum):
    """What is known about a write after reading its object back.

    ``DONE``: the value stands as it was written. ``PENDING``: the expected
    version still stands; the write may be tried again. ``LOST``: another
    writer's value stands in its place. ``REPLACED``: later versions stand;
    the write may have stood before them. ``STALE``: the read is older
    than what is known already and tells nothing.
    """

    DONE = 'done'
    PENDING = 'pending'
    LOST = 'lost'
    REPLACED = 'replaced'
    STALE = 'stale'


def get_version(current: platform_api.StoredObject | None) -> int:
    """Tell the version that a conditional write must expect.

    :param current: what stands there; None for nothing.
    :returns: its version, 0 for nothing.
    """
    if current is None or current.value is None:
        return 0
    return current.version


def resolve_write(
    write: platform_api.WriteObject,
    current: platform_api.StoredObject | None,
    was_refused: bool,
) -> WriteOutcome:
    """Judge a write whose answer was lost by what stands in its place.

    The values of writers that must not be taken for each other have to
    differ, for example by the name of the writer or a write's identity.

    :param write: the write.
    :param current: what was read; None for nothing.
    :param was_refused: whether the platform has answered a later try that
        the expected version does not stand there.
    :returns: what follows.
    """
    version = get_version(current)
    if write.value is None and version == 0 and was_refused:
        return WriteOutcome.DONE
    if version <= write.expected_version:
        # Trying again does no harm: the write is conditional.
        return WriteOutcome.STALE if was_refused else WriteOutcome.PENDING
    if version != write.expected_version + 1 or current is None:
        return WriteOutcome.REPLACED
    if current.value == write.value:
        return WriteOutcome.DONE
    return WriteOutcome.LOST
