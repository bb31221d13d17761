"""Finished keys on their way from an instance that stops to another one."""

from __future__ import annotations

import collections

from skylarkfold import request as request_module
from skylarkfold.requests import _claimant
from skylarkfold.requests import _context
from skylarkfold.requests import _holders
from skylarkfold.requests import _memory
from skylarkfold.requests import _messages
from skylarkfold.requests import _record


class Handover:
    """Hands finished keys on, and takes over those of others.

    :param context: what the parts of the core share.
    :param claimant: tells the holders who answers for a key.
    :param memory: the keys that this instance answers for.
    """

    __slots__ = ('_claimant', '_context', '_memory', '_waiting')

    def __init__(
        self,
        context: _context.Context,
        claimant: _claimant.Claimant,
        memory: _memory.KeyMemory,
    ) -> None:
        self._context = context
        self._claimant = claimant
        self._memory = memory
        self._waiting: collections.deque[_record.KeyRecord] | None = None

    @property
    def is_over(self) -> bool:
        """Tell whether all finished keys were handed on."""
        if self._waiting is None:
            return not len(self._memory)
        return not self._waiting

    def note_ended(self, record: _record.KeyRecord) -> None:
        """Note a key that has ended while others are handed on.

        :param record: the key.
        """
        if self._waiting is not None:
            self._waiting.append(record)

    def hand_on(self, successor: _holders.Holder, limit: int) -> None:
        """Hand finished keys on, a portion at a time.

        :param successor: the instance that answers for them from then on.
        :param limit: how many at most.
        """
        if self._waiting is None:
            self._waiting = collections.deque(self._memory.list_ended())
        for _ in range(min(limit, len(self._waiting))):
            self._send(self._waiting.popleft(), successor)

    def take_over(self, now: float, handed: _messages.HandOnMessage) -> None:
        """Answer for a finished key of another instance from now on.

        :param now: the time.
        :param handed: the key's record.
        """
        if handed.target_boot != self._context.boot or self._memory.is_full:
            return
        if self._memory.find(handed.key) is not None:
            return
        record = _record.KeyRecord(handed.key, handed.fingerprint, None)
        record.claim_number = handed.claim
        answer = request_module.Answer(
            verdict=handed.verdict,
            status=handed.answer_status,
            headers=handed.headers,
            body=handed.body,
            code=handed.code,
        )
        self._memory.end(now, record, answer)

    def _send(
        self, record: _record.KeyRecord, successor: _holders.Holder
    ) -> None:
        answer = record.answer
        if answer is None:
            return
        sent = _messages.HandOnMessage(
            target_boot=successor.boot,
            key=record.key,
            fingerprint=record.fingerprint,
            claim=record.claim_number,
            verdict=answer.verdict,
            answer_status=answer.status,
            headers=answer.headers,
            body=answer.body,
            code=answer.code,
        )
        self._context.send(successor.name, sent)
        self._claimant.release(record.key, record.claim_number, successor)
