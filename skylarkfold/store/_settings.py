"""Settings of the platform client."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """Rate limits, deadlines and back-off of an instance's platform client.

    They apply to the instance's writes and to the reads after lost answers;
    listings and watches are limited by ``distribution`` and ``membership``.
    600 instances with the defaults send at most 300 writes and 300 reads per
    second.

    :param reads_per_second: the sustained rate of reads.
    :param writes_per_second: the sustained rate of writes.
    :param burst_calls: the largest burst of each.
    :param maximum_calls: the largest number of open calls.
    :param maximum_waiting: the largest number of pending writes; further
        ones are refused at once.
    :param timeout_seconds: the timeout of a call.
    :param patience_seconds: the time for all tries of a write.
    :param retry_seconds: the first pause after a failed call.
    :param maximum_retry_seconds: the longest pause between tries.
    """

    reads_per_second: float = 0.5
    writes_per_second: float = 0.5
    burst_calls: int = 10
    maximum_calls: int = 8
    maximum_waiting: int = 256
    timeout_seconds: float = 3.0
    patience_seconds: float = 60.0
    retry_seconds: float = 0.2
    maximum_retry_seconds: float = 15.0

    def __post_init__(self) -> None:
        least = min(
            self.reads_per_second,
            self.writes_per_second,
            self.timeout_seconds,
            self.retry_seconds,
            self.burst_calls,
            self.maximum_calls,
        )
        if least <= 0:
            raise ValueError('rates, counts and times must be above 0')
        if self.maximum_retry_seconds < self.retry_seconds:
            raise ValueError('maximum_retry_seconds is below retry_seconds')
