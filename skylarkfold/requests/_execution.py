"""One request on its way through an instance."""

from __future__ import annotations

import dataclasses
import enum

from skylarkfold import request as request_module


class ExecutionState(enum.Enum):
    """Where an exchange stands.

    ``QUEUED`` and ``WAITING`` exchanges have no attempt in flight; the
    first kind waits in the admission queue, the second for its retry.
    """

    QUEUED = 'queued'
    RUNNING = 'running'
    WAITING = 'waiting'
    ENDED = 'ended'


@dataclasses.dataclass(slots=True)
class Execution:
    """A request with all that is known about its execution.

    :param request: the request.
    :param deadline: the caller's deadline by the local clock.
    :param state: where it stands.
    :param attempt: the number of the attempt in flight, 0 for none.
    :param upstream: the upstream of that attempt, empty where a peer
        makes it.
    :param pass_number: the pass to that peer.
    :param started: when that attempt began.
    :param attempts: attempts begun so far.
    :param may_have_run: whether an earlier attempt may have run it.
    :param failed: upstreams whose attempts ended without an answer.
    :param retry_at: when a waiting exchange is tried again.
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
