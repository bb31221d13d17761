"""Answers that the core itself gives, and checks of upstreams' answers."""

from __future__ import annotations

import dataclasses
import enum

from skylarkfold import event
from skylarkfold import request as request_module
from skylarkfold import verdict as verdict_module


class ErrorCode(enum.StrEnum):
    """Why a request was refused or failed; stable for callers."""

    NO_SERVICE = 'no-service'
    NO_UPSTREAM = 'no-upstream'
    STOPPING = 'stopping'
    DEADLINE_EXCEEDED = 'deadline-exceeded'
    UPSTREAM_REFUSED = 'upstream-refused'
    UPSTREAM_UNREACHABLE = 'upstream-unreachable'
    UPSTREAM_BROKEN = 'upstream-broken'
    CANCELLED = 'cancelled'
    PAUSED = 'instance-was-paused'
    KEY_REUSED = 'key-reused'
    KEY_IN_USE = 'key-in-use'
    KEY_UNVERIFIED = 'key-unverified'
    KEY_OWNER_LOST = 'key-owner-lost'
    KEY_MEMORY_FULL = 'key-memory-full'
    ANSWER_FORGOTTEN = 'answer-forgotten'


_STATUSES = {
    ErrorCode.NO_SERVICE: 404,
    ErrorCode.DEADLINE_EXCEEDED: 504,
    ErrorCode.UPSTREAM_BROKEN: 502,
    ErrorCode.KEY_REUSED: 422,
    ErrorCode.KEY_IN_USE: 409,
    ErrorCode.ANSWER_FORGOTTEN: 409,
}
_UNAVAILABLE = 503
_NOT_MODIFIED = 304

_OUTCOME_CODES = {
    request_module.Outcome.REFUSED: ErrorCode.UPSTREAM_REFUSED,
    request_module.Outcome.UNREACHABLE: ErrorCode.UPSTREAM_UNREACHABLE,
    request_module.Outcome.BROKEN: ErrorCode.UPSTREAM_BROKEN,
    request_module.Outcome.TIMED_OUT: ErrorCode.DEADLINE_EXCEEDED,
    request_module.Outcome.CANCELLED: ErrorCode.CANCELLED,
}


def build_refusal(
    verdict: verdict_module.Verdict,
    code: str,
    retry_after_seconds: float | None = None,
) -> request_module.Answer:
    """Make the answer to a request that has no upstream's answer.

    :param verdict: whether it may have run.
    :param code: why, a :class:`ErrorCode` or a code of the admission queue.
    :param retry_after_seconds: when to come back.
    :returns: the answer.
    """
    return request_module.Answer(
        verdict=verdict,
        status=_STATUSES.get(code, _UNAVAILABLE),
        code=str(code),
        retry_after_seconds=retry_after_seconds,
    )


def get_error_code(outcome: request_module.Outcome) -> ErrorCode:
    """Name the code of an attempt that brought no answer.

    :param outcome: how it ended.
    :returns: the code for the caller.
    """
    return _OUTCOME_CODES[outcome]


def mark_as_ran(answer: request_module.Answer) -> request_module.Answer:
    """Mark an upstream's whole answer as such.

    :param answer: what the upstream answered.
    :returns: the same with the verdict that the request ran.
    """
    ran = verdict_module.Verdict.RAN
    if answer.verdict is ran:
        return answer
    return dataclasses.replace(answer, verdict=ran)


def is_complete(
    request: request_module.Request, answer: request_module.Answer | None
) -> bool:
    """Tell whether an answer has all the bytes that it announces.

    :param request: the request that it answers.
    :param answer: the answer, or None.
    :returns: False where it is missing or shorter than announced.
    """
    if answer is None:
        return False
    if request.method == 'HEAD' or answer.status == _NOT_MODIFIED:
        return True
    headers = dict(answer.headers)
    announced = headers.get('content-length', '')
    if 'content-encoding' in headers or not announced.isdecimal():
        return True
    return len(answer.body) >= int(announced)


def classify_attempt(
    request: request_module.Request, ended: event.AttemptEnded
) -> request_module.Outcome:
    """Tell how an attempt ended, its answer checked.

    :param request: the request.
    :param ended: what was seen of the attempt.
    :returns: the outcome; broken where the answer is cut off.
    """
    answered = request_module.Outcome.ANSWERED
    if ended.outcome is not answered or is_complete(request, ended.answer):
        return ended.outcome
    return request_module.Outcome.BROKEN


def can_relay(answer: request_module.Answer) -> bool:
    """Tell whether an answer for a key is still true when it arrives.

    That a request did not run may be outdated by the time a peer is
    told: another may have run it since. That its key belongs to another
    request lasts.

    :param answer: a peer's answer for a key.
    :returns: whether it may be passed on.
    """
    is_not_run = answer.verdict is verdict_module.Verdict.NOT_RUN
    return not is_not_run or answer.code == ErrorCode.KEY_REUSED
