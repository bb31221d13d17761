"""Exponential backoff with jitter."""

from __future__ import annotations


import xxhash

from skylarkfold import light_imports


class Jitter(light_imports.Protocol):
    """A source of random numbers, for example ``random.Random``."""

    def uniform(self, least: float, most: float) -> float:
        """Draw a number from a range."""


class HashJitter:
    """Jitter from a hash, since importing ``random`` takes 10 ms.

    :param seed: the seed; must differ between instances.
    """

    __slots__ = ('_draws', '_seed')

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._draws = 0

    def uniform(self, least: float, most: float) -> float:
        """Draw a number from a range.

        :param least: the lower bound.
        :param most: the upper bound.
        :returns: the number.
        """
        self._draws += 1
        drawn = xxhash.xxh32_intdigest(
            self._draws.to_bytes(8, 'big'), seed=self._seed & 0xFFFFFFFF
        )
        return least + (most - least) * drawn / 0xFFFFFFFF


class Backoff:
    """Computes when to retry after failures.

    :param first_seconds: the delay after the first failure, before jitter.
    :param maximum_seconds: the upper bound of the delay.
    :param generator: the source of the jitter.
    :ivar failures: the number of failures since the last success.
    :ivar retry_at: the time at which to retry; negative infinity if no
        failure was recorded since the last success.
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
        """Record a failure and schedule the next retry.

        :param now: the time in seconds of a monotonic clock.
        """
        pause = self._first_seconds * 2.0 ** min(self.failures, 30)
        pause = min(pause, self._maximum_seconds)
        self.failures += 1
        self.retry_at = now + pause * self._generator.uniform(0.5, 1.0)

    def record_success(self) -> None:
        """Record a success and reset the delay."""
        self.failures = 0
        self.retry_at = float('-inf')
