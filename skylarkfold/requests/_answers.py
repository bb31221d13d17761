"""Error answers of the core and validation of upstreams' answers."""

from __future__ import annotations

import dataclasses
import enum

from skylarkfold import event
from skylarkfold import request as request_module
from skylarkfold import verdict as verdict_module


class ErrorCode(enum.StrEnum):
    """Reasons why a request was refused or failed; callers rely on them."""

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
    """Build the answer to a request that no upstream has answered.

    :param verdict: whether the request may have run.
    :param code: an :class:`ErrorCode` or a code of the admission queue.
    :param retry_after_seconds: how long the caller should wait before it
        tries again.
    :returns: the answer, with the HTTP status of the code.
    """
    return request_module.Answer(
        verdict=verdict,
        status=_STATUSES.get(code, _UNAVAILABLE),
        code=str(code),
        retry_after_seconds=retry_after_seconds,
    )


def get_error_code(outcome: request_module.Outcome) -> ErrorCode:
    """Return the error code for an attempt that ended without an answer.

    :param outcome: how the attempt ended.
    :returns: the code for the caller.
    """
    return _OUTCOME_CODES[outcome]


def mark_as_ran(answer: request_module.Answer) -> request_module.Answer:
    """Set the verdict of an upstream's complete answer to ``RAN``.

    :param answer: the upstream's answer.
    :returns: the answer with that verdict.
    """
    ran = verdict_module.Verdict.RAN
    if answer.verdict is ran:
        return answer
    return dataclasses.replace(answer, verdict=ran)


def is_complete(
    request: request_module.Request, answer: request_module.Answer | None
) -> bool:
    """Return whether an answer's body has its full Content-Length.

    :param request: the request that it answers.
    :param answer: the answer, or None.
    :returns: False if the answer is missing or shorter than its header says.
    """
    if answer is None:
        return False
    if request.method == 'HEAD' or answer.status == _NOT_MODIFIED:
        return True
    headers = dict(answer.headers)
    content_length = headers.get('content-length', '')
    if 'content-encoding' in headers or not content_length.isdecimal():
        return True
    return len(answer.body) >= int(content_length)


def classify_attempt(
    request: request_module.Request, ended: event.AttemptEnded
) -> request_module.Outcome:
    """Return the outcome of an attempt after a check of its answer.

    :param request: the request.
    :param ended: the event that reports the end of the attempt.
    :returns: the reported outcome, or ``BROKEN`` if the answer is truncated.
    """
    answered = request_module.Outcome.ANSWERED
    if ended.outcome is not answered or is_complete(request, ended.answer):
        return ended.outcome
    return request_module.Outcome.BROKEN


def can_relay(answer: request_module.Answer) -> bool:
    """Return whether a peer's answer for a key may be sent to the caller.

    ``NOT_RUN`` may be outdated on arrival, because another instance may have
    run the request since. ``KEY_REUSED`` stays true.

    :param answer: a peer's answer for a key.
    :returns: whether it is valid regardless of its age.
    """
    is_not_run = answer.verdict is verdict_module.Verdict.NOT_RUN
    return not is_not_run or answer.code == ErrorCode.KEY_REUSED
