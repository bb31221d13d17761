"""The interval between two ticks of an instance.

On a small machine a wake-up costs more than the work of the tick, so ticks are
rare while nothing is due.
"""

from __future__ import annotations

# The shortest interval, while something is due: a fraction of the timeout for
# a first packet.
BUSY_SECONDS = 0.01
# The longest interval: a fraction of the interval between beacons.
REST_SECONDS = 0.05


def compute_pause(now: float, due: float | None, is_ready: bool) -> float:
    """Compute the delay until the next tick.

    :param now: the time.
    :param due: when the next thing is due; None if nothing is.
    :param is_ready: whether all topics are known; until then the interval
        is short, since peers and the store are queried.
    :returns: seconds from now.
    """
    if not is_ready:
        return BUSY_SECONDS
    if due is None:
        return REST_SECONDS
    return min(max(due - now, BUSY_SECONDS), REST_SECONDS)
