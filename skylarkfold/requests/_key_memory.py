"""Key records with final answers, limited by count, bytes and age."""

from __future__ import annotations

import collections
from collections.abc import Iterator

from skylarkfold import request as request_module
from skylarkfold.requests import _answers
from skylarkfold.requests import _key_record
from skylarkfold.requests import _settings
from skylarkfold import verdict as verdict_module


class KeyMemory:
    """All key records of an instance.

    Records with a final answer are deleted by age only. When their answers
    exceed ``maximum_answer_bytes``, the oldest lose their bodies.

    :param settings: the request settings.
    """

    def __init__(self, settings: _settings.RequestSettings) -> None:
        self._settings = settings
        self._active: dict[bytes, _key_record.KeyRecord] = {}
        self._ended: collections.OrderedDict[bytes, _key_record.KeyRecord] = (
            collections.OrderedDict()
        )
        self._records_with_body: collections.deque[_key_record.KeyRecord] = (
            collections.deque()
        )
        self._total_request_bytes = 0
        self.total_answer_bytes = 0

    def __len__(self) -> int:
        return len(self._active) + len(self._ended)

    @property
    def is_full(self) -> bool:
        """Return whether the limit of records is reached."""
        return len(self) >= self._settings.maximum_keys

    def has_room(self, request: request_module.Request) -> bool:
        """Return whether the limits allow a record for a request.

        :param request: the request.
        """
        size = self._total_request_bytes + len(request.body)
        is_small = size <= self._settings.maximum_waiting_bytes
        return is_small and not self.is_full

    def find(self, key: bytes) -> _key_record.KeyRecord | None:
        """Return a key's record.

        :param key: the key's digest.
        :returns: the record, or None.
        """
        return self._active.get(key) or self._ended.get(key)

    def add(self, record: _key_record.KeyRecord) -> None:
        """Add a record that has no final answer yet.

        :param record: the record.
        """
        self._active[record.key] = record
        self._total_request_bytes += len(record.request.body)

    def drop(self, record: _key_record.KeyRecord) -> None:
        """Remove a record that has no final answer.

        :param record: the record.
        """
        if self._active.pop(record.key, None) is not None:
            self._total_request_bytes -= len(record.request.body)

    def store_answer(
        self,
        now: float,
        record: _key_record.KeyRecord,
        answer: request_module.Answer,
    ) -> None:
        """Store a key's final answer.

        :param now: the current time.
        :param record: the key's record.
        :param answer: the answer.
        """
        self.drop(record)
        record.state = _key_record.KeyState.ENDED
        record.request = None
        record.tally = None
        record.answer = answer
        record.expires_at = now + self._settings.key_memory_seconds
        self._ended[record.key] = record
        self.total_answer_bytes += record.answer_bytes
        self._records_with_body.append(record)
        while self.total_answer_bytes > self._settings.maximum_answer_bytes:
            self._drop_body(self._records_with_body.popleft())

    def list_active(self) -> list[_key_record.KeyRecord]:
        """List the records that have no final answer yet."""
        return list(self._active.values())

    def list_ended(self) -> Iterator[_key_record.KeyRecord]:
        """List the records with a final answer, oldest first."""
        yield from self._ended.values()

    def expire(self, now: float) -> None:
        """Delete records past their expiry time.

        :param now: the current time.
        """
        while self._ended:
            record = next(iter(self._ended.values()))
            if record.expires_at > now:
                return
            del self._ended[record.key]
            self.total_answer_bytes -= record.answer_bytes
            record.answer = None
            if (
                self._records_with_body
                and self._records_with_body[0] is record
            ):
                self._records_with_body.popleft()

    def _drop_body(self, record: _key_record.KeyRecord) -> None:
        if not record.answer_bytes:
            return
        self.total_answer_bytes -= record.answer_bytes
        record.answer = _answers.build_refusal(
            verdict_module.Verdict.MAY_HAVE_RUN,
            _answers.ErrorCode.ANSWER_FORGOTTEN,
        )
