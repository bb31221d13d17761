"""Results of the admission queue."""

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
    """A waiting request.

    :param request: the request.
    :param deadline: the time by which the caller needs the answer.
    :param offered_at: the time at which it was offered.
    :param size_bytes: its size as counted towards the bounds.
    """

    request: request_module.Request
    deadline: float
    offered_at: float
    size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request was queued.

    :param evicted: requests of other services that were removed for it;
        each is to be answered at once as refused and not run.
    """

    evicted: tuple[Expired, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The request was refused and did not run.

    :param code: the reason.
    :param retry_after_seconds: the time after which to retry.
    """

    code: RefusalCode
    retry_after_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """A waiting request that was removed and did not run.

    :param request: the request.
    :param code: the reason.
    :param retry_after_seconds: the time after which to retry.
    """

    request: request_module.Request
    code: RefusalCode
    retry_after_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingCounts:
    """The number of waiting requests of each class, for one service."""

    alerts: int = 0
    exchanges: int = 0
    bulk: int = 0

    @property
    def total(self) -> int:
        """The sum over all classes."""
        return self.alerts + self.exchanges + self.bulk

    def get(self, priority: request_module.Priority) -> int:
        """Return the count of one class.

        :param priority: the class.
        :returns: the number of waiting requests.
        """
        if priority is request_module.Priority.ALERT:
            return self.alerts
        if priority is request_module.Priority.EXCHANGE:
            return self.exchanges
        return self.bulk
