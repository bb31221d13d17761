"""Core of the platform client, without I/O."""

from __future__ import annotations

import collections
import functools
import random

from skylarkfold import backoff
from skylarkfold import effect
from skylarkfold import event
from skylarkfold import instance as instance_module
from skylarkfold import metric
from skylarkfold import platform_api
from skylarkfold.store import _pending_write
from skylarkfold.store import _settings
from skylarkfold.store import _write_outcome
from skylarkfold import token_bucket

FIRST_CALL_NUMBER = 1

_Status = platform_api.PlatformStatus
_WriteOutcome = _write_outcome.WriteOutcome
# The executor of effects ends a call after its timeout. A call that is still
# open after this many timeouts counts as lost.
_CALL_EXPIRY_TIMEOUTS = 2.0


class StoreCore:
    """Performs the conditional writes that other cores request.

    Writes to one object are sent one after the other. If the answer to a
    write is lost, its object is read before the write is retried. During an
    outage only one call at a time is sent, with growing pauses.

    :param instance: the instance's identity.
    :param settings: rate limits, deadlines and back-off.
    :param seed: the seed of the jitter; it should differ between starts.
    """

    def __init__(
        self,
        instance: instance_module.InstanceSettings,
        settings: _settings.StoreSettings,
        seed: int,
    ) -> None:
        generator = random.Random(f'{instance.name}/{seed}')
        self._settings = settings
        self._write_bucket = token_bucket.TokenBucket(
            settings.writes_per_second, settings.burst_calls
        )
        self._read_bucket = token_bucket.TokenBucket(
            settings.reads_per_second, settings.burst_calls
        )
        self._backoff = backoff.Backoff(
            settings.retry_seconds, settings.maximum_retry_seconds, generator
        )
        self._queues: dict[
            str, collections.deque[_pending_write.PendingWrite]
        ] = {}
        self._open_calls: dict[int, _pending_write.PendingWrite] = {}
        self._write_count = 0
        self._last_call_number = FIRST_CALL_NUMBER - 1

    @property
    def is_finished(self) -> bool:
        """Whether no write is pending."""
        return not self._queues

    @functools.singledispatchmethod
    def _dispatch(self, received: object, now: float) -> list[object]:
        return []

    def handle(self, now: float, received: object) -> list[object]:
        """Handle one event.

        :param now: the time in seconds of a monotonic clock.
        :param received: an event of :mod:`skylarkfold.event`.
        :returns: effects of :mod:`skylarkfold.effect`, in order.
        """
        return self._dispatch(received, now)

    @_dispatch.register
    def _(self, received: event.WriteRequested, now: float) -> list[object]:
        return self.request_write(now, received.write)

    @_dispatch.register
    def _(self, received: event.Tick, now: float) -> list[object]:
        effects = self._expire_calls(now)
        effects += self._expire_writes(now)
        return effects + self._send_calls(now)

    @_dispatch.register
    def _(self, received: event.ObjectChanged, now: float) -> list[object]:
        queue = self._queues.get(received.stored.path)
        if queue is None:
            return []
        pending = queue[0]
        pending.known_revision = max(
            pending.known_revision, received.stored.revision
        )
        if not pending.needs_read or not pending.is_idle:
            return []
        effects = self._handle_read(pending, received.stored, now)
        return effects + self._send_calls(now)

    @_dispatch.register
    def _(self, received: event.PlatformAnswered, now: float) -> list[object]:
        pending = self._open_calls.pop(received.call, None)
        if pending is None:
            return []
        pending.call_number = 0
        effects = self._handle_answer(pending, received.answer, now)
        return effects + self._send_calls(now)

    def request_write(
        self, now: float, write: platform_api.WriteObject
    ) -> list[object]:
        """Start a conditional write.

        :param now: the time in seconds of a monotonic clock.
        :param write: the write; a repeated request for a pending write is
            ignored.
        :returns: effects; the outcome follows as a
            :class:`skylarkfold.effect.PublishWriteEnded`.
        """
        queue = self._queues.setdefault(write.path, collections.deque())
        if any(each.write == write for each in queue):
            return []
        pending = _pending_write.PendingWrite(write, now)
        if self._write_count >= self._settings.maximum_waiting:
            self._move_to_end(write.path)
            return self._report_outcome(pending, _Status.REFUSED)
        queue.append(pending)
        self._write_count += 1
        return self._send_calls(now)

    def _handle_answer(
        self,
        pending: _pending_write.PendingWrite,
        answer: platform_api.PlatformAnswer,
        now: float,
    ) -> list[object]:
        if answer.status in (_Status.UNKNOWN, _Status.REFUSED):
            return self._handle_failure(pending, answer, now)
        self._backoff.record_success()
        if pending.needs_read:
            current = answer.find_object(pending.write.path)
            return self._handle_read(pending, current, now)
        return self._handle_write_answer(pending, answer, now)

    def _handle_failure(
        self,
        pending: _pending_write.PendingWrite,
        answer: platform_api.PlatformAnswer,
        now: float,
    ) -> list[object]:
        self._backoff.record_failure(now)
        self._move_to_end(pending.write.path)
        if answer.status is _Status.REFUSED:
            return [effect.CountMetric(metric.STORE_REFUSED)]
        if not pending.needs_read:
            pending.is_answer_lost = True
            pending.needs_read = True
        return [effect.CountMetric(metric.STORE_LOST)]

    def _handle_write_answer(
        self,
        pending: _pending_write.PendingWrite,
        answer: platform_api.PlatformAnswer,
        now: float,
    ) -> list[object]:
        if answer.status is _Status.OK:
            pending.current = _build_stored(pending.write, answer)
            return self._end(pending, _Status.OK)
        pending.had_conflict = True
        if not pending.is_answer_lost:
            pending.current = answer.find_object(pending.write.path)
            return self._end(pending, _Status.CONFLICT)
        pending.needs_read = True
        return []

    def _handle_read(
        self,
        pending: _pending_write.PendingWrite,
        current: platform_api.StoredObject | None,
        now: float,
    ) -> list[object]:
        outcome = self._resolve_read(pending, current)
        if outcome is _WriteOutcome.STALE:
            pending.not_before = now + self._settings.retry_seconds
            return [effect.CountMetric(metric.STORE_STALE)]
        if outcome is _WriteOutcome.PENDING:
            pending.needs_read = False
            return []
        pending.current = current
        if outcome is _WriteOutcome.DONE:
            return self._end(pending, _Status.OK)
        may_have_stood = outcome is _WriteOutcome.REPLACED
        return self._end(pending, _Status.CONFLICT, may_have_stood)

    def _resolve_read(
        self,
        pending: _pending_write.PendingWrite,
        current: platform_api.StoredObject | None,
    ) -> _write_outcome.WriteOutcome:
        if current is not None and current.revision < pending.known_revision:
            return _WriteOutcome.STALE
        return _write_outcome.resolve_write(
            pending.write, current, pending.had_conflict
        )

    def _expire_calls(self, now: float) -> list[object]:
        oldest = now - self._settings.timeout_seconds * _CALL_EXPIRY_TIMEOUTS
        effects: list[object] = []
        for call, pending in list(self._open_calls.items()):
            if pending.sent_at < oldest:
                del self._open_calls[call]
                pending.call_number = 0
                lost = platform_api.PlatformAnswer(_Status.UNKNOWN)
                effects += self._handle_answer(pending, lost, now)
        return effects

    def _expire_writes(self, now: float) -> list[object]:
        oldest = now - self._settings.patience_seconds
        expired = [
            each
            for queue in self._queues.values()
            for each in queue
            if each.requested_at < oldest and each.is_idle
        ]
        effects: list[object] = []
        for pending in expired:
            effects += self._end_expired(pending)
        return effects

    def _end_expired(
        self, pending: _pending_write.PendingWrite
    ) -> list[object]:
        if not pending.is_answer_lost:
            return self._end(pending, _Status.REFUSED)
        if pending.had_conflict:
            return self._end(pending, _Status.CONFLICT, True)
        return self._end(pending, _Status.UNKNOWN)

    def _send_calls(self, now: float) -> list[object]:
        effects: list[object] = []
        for queue in list(self._queues.values()):
            if not self._can_send(now):
                break
            pending = queue[0]
            if not pending.is_idle or now < pending.not_before:
                continue
            bucket = (
                self._read_bucket if pending.needs_read else self._write_bucket
            )
            if bucket.take(now):
                effects += self._send(pending, now)
        return effects

    def _can_send(self, now: float) -> bool:
        if now < self._backoff.retry_at:
            return False
        limit = 1 if self._backoff.failures else self._settings.maximum_calls
        return len(self._open_calls) < limit

    def _send(
        self, pending: _pending_write.PendingWrite, now: float
    ) -> list[object]:
        self._last_call_number += 1
        pending.call_number = self._last_call_number
        pending.sent_at = now
        self._open_calls[pending.call_number] = pending
        call_kind = 'reads' if pending.needs_read else 'writes'
        return [
            effect.CountMetric(f'{metric.STORE_CALLS}.{call_kind}'),
            effect.CallPlatform(
                pending.call_number,
                pending.build_call(),
                self._settings.timeout_seconds,
            ),
        ]

    def _end(
        self,
        pending: _pending_write.PendingWrite,
        status: platform_api.PlatformStatus,
        may_have_stood: bool = False,
    ) -> list[object]:
        self._queues[pending.write.path].remove(pending)
        self._move_to_end(pending.write.path)
        self._write_count -= 1
        return self._report_outcome(pending, status, may_have_stood)

    def _move_to_end(self, path: str) -> None:
        queue = self._queues.pop(path)
        if queue:
            # Sent last from now on, so that no object blocks the others.
            self._queues[path] = queue

    def _report_outcome(
        self,
        pending: _pending_write.PendingWrite,
        status: platform_api.PlatformStatus,
        may_have_stood: bool = False,
    ) -> list[object]:
        path = pending.write.path
        ended = event.WriteEnded(path, status, pending.current, may_have_stood)
        return [
            effect.RecordDecision('write', '', path, '', status.value),
            effect.PublishWriteEnded(ended),
        ]


def _build_stored(
    write: platform_api.WriteObject, answer: platform_api.PlatformAnswer
) -> platform_api.StoredObject | None:
    if write.value is None:
        return None
    for each in answer.objects:
        if each.path == write.path:
            return platform_api.StoredObject(
                each.path, each.version, each.revision, write.value
            )
    return platform_api.StoredObject(
        write.path, write.expected_version + 1, answer.revision, write.value
    )
