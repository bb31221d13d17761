"""Pauses that grow with each failure, with jitter."""

from __future__ import annotations


import xxhash

from skylarkfold import light_imports


class Jitter(light_imports.Protocol):
    """A source of pauses that differ, for example ``random.Random``."""

    def uniform(self, least: float, most: float) -> float:
        """Draw a number from a range."""


class HashJitter:
    """Jitter from a hash; importing ``random`` takes 10 ms of start.

    :param seed: differs between instances.
    """

    __slots__ = ('_count', '_seed')

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._count = 0

    def uniform(self, least: float, most: float) -> float:
        """Draw a number from a range.

        :param least: the lowest one.
        :param most: the highest one.
        :returns: the number.
        """
        self._count += 1
        drawn = xxhash.xxh32_intdigest(
            self._count.to_bytes(8, 'big'), seed=self._seed & 0xFFFFFFFF
        )
        return least + (most - least) * drawn / 0xFFFFFFFF


class Backoff:
    """Tells when to try again after failures.

    :param first_seconds: the pause after the first failure.
    :param maximum_seconds: the longest pause.
    :param generator: the source of the jitter, seeded by the caller.
    """

    __slots__ = (
        '_first_seconds',
        '_generator',
        '_maximum_seconds',
        'failures',
        'retry_at',
    )

    def __init__(
        self,
        first_seconds: float,
        maximum_seconds: float,
        generator: Jitter,
    ) -> None:
        self._first_seconds = first_seconds
        self._maximum_seconds = maximum_seconds
        self._generator = generator
        self.failures = 0
        self.retry_at = float('-inf')

    def record_failure(self, now: float) -> None:
        """Lengthen the pause.

        :param now: the time in seconds of a monotonic clock.
        """
        pause = self._first_seconds * 2.0 ** min(self.failures, 30)
        pause = min(pause, self._maximum_seconds)
        self.failures += 1
        self.retry_at = now + pause * self._generator.uniform(0.5, 1.0)

    def record_success(self) -> None:
        """End the pause."""
        self.failures = 0
        self.retry_at = float('-inf')
