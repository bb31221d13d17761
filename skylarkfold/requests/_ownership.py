"""Which instance owns a key: this one, or one that is asked."""

from __future__ import annotations

from collections.abc import Callable
import functools

from skylarkfold import request as request_module
from skylarkfold.requests import _answers
from skylarkfold.requests import _claimant
from skylarkfold.requests import _context
from skylarkfold.requests import _memory
from skylarkfold.requests import _messages
from skylarkfold.requests import _passes
from skylarkfold.requests import _record
from skylarkfold.requests import _register
from skylarkfold import verdict as verdict_module

ErrorCode = _answers.ErrorCode
Owner = _register.Owner
PassStatus = _messages.PassStatus
KeyState = _record.KeyState
Won = Callable[[float, _record.KeyRecord], None]


class Ownership:
    """Takes a key from its claim to its owner.

    :param context: what the parts of the core share.
    :param claimant: makes the claims.
    :param passes: carries questions to other instances.
    :param memory: the keys that this instance knows.
    :param won: called with each key that this instance owns from then on.
    """

    __slots__ = (
        '_claimant',
        '_context',
        '_memory',
        '_passes',
        '_settings',
        '_won',
    )

    def __init__(
        self,
        context: _context.Context,
        claimant: _claimant.Claimant,
        passes: _passes.Passes,
        memory: _memory.KeyMemory,
        won: Won,
    ) -> None:
        self._context = context
        self._settings = context.settings
        self._claimant = claimant
        self._passes = passes
        self._memory = memory
        self._won = won

    def claim(self, now: float, record: _record.KeyRecord) -> None:
        """Claim a key.

        :param now: the time.
        :param record: the key.
        """
        record.state = KeyState.CLAIMING
        self._claimant.claim(now, record)
        self._evaluate(now, record)

    def record_vote(
        self, now: float, sender: str, vote: _messages.VoteMessage
    ) -> None:
        """Count a holder's answer to a claim.

        :param now: the time.
        :param sender: the holder.
        :param vote: its answer; one to another claim is ignored.
        """
        record = self._claimant.record_vote(sender, vote)
        if record is not None:
            self._evaluate(now, record)

    def renew(self, now: float, record: _record.KeyRecord) -> None:
        """Make an undecided claim anew under a newer list of holders.

        :param now: the time.
        :param record: the key.
        """
        if self._claimant.renew(now, record):
            self._evaluate(now, record)

    def retry(self, now: float, record: _record.KeyRecord) -> None:
        """Ask the silent again, claim anew or give up, where that is due.

        :param now: the time.
        :param record: a key whose claim is undecided.
        """
        if now >= record.give_up_at:
            self._give_up(now, record, ErrorCode.KEY_UNVERIFIED)
        elif now < record.retry_at:
            return
        elif record.claim is None:
            self.claim(now, record)
        else:
            self._claimant.ask_silent(now, record)
            self._evaluate(now, record)

    def _evaluate(self, now: float, record: _record.KeyRecord) -> None:
        if now >= record.give_up_at:
            self._give_up(now, record, ErrorCode.KEY_UNVERIFIED)
            return
        if not self._is_decided(record) and not record.claim.is_waiting:
            self._claimant.ask_silent(now, record)
        if record.claim.is_won:
            self._win(now, record)
        elif self._is_decided(record):
            self._lose(now, record)

    def _is_decided(self, record: _record.KeyRecord) -> bool:
        reachable = self._context.reachable | {self._context.name}
        claim = record.claim
        return claim.is_won or claim.is_lost or not claim.can_win(reachable)

    def _win(self, now: float, record: _record.KeyRecord) -> None:
        self._claimant.finish(record)
        record.state = KeyState.OWNED
        self._context.log(
            'claim', record.key.hex(), 'won', record.request.service
        )
        self._won(now, record)

    def _lose(self, now: float, record: _record.KeyRecord) -> None:
        rivals = record.claim.rivals
        self._claimant.abandon(now, record)
        if not rivals:
            self._give_up(now, record, ErrorCode.KEY_UNVERIFIED)
            return
        reachable = self._context.reachable
        rival = max(
            rivals,
            key=lambda each: (each.name in reachable, rivals[each], each),
        )
        self._context.log(
            'claim',
            record.key.hex(),
            'lost',
            record.request.service,
            rival.name,
        )
        self._ask(now, record, rival)

    def _ask(
        self, now: float, record: _record.KeyRecord, rival: Owner
    ) -> None:
        if rival.name == self._context.name:
            self._ask_own_past(now, record, rival)
            return
        if rival.name not in self._context.reachable:
            self._give_up(now, record, ErrorCode.KEY_OWNER_LOST)
            return
        record.state = KeyState.ASKING
        passed = _passes.Pass(
            peer=rival.name,
            boot=rival.boot,
            kind=_messages.PassKind.RECALL,
            request=record.request,
            deadline=max(record.askers.values()),
            ended=functools.partial(self._end_asking, record=record),
            claim=rival.claim,
        )
        record.pass_number = self._passes.send(now, passed)

    def _ask_own_past(
        self, now: float, record: _record.KeyRecord, rival: Owner
    ) -> None:
        is_ours = rival.boot == self._context.boot
        if is_ours and self._claimant.has_abandoned(rival.claim):
            self._claimant.release(record.key, rival.claim)
            self._claim_later(now, record)
            return
        self._give_up(now, record, ErrorCode.KEY_OWNER_LOST)

    def _end_asking(
        self,
        now: float,
        status: PassStatus,
        answer: request_module.Answer | None,
        record: _record.KeyRecord,
    ) -> None:
        if record.state is not KeyState.ASKING:
            return
        record.pass_number = 0
        if status is PassStatus.ANSWERED and _answers.is_lasting(answer):
            self._memory.drop(record)
            self._context.reply_all(record.askers, answer)
        elif status in (PassStatus.ABANDONED, PassStatus.ANSWERED):
            self._claim_later(now, record)
        else:
            self._give_up(now, record, ErrorCode.KEY_OWNER_LOST)

    def _claim_later(self, now: float, record: _record.KeyRecord) -> None:
        patience = self._settings.claim_patience_seconds
        record.state = KeyState.CLAIMING
        record.give_up_at = now + patience
        record.retry_at = now + self._context.spread(
            self._settings.claim_retry_seconds, f'later|{now}'
        )

    def _give_up(
        self, now: float, record: _record.KeyRecord, code: ErrorCode
    ) -> None:
        self._claimant.abandon(now, record)
        self._memory.drop(record)
        answer = _answers.refuse(
            verdict_module.Verdict.MAY_HAVE_RUN,
            code,
            self._settings.retry_after_seconds,
        )
        self._context.reply_all(record.askers, answer)
