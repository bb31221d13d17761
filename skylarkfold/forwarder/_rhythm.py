"""How often an instance looks at what is due.

Waking up costs a small machine more than what is done then: one that has
nothing to wait for sleeps.
"""

from __future__ import annotations

# While something waits for a time: a fraction of the patience with a first
# packet.
BUSY_SECONDS = 0.01
# Otherwise: a fraction of the pause between two beacons.
REST_SECONDS = 0.05


def compute_pause(now: float, due: float | None, is_ready: bool) -> float:
    """Compute when to look again.

    :param now: the time.
    :param due: when something waits for a time; None where nothing does.
    :param is_ready: whether all topics are known: until then peers and the
        store are asked within hundredths of a second.
    :returns: seconds from now.
    """
    if not is_ready:
        return BUSY_SECONDS
    if due is None:
        return REST_SECONDS
    return min(max(due - now, BUSY_SECONDS), REST_SECONDS)
