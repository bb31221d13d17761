"""Graceful shutdown: finish requests, hand over keys, then leave."""

from __future__ import annotations

import functools

from skylarkfold import member as member_module
from skylarkfold import request as request_module
from skylarkfold.requests import _answers
from skylarkfold.requests import _context
from skylarkfold.requests import _executor
from skylarkfold.requests import _forwarder
from skylarkfold.requests import _holder_manager
from skylarkfold.requests import _holders
from skylarkfold.requests import _keyed_requests
from skylarkfold.requests import _messages
from skylarkfold import verdict as verdict_module

ErrorCode = _answers.ErrorCode
Verdict = verdict_module.Verdict

_STEP_SECONDS = 0.1
_BATCH_SIZE = 200


class Shutdown:
    """State machine of a graceful shutdown.

    :param context: shared identity, settings and effects of the core.
    :param executor: the requests that this instance runs.
    :param keyed_requests: the keys that this instance answers for.
    :param forwarder: the requests forwarded to other instances.
    :param holder_manager: the list of holders.
    """

    def __init__(
        self,
        context: _context.Context,
        executor: _executor.RequestExecutor,
        keyed_requests: _keyed_requests.KeyedRequests,
        forwarder: _forwarder.RequestForwarder,
        holder_manager: _holder_manager.HolderManager,
    ) -> None:
        self._context = context
        self._executor = executor
        self._keyed_requests = keyed_requests
        self._forwarder = forwarder
        self._holder_manager = holder_manager
        self._membership = member_module.EMPTY
        self._begun_at: float | None = None
        self._next_step_at = 0.0
        self.is_finished = False

    @property
    def has_begun(self) -> bool:
        """Return whether the instance was asked to stop."""
        return self._begun_at is not None

    def begin(self, now: float) -> None:
        """Begin the shutdown; new requests are refused or forwarded.

        :param now: the current time.
        """
        if self._begun_at is None:
            self._begun_at = now
            self._next_step_at = now
            self._holder_manager.is_stopping = True

    def update_membership(self, membership: member_module.Membership) -> None:
        """Update the membership.

        :param membership: all members as seen by this instance.
        """
        self._membership = membership

    def refuse_or_forward(
        self,
        now: float,
        request: request_module.Request,
        requester: _context.Requester,
        deadline: float,
    ) -> None:
        """Refuse an unkeyed or idempotent request, forward a keyed one.

        Whether a keyed request has run before is known to the holders of its
        key, so this instance can't refuse it as not run.

        :param now: the current time.
        :param request: the request.
        :param requester: the caller or peer that waits for its answer.
        :param deadline: its deadline by the local clock.
        """
        if not request.key or request.idempotent:
            self._context.refuse(
                requester, Verdict.NOT_RUN, ErrorCode.STOPPING
            )
            return
        successor = self._find_successor()
        if requester.peer or successor is None:
            self._context.refuse(
                requester, Verdict.MAY_HAVE_RUN, ErrorCode.STOPPING
            )
            return
        forwarded = _forwarder.ForwardedRequest(
            peer=successor.name,
            boot_id=successor.boot_id,
            kind=_messages.ForwardKind.RECEIVE,
            request=request,
            deadline=deadline,
            on_ended=functools.partial(
                self._end_forwarded, requester=requester
            ),
        )
        self._forwarder.send(now, forwarded)

    def advance(self, now: float) -> None:
        """Hand over keys, and finish once no request is left.

        The process stays up to ``hand_on_seconds`` while the list of holders
        names it, so that its votes can be transferred.

        :param now: the current time.
        """
        if (
            self._begun_at is None
            or self.is_finished
            or now < self._next_step_at
        ):
            return
        self._next_step_at = now + _STEP_SECONDS
        successor = self._find_successor()
        if self._is_busy() or not self._can_hand_over(now, successor):
            return
        if successor is not None:
            self._keyed_requests.hand_over(successor, _BATCH_SIZE)
        if successor is None or self._keyed_requests.is_handed_over:
            self.is_finished = True
            self._holder_manager.announce_end()

    def _can_hand_over(
        self, now: float, successor: _holders.Holder | None
    ) -> bool:
        """Return whether the votes are transferred or the time is over."""
        is_late = now - self._begun_at > self._context.settings.hand_on_seconds
        return successor is None or self._holder_manager.is_unlisted or is_late

    def _is_busy(self) -> bool:
        is_running = len(self._executor) > 0 or len(self._forwarder) > 0
        return is_running or not self._keyed_requests.is_idle

    def _end_forwarded(
        self,
        now: float,
        status: _messages.ForwardStatus,
        answer: request_module.Answer | None,
        requester: _context.Requester,
    ) -> None:
        if answer is not None and _answers.can_relay(answer):
            self._context.reply(requester, answer)
        else:
            self._context.refuse(
                requester, Verdict.MAY_HAVE_RUN, ErrorCode.STOPPING
            )

    def _find_successor(self) -> _holders.Holder | None:
        holders = self._holder_manager.holders
        if holders is None:
            return None
        candidates = [
            each for each in holders.value.current if self._is_alive(each.name)
        ]
        return min(
            candidates,
            key=lambda each: self._context.draw(each.name),
            default=None,
        )

    def _is_alive(self, name: str) -> bool:
        member = self._membership.members.get(name)
        is_other = name in self._context.reachable
        alive = member_module.MemberState.ALIVE
        return is_other and member is not None and member.state is alive
