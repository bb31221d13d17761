"""Transfer of finished keys from a stopping instance to another one."""

from __future__ import annotations

import collections

from skylarkfold import request as request_module
from skylarkfold.requests import _claim_client
from skylarkfold.requests import _context
from skylarkfold.requests import _holders
from skylarkfold.requests import _key_memory
from skylarkfold.requests import _key_record
from skylarkfold.requests import _messages


class KeyHandover:
    """Sender and receiver of finished keys' records.

    :param context: shared identity, settings and effects of the core.
    :param claim_client: moves the holders' votes to the receiver.
    :param memory: the keys that this instance answers for.
    """

    __slots__ = ('_claim_client', '_context', '_memory', '_pending')

    def __init__(
        self,
        context: _context.Context,
        claim_client: _claim_client.ClaimClient,
        memory: _key_memory.KeyMemory,
    ) -> None:
        self._context = context
        self._claim_client = claim_client
        self._memory = memory
        self._pending: collections.deque[_key_record.KeyRecord] | None = None

    @property
    def is_over(self) -> bool:
        """Return whether all finished keys were handed over."""
        if self._pending is None:
            return not len(self._memory)
        return not self._pending

    def record_ended(self, record: _key_record.KeyRecord) -> None:
        """Queue a key that was finished after the handover began.

        :param record: the key's record.
        """
        if self._pending is not None:
            self._pending.append(record)

    def hand_over(self, successor: _holders.Holder, limit: int) -> None:
        """Send the next batch of finished keys to their new owner.

        :param successor: the instance that answers for the keys afterwards.
        :param limit: the size of the batch.
        """
        if self._pending is None:
            self._pending = collections.deque(self._memory.list_ended())
        for _ in range(min(limit, len(self._pending))):
            self._send(self._pending.popleft(), successor)

    def accept_handover(
        self, now: float, message: _messages.KeyHandoverMessage
    ) -> None:
        """Store a finished key that another instance hands over.

        :param now: the current time.
        :param message: the key's record.
        """
        if (
            message.target_boot_id != self._context.boot_id
            or self._memory.is_full
        ):
            return
        if self._memory.find(message.key) is not None:
            return
        record = _key_record.KeyRecord(message.key, message.fingerprint, None)
        record.last_claim_number = message.claim_number
        answer = request_module.Answer(
            verdict=message.verdict,
            status=message.answer_status,
            headers=message.headers,
            body=message.body,
            code=message.code,
        )
        self._memory.store_answer(now, record, answer)

    def _send(
        self, record: _key_record.KeyRecord, successor: _holders.Holder
    ) -> None:
        answer = record.answer
        if answer is None:
            return
        message = _messages.KeyHandoverMessage(
            target_boot_id=successor.boot_id,
            key=record.key,
            fingerprint=record.fingerprint,
            claim_number=record.last_claim_number,
            verdict=answer.verdict,
            answer_status=answer.status,
            headers=answer.headers,
            body=answer.body,
            code=answer.code,
        )
        self._context.send(successor.name, message)
        self._claim_client.release(
            record.key, record.last_claim_number, successor
        )
