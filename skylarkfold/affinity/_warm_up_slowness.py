"""How slow upstreams are while they warm up."""

from __future__ import annotations

# Taken before any answer is known: half of the slots, so that one that is
# sent too much at first is not late for all of its start.
_INITIAL_SLOWNESS = 2.0
# Eight answers in a row move it by half: one start of one upstream is enough.
_SLOWNESS_STEP = 1.05
# Beyond this an upstream is taken for out of order, not slow.
_MAXIMUM_SLOWNESS = 10.0


class WarmUpSlowness:
    """How much longer requests take while upstreams of a service warm up.

    Learnt from answers: how long one takes beside what others of its route
    take.

    :ivar share: of its slots that one counts for meanwhile.
    """

    __slots__ = ('_ratio', 'share')

    def __init__(self) -> None:
        self._ratio = _INITIAL_SLOWNESS
        self.share = 1 / self._ratio

    def record(self, ratio: float) -> None:
        """Take an answer of one that warms up.

        :param times: how long it took, as a multiple of the usual time.
        """
        # Towards the median, as single requests differ by their work.
        if ratio > self._ratio:
            self._ratio *= _SLOWNESS_STEP
        elif ratio < self._ratio:
            self._ratio /= _SLOWNESS_STEP
        self._ratio = min(max(self._ratio, 1.0), _MAXIMUM_SLOWNESS)
        self.share = 1 / self._ratio
