"""At-most-once execution of requests with an idempotency key.

An instance runs a keyed request only after a majority of the key's holders
have voted for its claim. A holder votes for one claim per key, so at most one
claim wins. An instance that loses asks the winner for the answer.
"""

from __future__ import annotations

from typing import Protocol

from skylarkfold import metric
from skylarkfold import request as request_module
from skylarkfold.requests import _answers
from skylarkfold.requests import _claim_client
from skylarkfold.requests import _context
from skylarkfold.requests import _forwarder
from skylarkfold.requests import _holders
from skylarkfold.requests import _key_handover
from skylarkfold.requests import _key_memory
from skylarkfold.requests import _key_record
from skylarkfold.requests import _key_resolver
from skylarkfold.requests import _messages
from skylarkfold import verdict as verdict_module

ErrorCode = _answers.ErrorCode
ForwardStatus = _messages.ForwardStatus
KeyState = _key_record.KeyState
Verdict = verdict_module.Verdict

MAY_HAVE_RUN = Verdict.MAY_HAVE_RUN
NOT_RUN = Verdict.NOT_RUN


class Runner(Protocol):
    """Interface of what runs the requests whose keys were won."""

    def begin(
        self, now: float, request: request_module.Request, deadline: float
    ) -> None:
        """Admit a request."""

    def cancel_unless_running(self, now: float, number: int) -> None:
        """Cancel a request unless an attempt is in flight."""


class KeyedRequests:
    """Handler of all requests that have an idempotency key.

    :param context: shared identity, settings and effects of the core.
    :param claim_client: makes the claims.
    :param runner: runs the requests whose keys were won.
    :param forwarder: forwards requests to the owners of their keys.
    """

    def __init__(
        self,
        context: _context.Context,
        claim_client: _claim_client.ClaimClient,
        runner: Runner,
        forwarder: _forwarder.RequestForwarder,
    ) -> None:
        self._context = context
        self._settings = context.settings
        self._claim_client = claim_client
        self._runner = runner
        self._forwarder = forwarder
        self._memory = _key_memory.KeyMemory(context.settings)
        self._by_number: dict[int, _key_record.KeyRecord] = {}
        self._handover = _key_handover.KeyHandover(
            context, claim_client, self._memory
        )
        self._key_resolver = _key_resolver.KeyResolver(
            context, claim_client, forwarder, self._memory, self._run
        )

    def __len__(self) -> int:
        return len(self._memory)

    @property
    def is_idle(self) -> bool:
        """Return whether all keys have their final answer."""
        return not self._memory.list_active()

    @property
    def is_handed_over(self) -> bool:
        """Return whether all finished keys were handed over."""
        return self._handover.is_over

    def receive(
        self,
        now: float,
        request: request_module.Request,
        requester: _context.Requester,
        deadline: float,
    ) -> None:
        """Handle a keyed request that may run only once.

        :param now: the current time.
        :param request: the request.
        :param requester: the caller or peer that waits for its answer.
        :param deadline: its deadline by the local clock.
        """
        key = _key_record.digest_key(request)
        fingerprint = _key_record.digest_request(request)
        record = self._memory.find(key)
        if record is not None:
            self._add_requester(record, fingerprint, requester, deadline)
            return
        if not self._claim_client.is_ready:
            self._context.refuse(
                requester, MAY_HAVE_RUN, ErrorCode.KEY_UNVERIFIED
            )
            return
        if not self._memory.has_room(request):
            self._context.refuse(
                requester, MAY_HAVE_RUN, ErrorCode.KEY_MEMORY_FULL
            )
            return
        record = _key_record.KeyRecord(key, fingerprint, request)
        record.requesters[requester] = deadline
        record.claim_deadline = now + self._settings.claim_patience_seconds
        self._memory.add(record)
        self._key_resolver.claim(now, record)

    def recall(
        self,
        now: float,
        request: request_module.Request,
        requester: _context.Requester,
        deadline: float,
        claim_number: int,
    ) -> ForwardStatus | None:
        """Answer another instance's question for a key of this instance.

        :param now: the current time.
        :param request: the request as the other instance received it.
        :param requester: the other instance.
        :param deadline: its deadline by the local clock.
        :param claim_number: the claim that has the holders' votes.
        :returns: the reason why there is no answer, or None if the answer is
            sent now or later.
        """
        key = _key_record.digest_key(request)
        if self._claim_client.has_abandoned(claim_number):
            self._claim_client.release(key, claim_number)
            return ForwardStatus.ABANDONED
        record = self._memory.find(key)
        if record is None or record.last_claim_number != claim_number:
            return ForwardStatus.UNKNOWN
        self._add_requester(
            record, _key_record.digest_request(request), requester, deadline
        )
        return None

    def record_vote(
        self, now: float, sender: str, vote: _messages.VoteMessage
    ) -> None:
        """Record a holder's vote on a claim.

        :param now: the current time.
        :param sender: the holder's name.
        :param vote: its vote; ignored unless the claim is undecided.
        """
        self._key_resolver.record_vote(now, sender, vote)

    def end_execution(
        self, now: float, number: int, answer: request_module.Answer
    ) -> bool:
        """Store and send the final answer of a request whose key was won.

        :param now: the current time.
        :param number: the request's number.
        :param answer: its answer.
        :returns: False if the request has no key owned by this instance.
        """
        record = self._by_number.pop(number, None)
        if record is None:
            return False
        if answer.verdict is NOT_RUN:
            self._claim_client.abandon(now, record)
            self._memory.drop(record)
        else:
            self._memory.store_answer(now, record, answer)
            self._handover.record_ended(record)
        self._context.reply_all(record.requesters, answer)
        return True

    def cancel(self, now: float, requester: _context.Requester) -> bool:
        """Drop a caller that has disconnected from the requesters of a key.

        A running request is not cancelled, so that a retry of the caller
        finds its answer.

        :param now: the current time.
        :param requester: the caller.
        :returns: whether it waited for a key.
        """
        for record in self._memory.list_active():
            if record.requesters.pop(requester, None) is not None:
                self._drop_without_requesters(now, record)
                return True
        return False

    def handle_peer_lost(self, now: float, peer: str) -> None:
        """Mark a peer whose connection was lost as unresponsive.

        :param now: the current time.
        :param peer: the peer's name.
        """
        self._claim_client.mark_unresponsive(now, peer)

    def tick(self, now: float) -> None:
        """Retry undecided claims, and expire requesters and records.

        :param now: the current time.
        """
        for record in self._memory.list_active():
            self._expire_requesters(now, record)
            if record.requesters and record.state is KeyState.CLAIMING:
                self._key_resolver.retry(now, record)
        self._memory.expire(now)
        self._claim_client.expire(now)

    def renew_claims(self, now: float) -> None:
        """Submit undecided claims again under a newer list of holders.

        :param now: the current time.
        """
        for record in self._memory.list_active():
            self._key_resolver.renew(now, record)

    def hand_over(self, successor: _holders.Holder, limit: int) -> None:
        """Send the next batch of finished keys to their new owner.

        :param successor: the instance that answers for the keys afterwards.
        :param limit: the size of the batch.
        """
        self._handover.hand_over(successor, limit)

    def accept_handover(
        self, now: float, sender: str, message: _messages.KeyHandoverMessage
    ) -> None:
        """Store a finished key that another instance hands over.

        :param now: the current time.
        :param sender: the former owner's name.
        :param message: the key's record.
        """
        self._handover.accept_handover(now, message)

    def _add_requester(
        self,
        record: _key_record.KeyRecord,
        fingerprint: int,
        requester: _context.Requester,
        deadline: float,
    ) -> None:
        if fingerprint != record.fingerprint:
            if record.state is KeyState.ENDED:
                self._context.refuse(requester, NOT_RUN, ErrorCode.KEY_REUSED)
            else:
                self._context.refuse(
                    requester, MAY_HAVE_RUN, ErrorCode.KEY_IN_USE
                )
            return
        if record.state is KeyState.ENDED:
            self._context.count(metric.REQUESTS_REPLAYED)
            self._context.reply(requester, record.answer)
            return
        record.requesters[requester] = deadline

    def _run(self, now: float, record: _key_record.KeyRecord) -> None:
        self._by_number[record.request.number] = record
        deadline = max(record.requesters.values())
        self._runner.begin(now, record.request, deadline)

    def _expire_requesters(
        self, now: float, record: _key_record.KeyRecord
    ) -> None:
        expired = [
            requester
            for requester, deadline in record.requesters.items()
            if deadline <= now
        ]
        for requester in expired:
            del record.requesters[requester]
            self._context.refuse(
                requester, MAY_HAVE_RUN, ErrorCode.DEADLINE_EXCEEDED
            )
        if expired:
            self._drop_without_requesters(now, record)

    def _drop_without_requesters(
        self, now: float, record: _key_record.KeyRecord
    ) -> None:
        if record.requesters:
            return
        if record.state is KeyState.OWNED:
            self._runner.cancel_unless_running(now, record.request.number)
            return
        self._claim_client.abandon(now, record)
        self._forwarder.discard(record.forward_id)
        self._memory.drop(record)
