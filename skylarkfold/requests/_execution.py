"""State of one request while an instance runs it."""

from __future__ import annotations

import dataclasses
import enum

from skylarkfold import request as request_module


class ExecutionState(enum.Enum):
    """State of an execution.

    ``QUEUED``: in the admission queue. ``RUNNING``: an attempt is in flight.
    ``WAITING``: between two attempts, until the retry is due. ``ENDED``: the
    final answer is known.
    """

    QUEUED = 'queued'
    RUNNING = 'running'
    WAITING = 'waiting'
    ENDED = 'ended'


@dataclasses.dataclass(slots=True)
class Execution:
    """A request with the state of its attempts.

    :param request: the request.
    :param deadline: the caller's deadline by the local clock.
    :param state: the state of the execution.
    :param attempt: the number of the attempt in flight, 0 for none.
    :param upstream: the upstream of that attempt, empty if it was forwarded
        to a peer.
    :param forward_id: the ID of that forward.
    :param started: the time at which that attempt began.
    :param attempts: the number of attempts so far.
    :param may_have_run: whether an earlier attempt may have run the request.
    :param failed: upstreams whose attempts ended without an answer.
    :param retry_at: the time at which a waiting request is retried.
    """

    request: request_module.Request
    deadline: float
    state: ExecutionState = ExecutionState.QUEUED
    attempt: int = 0
    upstream: str = ''
    forward_id: int = 0
    started: float = 0.0
    attempts: int = 0
    may_have_run: bool = False
    failed: frozenset[str] = frozenset()
    retry_at: float = 0.0
