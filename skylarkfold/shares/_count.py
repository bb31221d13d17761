"""Counts of the demand of callers, in bounded memory."""

from __future__ import annotations

from collections.abc import Container
import math

# The requests of one kind: the digest of their service, and their priority.
Kind = tuple[int, int]

# New counts are inflated instead of decaying the old ones. Beyond this
# exponent all counts are scaled back, before they lose precision.
_MAX_EXPONENT = 64.0
# Counts are dropped below this share: what remains of a request after twelve
# time constants.
_FORGOTTEN_SHARE = 6e-6


class CallerCount:
    """The demand of one caller, all values inflated.

    :ivar slot_seconds: the slot seconds requested.
    :ivar new_flow_slot_seconds: the part of them that was for new flows.
    :ivar error: the part of ``slot_seconds`` that may belong to callers that
        had the entry before.
    """

    __slots__ = ('error', 'new_flow_slot_seconds', 'slot_seconds')

    def __init__(self, slot_seconds: float, error: float) -> None:
        self.slot_seconds = slot_seconds
        self.new_flow_slot_seconds = 0.0
        self.error = error


class KindCount:
    """The demand of all callers for one kind, all values inflated.

    :ivar slot_seconds: the slot seconds requested.
    :ivar requests: the number of requests.
    """

    __slots__ = ('requests', 'slot_seconds')

    def __init__(self) -> None:
        self.slot_seconds = 0.0
        self.requests = 0.0


class CallerCounts:
    """Decaying counts of the heaviest callers, by the Space-Saving algorithm.

    When all entries are in use, a new caller replaces the lightest one and
    takes its count as possible error. A count less its error is never more
    than the true demand.

    :param limit: the number of callers counted individually, over all kinds.
    :param window_seconds: time constant of the decay.
    """

    __slots__ = (
        '_callers',
        '_kinds',
        '_limit',
        '_scale_start',
        '_window',
    )

    def __init__(self, limit: int, window_seconds: float) -> None:
        self._limit = max(1, limit)
        self._window = window_seconds
        self._scale_start: float | None = None
        self._callers: dict[tuple[Kind, bytes], CallerCount] = {}
        self._kinds: dict[Kind, KindCount] = {}

    def __len__(self) -> int:
        return len(self._callers)

    def note(
        self,
        now: float,
        kind: Kind,
        caller: bytes,
        slot_seconds: float,
        is_new: bool,
    ) -> None:
        """Count a request.

        :param now: the time.
        :param kind: its service and priority.
        :param caller: its caller.
        :param slot_seconds: how long it occupies a slot.
        :param is_new: whether it opens a flow.
        """
        factor = self._inflate(now)
        value = slot_seconds * factor
        total = self._kinds.get(kind)
        if total is None:
            total = self._kinds[kind] = KindCount()
        total.slot_seconds += value
        total.requests += factor
        known = self._callers.get((kind, caller))
        if known is None:
            known = self._add_caller(kind, caller)
        known.slot_seconds += value
        if is_new:
            known.new_flow_slot_seconds += value

    def expire(self, now: float) -> None:
        """Drop counts that have decayed.

        :param now: the time.
        """
        factor = self._inflate(now)
        for kind, total in list(self._kinds.items()):
            if total.requests < _FORGOTTEN_SHARE * factor:
                del self._kinds[kind]
        for key, known in list(self._callers.items()):
            total = self._kinds.get(key[0])
            if (
                total is None
                or known.slot_seconds < _FORGOTTEN_SHARE * total.slot_seconds
            ):
                del self._callers[key]

    def list_kinds(self) -> list[Kind]:
        """List the kinds with demand."""
        return list(self._kinds)

    def measure_services(self, now: float) -> dict[int, tuple[float, float]]:
        """Return the demand for each service.

        :param now: the time.
        :returns: slots and requests per second, by service.
        """
        measured: dict[int, tuple[float, float]] = {}
        for kind in self._kinds:
            slots, rate = measured.get(kind[0], (0.0, 0.0))
            more, faster = self.measure_kind(now, kind)
            measured[kind[0]] = (slots + more, rate + faster)
        return measured

    def measure_kind(self, now: float, kind: Kind) -> tuple[float, float]:
        """Return the demand for a kind.

        :param now: the time.
        :param kind: the kind.
        :returns: slots and requests per second.
        """
        total = self._kinds.get(kind)
        if total is None:
            return 0.0, 0.0
        scale = self._inflate(now) * self._window
        return total.slot_seconds / scale, total.requests / scale

    def measure_callers(
        self, now: float, kinds: Container[Kind]
    ) -> dict[Kind, dict[bytes, float]]:
        """Return the least demand of each caller, without possible errors.

        :param now: the time.
        :param kinds: the kinds to list.
        :returns: slots, by kind and caller.
        """
        scale = self._inflate(now) * self._window
        measured: dict[Kind, dict[bytes, float]] = {}
        for (kind, caller), known in self._callers.items():
            if kind in kinds:
                slots = (known.slot_seconds - known.error) / scale
                measured.setdefault(kind, {})[caller] = slots
        return measured

    def measure_new_flow_share(self, kind: Kind, caller: bytes) -> float:
        """Return the share of a caller's demand that opens flows.

        :param kind: the kind.
        :param caller: the caller.
        :returns: between 0 and 1.
        """
        known = self._callers.get((kind, caller))
        if known is None or known.slot_seconds <= known.error:
            return 1.0
        return min(
            1.0,
            known.new_flow_slot_seconds / (known.slot_seconds - known.error),
        )

    def _add_caller(self, kind: Kind, caller: bytes) -> CallerCount:
        error = 0.0
        if len(self._callers) >= self._limit:
            lightest = min(
                self._callers, key=lambda key: self._callers[key].slot_seconds
            )
            error = self._callers.pop(lightest).slot_seconds
        known = CallerCount(error, error)
        self._callers[(kind, caller)] = known
        return known

    def _inflate(self, now: float) -> float:
        if self._scale_start is None:
            self._scale_start = now
        exponent = (now - self._scale_start) / self._window
        if exponent > _MAX_EXPONENT:
            self._deflate(math.exp(-min(exponent, 10 * _MAX_EXPONENT)))
            self._scale_start, exponent = now, 0.0
        return math.exp(exponent)

    def _deflate(self, factor: float) -> None:
        for total in self._kinds.values():
            total.slot_seconds *= factor
            total.requests *= factor
        for known in self._callers.values():
            known.slot_seconds *= factor
            known.new_flow_slot_seconds *= factor
            known.error *= factor
