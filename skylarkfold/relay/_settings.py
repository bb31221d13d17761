"""Settings of the relay."""

from __future__ import annotations


class RelaySettings:
    """How what the platform's store holds reaches every instance.

    :param topics: the kinds of objects that are kept, each with a
        position of its own.
    :param wait_seconds: how long the store may hold a watch.
    :param call_timeout_seconds: how long to wait beyond that. The store
        answers in 4 ms; 60 times as long when it is slow.
    :param gather_seconds: the pause before a watch that brought changes
        is renewed, so that a burst of them costs few calls. Changes must
        be in force after 3 s.
    :param least_backoff_seconds: the first pause after a failed call.
    :param most_backoff_seconds: the longest pause between failed calls.
    :param tombstones: how many deletions of a topic are remembered.
    """

    __slots__ = (
        'call_timeout_seconds',
        'gather_seconds',
        'least_backoff_seconds',
        'most_backoff_seconds',
        'tombstones',
        'topics',
        'wait_seconds',
    )

    def __init__(
        self,
        topics: tuple[str, ...] = (),
        wait_seconds: float = 8.0,
        call_timeout_seconds: float = 1.0,
        gather_seconds: float = 0.2,
        least_backoff_seconds: float = 0.1,
        most_backoff_seconds: float = 1.0,
        tombstones: int = 2000,
    ) -> None:
        self.topics = topics
        self.wait_seconds = wait_seconds
        self.call_timeout_seconds = call_timeout_seconds
        self.gather_seconds = gather_seconds
        self.least_backoff_seconds = least_backoff_seconds
        self.most_backoff_seconds = most_backoff_seconds
        self.tombstones = tombstones
