"""At most one run for each key, whichever instances it is sent to.

An instance runs a keyed request only once a majority of the key's holders
have voted for its claim. Holders vote once for each key, so at most one
claim wins; whoever loses asks the winner, which alone knows the outcome.
"""

from __future__ import annotations

from typing import Protocol

from skylarkfold import metric
from skylarkfold import request as request_module
from skylarkfold.requests import _answers
from skylarkfold.requests import _claimant
from skylarkfold.requests import _context
from skylarkfold.requests import _handover
from skylarkfold.requests import _holders
from skylarkfold.requests import _memory
from skylarkfold.requests import _messages
from skylarkfold.requests import _ownership
from skylarkfold.requests import _passes
from skylarkfold.requests import _record
from skylarkfold import verdict as verdict_module

ErrorCode = _answers.ErrorCode
PassStatus = _messages.PassStatus
KeyState = _record.KeyState
Verdict = verdict_module.Verdict

MAY_HAVE_RUN = Verdict.MAY_HAVE_RUN
NOT_RUN = Verdict.NOT_RUN


class Runner(Protocol):
    """Runs the requests whose keys were won."""

    def begin(
        self, now: float, request: request_module.Request, deadline: float
    ) -> None:
        """Admit a request."""

    def cancel_waiting(self, now: float, number: int) -> None:
        """Give a request up unless an attempt is in flight."""


class Keys:
    """Claims keys, answers for those won, asks about those lost.

    :param context: what the parts of the core share.
    :param claimant: makes the claims.
    :param runner: runs the requests whose keys were won.
    :param passes: carries questions to other instances.
    """

    def __init__(
        self,
        context: _context.Context,
        claimant: _claimant.Claimant,
        runner: Runner,
        passes: _passes.Passes,
    ) -> None:
        self._context = context
        self._settings = context.settings
        self._claimant = claimant
        self._runner = runner
        self._passes = passes
        self._memory = _memory.KeyMemory(context.settings)
        self._by_number: dict[int, _record.KeyRecord] = {}
        self._handover = _handover.Handover(context, claimant, self._memory)
        self._ownership = _ownership.Ownership(
            context, claimant, passes, self._memory, self._run
        )

    def __len__(self) -> int:
        return len(self._memory)

    @property
    def is_idle(self) -> bool:
        """Tell whether nobody waits for a key's answer."""
        return not self._memory.list_active()

    @property
    def is_handed_on(self) -> bool:
        """Tell whether all finished keys were handed on."""
        return self._handover.is_over

    def receive(
        self,
        now: float,
        request: request_module.Request,
        asker: _context.Asker,
        deadline: float,
    ) -> None:
        """Take a keyed request that may run only once.

        :param now: the time.
        :param request: the request.
        :param asker: who waits for its answer.
        :param deadline: until when, by the local clock.
        """
        key = _record.digest_key(request)
        fingerprint = _record.digest_request(request)
        record = self._memory.find(key)
        if record is not None:
            self._join(record, fingerprint, asker, deadline)
            return
        if not self._claimant.is_ready:
            self._context.refuse(asker, MAY_HAVE_RUN, ErrorCode.KEY_UNVERIFIED)
            return
        if not self._memory.has_room(request):
            self._context.refuse(
                asker, MAY_HAVE_RUN, ErrorCode.KEY_MEMORY_FULL
            )
            return
        record = _record.KeyRecord(key, fingerprint, request)
        record.askers[asker] = deadline
        record.give_up_at = now + self._settings.claim_patience_seconds
        self._memory.add(record)
        self._ownership.claim(now, record)

    def recall(
        self,
        now: float,
        request: request_module.Request,
        asker: _context.Asker,
        deadline: float,
        claim: int,
    ) -> PassStatus | None:
        """Answer another instance for a key that this one claimed.

        :param now: the time.
        :param request: the request as it came to the other instance.
        :param asker: the other instance's pass.
        :param deadline: until when it waits.
        :param claim: the claim that it was told of.
        :returns: why there is no answer; None where the answer has been
            sent or will be.
        """
        key = _record.digest_key(request)
        if self._claimant.has_abandoned(claim):
            self._claimant.release(key, claim)
            return PassStatus.ABANDONED
        record = self._memory.find(key)
        if record is None or record.claim_number != claim:
            return PassStatus.UNKNOWN
        self._join(record, _record.digest_request(request), asker, deadline)
        return None

    def record_vote(
        self, now: float, sender: str, vote: _messages.VoteMessage
    ) -> None:
        """Count a holder's answer to a claim.

        :param now: the time.
        :param sender: the holder.
        :param vote: its answer; one to another claim is ignored.
        """
        self._ownership.record_vote(now, sender, vote)

    def end_exchange(
        self, now: float, number: int, answer: request_module.Answer
    ) -> bool:
        """Take the final answer of a request whose key was won.

        :param now: the time.
        :param number: the request's number.
        :param answer: its answer.
        :returns: False where the request has no key here.
        """
        record = self._by_number.pop(number, None)
        if record is None:
            return False
        if answer.verdict is NOT_RUN:
            self._claimant.abandon(now, record)
            self._memory.drop(record)
        else:
            self._memory.end(now, record, answer)
            self._handover.note_ended(record)
        self._context.reply_all(record.askers, answer)
        return True

    def cancel(self, now: float, asker: _context.Asker) -> bool:
        """Wait no longer on behalf of a caller that has gone.

        A request that runs is left to end, for the caller's next try.

        :param now: the time.
        :param asker: the caller.
        :returns: whether it waited for a key.
        """
        for record in self._memory.list_active():
            if record.askers.pop(asker, None) is not None:
                self._drop_unasked(now, record)
                return True
        return False

    def handle_peer_lost(self, now: float, peer: str) -> None:
        """Count on others before a peer that was lost.

        :param now: the time.
        :param peer: its name.
        """
        self._claimant.note_silent(now, peer)

    def tick(self, now: float) -> None:
        """Ask the silent again and end what is past its deadline.

        :param now: the time.
        """
        for record in self._memory.list_active():
            self._expire_askers(now, record)
            if record.askers and record.state is KeyState.CLAIMING:
                self._ownership.retry(now, record)
        self._memory.expire(now)
        self._claimant.expire(now)

    def renew_claims(self, now: float) -> None:
        """Make undecided claims anew under a newer list of holders.

        :param now: the time.
        """
        for record in self._memory.list_active():
            self._ownership.renew(now, record)

    def hand_on(self, successor: _holders.Holder, limit: int) -> None:
        """Hand finished keys on to another instance, a portion at a time.

        :param successor: the instance.
        :param limit: how many at most.
        """
        self._handover.hand_on(successor, limit)

    def take_over(
        self, now: float, sender: str, handed: _messages.HandOnMessage
    ) -> None:
        """Answer for a finished key from now on.

        :param now: the time.
        :param sender: the instance that answered before.
        :param handed: the key's record.
        """
        self._handover.take_over(now, handed)

    def _join(
        self,
        record: _record.KeyRecord,
        fingerprint: int,
        asker: _context.Asker,
        deadline: float,
    ) -> None:
        if fingerprint != record.fingerprint:
            if record.state is KeyState.ENDED:
                self._context.refuse(asker, NOT_RUN, ErrorCode.KEY_REUSED)
            else:
                self._context.refuse(asker, MAY_HAVE_RUN, ErrorCode.KEY_IN_USE)
            return
        if record.state is KeyState.ENDED:
            self._context.count(metric.REQUESTS_REPLAYED)
            self._context.reply(asker, record.answer)
            return
        record.askers[asker] = deadline

    def _run(self, now: float, record: _record.KeyRecord) -> None:
        self._by_number[record.request.number] = record
        deadline = max(record.askers.values())
        self._runner.begin(now, record.request, deadline)

    def _expire_askers(self, now: float, record: _record.KeyRecord) -> None:
        late = [
            asker
            for asker, deadline in record.askers.items()
            if deadline <= now
        ]
        for asker in late:
            del record.askers[asker]
            self._context.refuse(
                asker, MAY_HAVE_RUN, ErrorCode.DEADLINE_EXCEEDED
            )
        if late:
            self._drop_unasked(now, record)

    def _drop_unasked(self, now: float, record: _record.KeyRecord) -> None:
        if record.askers:
            return
        if record.state is KeyState.OWNED:
            self._runner.cancel_waiting(now, record.request.number)
            return
        self._claimant.abandon(now, record)
        self._passes.forget(record.pass_number)
        self._memory.drop(record)
