"""Learnt slowness of upstreams during their warm-up."""

from __future__ import annotations

# Assumed before any answer is known, so that an upstream is not overloaded at
# the beginning of its warm-up.
_INITIAL_SLOWNESS = 2.0
# Eight consecutive answers in the same direction change the estimate by half.
_SLOWNESS_STEP = 1.05
# Beyond this, an upstream is assumed to be failing rather than slow.
_MAXIMUM_SLOWNESS = 10.0


class WarmUpSlowness:
    """How much longer requests take during the warm-up of a service.

    It is learnt from answers, compared with the usual time of their route.

    :ivar share: the part of an upstream's slots that counts as capacity.
    """

    __slots__ = ('_ratio', 'share')

    def __init__(self) -> None:
        self._ratio = _INITIAL_SLOWNESS
        self.share = 1 / self._ratio

    def record(self, ratio: float) -> None:
        """Record an answer of an upstream that is warming up.

        :param ratio: its time as a multiple of the usual time.
        """
        # Tracks the median, as single requests differ in length.
        if ratio > self._ratio:
            self._ratio *= _SLOWNESS_STEP
        elif ratio < self._ratio:
            self._ratio /= _SLOWNESS_STEP
        self._ratio = min(max(self._ratio, 1.0), _MAXIMUM_SLOWNESS)
        self.share = 1 / self._ratio
