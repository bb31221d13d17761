"""What admission answers."""

from __future__ import annotations

import dataclasses
import enum

from skylarkfold import request as request_module


class RefusalCode(enum.StrEnum):
    """Why a request was refused before it was dispatched."""

    QUEUE_FULL = 'queue-full'
    UNFAIR_SHARE = 'over-fair-share'
    DEADLINE = 'deadline-unreachable'
    AGED = 'waited-too-long'


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """A request that waits.

    :param request: the request.
    :param deadline: the time by which its caller wants the answer.
    :param offered_at: when it came.
    :param size_bytes: what it counts against the bounds.
    """

    request: request_module.Request
    deadline: float
    offered_at: float
    size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request waits now.

    :param evicted: requests of other services that had to make room;
        each is to be answered at once as refused and not run.
    """

    evicted: tuple[Expired, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The request was not taken; it did not run.

    :param code: why.
    :param retry_after_seconds: when to come back.
    """

    code: RefusalCode
    retry_after_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """A request that waited and was given up; it did not run.

    :param request: the request.
    :param code: why.
    :param retry_after_seconds: when to come back.
    """

    request: request_module.Request
    code: RefusalCode
    retry_after_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingCounts:
    """How many requests of each class wait for one service."""

    alerts: int = 0
    exchanges: int = 0
    bulk: int = 0

    @property
    def total(self) -> int:
        """The sum over all classes."""
        return self.alerts + self.exchanges + self.bulk

    def get(self, priority: request_module.Priority) -> int:
        """Look up one class.

        :param priority: the class.
        :returns: how many wait.
        """
        if priority is request_module.Priority.ALERT:
            return self.alerts
        if priority is request_module.Priority.EXCHANGE:
            return self.exchanges
        return self.bulk
