"""A planned stop: finish what runs, hand on what is known, leave."""

from __future__ import annotations

import functools

from skylarkfold import member as member_module
from skylarkfold import request as request_module
from skylarkfold.requests import _answers
from skylarkfold.requests import _context
from skylarkfold.requests import _holders
from skylarkfold.requests import _keys
from skylarkfold.requests import _lifecycle
from skylarkfold.requests import _messages
from skylarkfold.requests import _passes
from skylarkfold.requests import _succession
from skylarkfold import verdict as verdict_module

ErrorCode = _answers.ErrorCode
Verdict = verdict_module.Verdict

_PACE_SECONDS = 0.1
_PORTION = 200


class Stop:
    """Takes no new work once asked to, and knows when all is done.

    :param context: what the parts of the core share.
    :param lifecycle: the requests that run here.
    :param keys: the keys that this instance answers for.
    :param passes: the requests passed on.
    :param succession: the list of holders.
    """

    def __init__(
        self,
        context: _context.Context,
        lifecycle: _lifecycle.Lifecycle,
        keys: _keys.Keys,
        passes: _passes.Passes,
        succession: _succession.Succession,
    ) -> None:
        self._context = context
        self._lifecycle = lifecycle
        self._keys = keys
        self._passes = passes
        self._succession = succession
        self._membership = member_module.EMPTY
        self._begun_at: float | None = None
        self._next_at = 0.0
        self.is_finished = False

    @property
    def is_begun(self) -> bool:
        """Tell whether the instance was asked to stop."""
        return self._begun_at is not None

    def begin(self, now: float) -> None:
        """Take no new work from now on.

        :param now: the time.
        """
        if self._begun_at is None:
            self._begun_at = now
            self._next_at = now
            self._succession.is_stopping = True

    def observe_membership(self, membership: member_module.Membership) -> None:
        """Take the newest membership.

        :param membership: all members as seen here.
        """
        self._membership = membership

    def turn_away(
        self,
        now: float,
        request: request_module.Request,
        asker: _context.Asker,
        deadline: float,
    ) -> None:
        """Refuse a request, or pass it on where a refusal can't be true.

        Only the holders of its key can tell whether it ran before.

        :param now: the time.
        :param request: the request.
        :param asker: who waits for its answer.
        :param deadline: until when, by the local clock.
        """
        if not request.key or request.idempotent:
            self._context.refuse(asker, Verdict.NOT_RUN, ErrorCode.STOPPING)
            return
        successor = self._find_successor()
        if asker.peer or successor is None:
            self._context.refuse(
                asker, Verdict.MAY_HAVE_RUN, ErrorCode.STOPPING
            )
            return
        passed = _passes.Pass(
            peer=successor.name,
            boot=successor.boot,
            kind=_messages.PassKind.RECEIVE,
            request=request,
            deadline=deadline,
            ended=functools.partial(self._end_passed, asker=asker),
        )
        self._passes.send(now, passed)

    def finish(self, now: float) -> None:
        """Hand on, and leave once nothing runs any more.

        The process stays while others count on its votes, for a while.

        :param now: the time.
        """
        if self._begun_at is None or self.is_finished or now < self._next_at:
            return
        self._next_at = now + _PACE_SECONDS
        successor = self._find_successor()
        if self._is_busy() or not self._may_hand_on(now, successor):
            return
        if successor is not None:
            self._keys.hand_on(successor, _PORTION)
        if successor is None or self._keys.is_handed_on:
            self.is_finished = True
            self._succession.say_goodbye()

    def _may_hand_on(
        self, now: float, successor: _holders.Holder | None
    ) -> bool:
        """Tell whether the votes on the keys have found their place."""
        is_late = now - self._begun_at > self._context.settings.hand_on_seconds
        return successor is None or self._succession.is_released or is_late

    def _is_busy(self) -> bool:
        is_running = len(self._lifecycle) > 0 or len(self._passes) > 0
        return is_running or not self._keys.is_idle

    def _end_passed(
        self,
        now: float,
        status: _messages.PassStatus,
        answer: request_module.Answer | None,
        asker: _context.Asker,
    ) -> None:
        if answer is not None and _answers.is_lasting(answer):
            self._context.reply(asker, answer)
        else:
            self._context.refuse(
                asker, Verdict.MAY_HAVE_RUN, ErrorCode.STOPPING
            )

    def _find_successor(self) -> _holders.Holder | None:
        holders = self._succession.holders
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
