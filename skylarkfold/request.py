"""Requests, the outcomes of their attempts, and their answers."""

from __future__ import annotations

import dataclasses
import enum

from skylarkfold import verdict as verdict_module

KEY_HEADER = 'Idempotency-Key'
DEADLINE_HEADER = 'Request-Timeout-Ms'
VERDICT_HEADER = 'Request-Verdict'
PRIORITY_HEADER = 'Priority'
RETRY_HEADER = 'Retry-After'


class Priority(enum.IntEnum):
    """The priority class of a request; lower numbers are served first.

    Callers set it with the ``Priority`` header of RFC 9218: urgency 0 and 1
    are alerts, 2 to 4 exchanges, 5 to 7 bulk.
    """

    ALERT = 0
    EXCHANGE = 1
    BULK = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request.

    :param number: a number that is unique on the receiving instance.
    :param service: the service's name.
    :param method: the HTTP method.
    :param target: the path and query.
    :param headers: end-to-end headers, names in lower case.
    :param body: the complete body.
    :param key: the caller's idempotency key; empty if there is none.
    :param idempotent: whether it may be executed more than once.
    :param priority: its priority class.
    :param timeout_seconds: the time from the request's arrival to the
        caller's deadline.
    """

    number: int
    service: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str
    idempotent: bool
    priority: Priority
    timeout_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The final answer to a request.

    :param verdict: whether the request may have run.
    :param status: the HTTP status.
    :param headers: end-to-end headers, names in lower case.
    :param body: the complete body.
    :param code: the error code if it was refused or failed; otherwise
        empty.
    :param retry_after_seconds: the delay to suggest before a retry; None to
        suggest none.
    """

    verdict: verdict_module.Verdict
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    code: str = ''
    retry_after_seconds: float | None = None


class Outcome(enum.StrEnum):
    """How an attempt at an upstream ended.

    ``REFUSED``: the upstream reported that it did not run the request
    (because of overload, draining or an expired deadline).
    ``UNREACHABLE``: no byte of the request was sent. ``BROKEN``: the
    connection ended before the answer was complete. ``TIMED_OUT``: the
    answer was not complete in time.
    """

    ANSWERED = 'answered'
    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    BROKEN = 'broken'
    TIMED_OUT = 'timed-out'
    CANCELLED = 'cancelled'

    @property
    def verdict(self) -> verdict_module.Verdict:
        """The verdict that follows from this outcome alone."""
        if self is Outcome.ANSWERED:
            return verdict_module.Verdict.RAN
        if self in (Outcome.REFUSED, Outcome.UNREACHABLE):
            return verdict_module.Verdict.NOT_RUN
        return verdict_module.Verdict.MAY_HAVE_RUN
