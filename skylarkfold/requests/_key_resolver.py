"""Claims to keys, from the first vote to the answer of the key's owner."""

from __future__ import annotations

from collections.abc import Callable
import functools

from skylarkfold import request as request_module
from skylarkfold.requests import _answers
from skylarkfold.requests import _claim_client
from skylarkfold.requests import _context
from skylarkfold.requests import _forwarder
from skylarkfold.requests import _key_memory
from skylarkfold.requests import _key_record
from skylarkfold.requests import _messages
from skylarkfold.requests import _vote_table
from skylarkfold import verdict as verdict_module

ErrorCode = _answers.ErrorCode
ClaimId = _vote_table.ClaimId
ForwardStatus = _messages.ForwardStatus
KeyState = _key_record.KeyState
WonCallback = Callable[[float, _key_record.KeyRecord], None]


class KeyResolver:
    """Resolver of a key's owner: this instance or another one.

    If a claim is lost, the instance that owns the key is asked for the
    answer.

    :param context: shared identity, settings and effects of the core.
    :param claim_client: makes the claims.
    :param forwarder: forwards requests to the owners of their keys.
    :param memory: the key records of this instance.
    :param on_won: called with the time and the record of each key that this
        instance has won.
    """

    __slots__ = (
        '_claim_client',
        '_context',
        '_forwarder',
        '_memory',
        '_on_won',
        '_settings',
    )

    def __init__(
        self,
        context: _context.Context,
        claim_client: _claim_client.ClaimClient,
        forwarder: _forwarder.RequestForwarder,
        memory: _key_memory.KeyMemory,
        on_won: WonCallback,
    ) -> None:
        self._context = context
        self._settings = context.settings
        self._claim_client = claim_client
        self._forwarder = forwarder
        self._memory = memory
        self._on_won = on_won

    def claim(self, now: float, record: _key_record.KeyRecord) -> None:
        """Claim a key.

        :param now: the current time.
        :param record: the key's record.
        """
        record.state = KeyState.CLAIMING
        self._claim_client.claim(now, record)
        self._evaluate(now, record)

    def record_vote(
        self, now: float, sender: str, vote: _messages.VoteMessage
    ) -> None:
        """Record a holder's vote on a claim.

        :param now: the current time.
        :param sender: the holder's name.
        :param vote: its vote; ignored unless the claim is undecided.
        """
        record = self._claim_client.record_vote(sender, vote)
        if record is not None:
            self._evaluate(now, record)

    def renew(self, now: float, record: _key_record.KeyRecord) -> None:
        """Submit an undecided claim again under a newer list of holders.

        :param now: the current time.
        :param record: the key's record.
        """
        if self._claim_client.renew(now, record):
            self._evaluate(now, record)

    def retry(self, now: float, record: _key_record.KeyRecord) -> None:
        """Ask the remaining holders, claim again or give up, if due.

        :param now: the current time.
        :param record: the record of a key in state ``CLAIMING``.
        """
        if now >= record.claim_deadline:
            self._fail(now, record, ErrorCode.KEY_UNVERIFIED)
        elif now < record.retry_at:
            return
        elif record.tally is None:
            self.claim(now, record)
        else:
            self._claim_client.ask_remaining(now, record)
            self._evaluate(now, record)

    def _evaluate(self, now: float, record: _key_record.KeyRecord) -> None:
        if now >= record.claim_deadline:
            self._fail(now, record, ErrorCode.KEY_UNVERIFIED)
            return
        if not self._is_decided(record) and not record.tally.is_waiting:
            self._claim_client.ask_remaining(now, record)
        if record.tally.is_won:
            self._win(now, record)
        elif self._is_decided(record):
            self._lose(now, record)

    def _is_decided(self, record: _key_record.KeyRecord) -> bool:
        reachable = self._context.reachable | {self._context.name}
        tally = record.tally
        return tally.is_won or tally.is_lost or not tally.can_win(reachable)

    def _win(self, now: float, record: _key_record.KeyRecord) -> None:
        self._claim_client.stop_counting(record)
        record.state = KeyState.OWNED
        self._context.log(
            'claim', record.key.hex(), 'won', record.request.service
        )
        self._on_won(now, record)

    def _lose(self, now: float, record: _key_record.KeyRecord) -> None:
        competing_claims = record.tally.competing_claims
        self._claim_client.abandon(now, record)
        if not competing_claims:
            self._fail(now, record, ErrorCode.KEY_UNVERIFIED)
            return
        reachable = self._context.reachable
        competitor = max(
            competing_claims,
            key=lambda each: (
                each.name in reachable,
                competing_claims[each],
                each,
            ),
        )
        self._context.log(
            'claim',
            record.key.hex(),
            'lost',
            record.request.service,
            competitor.name,
        )
        self._recall_from(now, record, competitor)

    def _recall_from(
        self, now: float, record: _key_record.KeyRecord, competitor: ClaimId
    ) -> None:
        if competitor.name == self._context.name:
            self._resolve_own_claim(now, record, competitor)
            return
        if competitor.name not in self._context.reachable:
            self._fail(now, record, ErrorCode.KEY_OWNER_LOST)
            return
        record.state = KeyState.ASKING
        forwarded = _forwarder.ForwardedRequest(
            peer=competitor.name,
            boot_id=competitor.boot_id,
            kind=_messages.ForwardKind.RECALL,
            request=record.request,
            deadline=max(record.requesters.values()),
            on_ended=functools.partial(self._end_recall, record=record),
            claim_number=competitor.number,
        )
        record.forward_id = self._forwarder.send(now, forwarded)

    def _resolve_own_claim(
        self, now: float, record: _key_record.KeyRecord, competitor: ClaimId
    ) -> None:
        is_ours = competitor.boot_id == self._context.boot_id
        if is_ours and self._claim_client.has_abandoned(competitor.number):
            self._claim_client.release(record.key, competitor.number)
            self._schedule_claim(now, record)
            return
        self._fail(now, record, ErrorCode.KEY_OWNER_LOST)

    def _end_recall(
        self,
        now: float,
        status: ForwardStatus,
        answer: request_module.Answer | None,
        record: _key_record.KeyRecord,
    ) -> None:
        if record.state is not KeyState.ASKING:
            return
        record.forward_id = 0
        if status is ForwardStatus.ANSWERED and _answers.can_relay(answer):
            self._memory.drop(record)
            self._context.reply_all(record.requesters, answer)
        elif status in (ForwardStatus.ABANDONED, ForwardStatus.ANSWERED):
            self._schedule_claim(now, record)
        else:
            self._fail(now, record, ErrorCode.KEY_OWNER_LOST)

    def _schedule_claim(
        self, now: float, record: _key_record.KeyRecord
    ) -> None:
        timeout = self._settings.claim_patience_seconds
        record.state = KeyState.CLAIMING
        record.claim_deadline = now + timeout
        record.retry_at = now + self._context.jitter(
            self._settings.claim_retry_seconds, f'later|{now}'
        )

    def _fail(
        self, now: float, record: _key_record.KeyRecord, code: ErrorCode
    ) -> None:
        self._claim_client.abandon(now, record)
        self._memory.drop(record)
        answer = _answers.build_refusal(
            verdict_module.Verdict.MAY_HAVE_RUN,
            code,
            self._settings.retry_after_seconds,
        )
        self._context.reply_all(record.requesters, answer)
