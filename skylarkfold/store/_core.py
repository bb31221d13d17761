"""The platform client's decisions."""

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
# The surroundings end a call after its timeout; one that is still open
# after so many timeouts has been forgotten.
_FORGOTTEN_TIMEOUTS = 2.0


class StoreCore:
    """Carries out the conditional writes that other cores ask for.

    Writes to one object go out one after the other. A write whose answer
    is lost is read back before it is tried again. During an outage only
    one call at a time probes the platform, with growing pauses.

    :param instance: the instance's identity.
    :param settings: budget, patience and back-off.
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
        self._writes = token_bucket.TokenBucket(
            settings.writes_per_second, settings.burst_calls
        )
        self._reads = token_bucket.TokenBucket(
            settings.reads_per_second, settings.burst_calls
        )
        self._backoff = backoff.Backoff(
            settings.retry_seconds, settings.maximum_retry_seconds, generator
        )
        self._queues: dict[
            str, collections.deque[_pending_write.PendingWrite]
        ] = {}
        self._calls: dict[int, _pending_write.PendingWrite] = {}
        self._count = 0
        self._last_call = FIRST_CALL_NUMBER - 1

    @property
    def is_finished(self) -> bool:
        """Tell whether no write is left to settle."""
        return not self._queues

    @functools.singledispatchmethod
    def _take(self, received: object, now: float) -> list[object]:
        return []

    def handle(self, now: float, received: object) -> list[object]:
        """Take one event.

        :param now: the time in seconds of a monotonic clock.
        :param received: an event of :mod:`skylarkfold.event`.
        :returns: effects of :mod:`skylarkfold.effect`, in order.
        """
        return self._take(received, now)

    @_take.register
    def _(self, received: event.WriteRequested, now: float) -> list[object]:
        return self.request_write(now, received.write)

    @_take.register
    def _(self, received: event.Tick, now: float) -> list[object]:
        effects = self._forget_calls(now)
        effects += self._end_impatient(now)
        return effects + self._send_calls(now)

    @_take.register
    def _(self, received: event.ObjectChanged, now: float) -> list[object]:
        queue = self._queues.get(received.stored.path)
        if queue is None:
            return []
        pending = queue[0]
        pending.revision = max(pending.revision, received.stored.revision)
        if not pending.must_read or not pending.is_waiting:
            return []
        effects = self._take_read(pending, received.stored, now)
        return effects + self._send_calls(now)

    @_take.register
    def _(self, received: event.PlatformAnswered, now: float) -> list[object]:
        pending = self._calls.pop(received.call, None)
        if pending is None:
            return []
        pending.call = 0
        effects = self._take_answer(pending, received.answer, now)
        return effects + self._send_calls(now)

    def request_write(
        self, now: float, write: platform_api.WriteObject
    ) -> list[object]:
        """Begin a conditional write.

        :param now: the time in seconds of a monotonic clock.
        :param write: the write; one that is asked for again while it is
            pending is carried out once.
        :returns: effects; the outcome follows as a
            :class:`skylarkfold.effect.PublishWriteEnded`.
        """
        queue = self._queues.setdefault(write.path, collections.deque())
        if any(each.write == write for each in queue):
            return []
        pending = _pending_write.PendingWrite(write, now)
        if self._count >= self._settings.maximum_waiting:
            self._rotate(write.path)
            return self._report(pending, _Status.REFUSED)
        queue.append(pending)
        self._count += 1
        return self._send_calls(now)

    def _take_answer(
        self,
        pending: _pending_write.PendingWrite,
        answer: platform_api.PlatformAnswer,
        now: float,
    ) -> list[object]:
        if answer.status in (_Status.UNKNOWN, _Status.REFUSED):
            return self._take_failure(pending, answer, now)
        self._backoff.record_success()
        if pending.must_read:
            current = answer.find_object(pending.write.path)
            return self._take_read(pending, current, now)
        return self._take_written(pending, answer, now)

    def _take_failure(
        self,
        pending: _pending_write.PendingWrite,
        answer: platform_api.PlatformAnswer,
        now: float,
    ) -> list[object]:
        self._backoff.record_failure(now)
        self._rotate(pending.write.path)
        if answer.status is _Status.REFUSED:
            return [effect.CountMetric(metric.STORE_REFUSED)]
        if not pending.must_read:
            pending.answer_lost = True
            pending.must_read = True
        return [effect.CountMetric(metric.STORE_LOST)]

    def _take_written(
        self,
        pending: _pending_write.PendingWrite,
        answer: platform_api.PlatformAnswer,
        now: float,
    ) -> list[object]:
        if answer.status is _Status.OK:
            pending.current = _find_written(pending.write, answer)
            return self._end(pending, _Status.OK)
        pending.was_refused = True
        if not pending.answer_lost:
            pending.current = answer.find_object(pending.write.path)
            return self._end(pending, _Status.CONFLICT)
        pending.must_read = True
        return []

    def _take_read(
        self,
        pending: _pending_write.PendingWrite,
        current: platform_api.StoredObject | None,
        now: float,
    ) -> list[object]:
        finding = self._judge(pending, current)
        if finding is _WriteOutcome.STALE:
            pending.wait_until = now + self._settings.retry_seconds
            return [effect.CountMetric(metric.STORE_STALE)]
        if finding is _WriteOutcome.PENDING:
            pending.must_read = False
            return []
        pending.current = current
        if finding is _WriteOutcome.DONE:
            return self._end(pending, _Status.OK)
        may_have_stood = finding is _WriteOutcome.REPLACED
        return self._end(pending, _Status.CONFLICT, may_have_stood)

    def _judge(
        self,
        pending: _pending_write.PendingWrite,
        current: platform_api.StoredObject | None,
    ) -> _write_outcome.WriteOutcome:
        if current is not None and current.revision < pending.revision:
            return _WriteOutcome.STALE
        return _write_outcome.resolve_write(
            pending.write, current, pending.was_refused
        )

    def _forget_calls(self, now: float) -> list[object]:
        oldest = now - self._settings.timeout_seconds * _FORGOTTEN_TIMEOUTS
        effects: list[object] = []
        for call, pending in list(self._calls.items()):
            if pending.sent_at < oldest:
                del self._calls[call]
                pending.call = 0
                lost = platform_api.PlatformAnswer(_Status.UNKNOWN)
                effects += self._take_answer(pending, lost, now)
        return effects

    def _end_impatient(self, now: float) -> list[object]:
        oldest = now - self._settings.patience_seconds
        impatient = [
            each
            for queue in self._queues.values()
            for each in queue
            if each.asked_at < oldest and each.is_waiting
        ]
        effects: list[object] = []
        for pending in impatient:
            effects += self._end_unsettled(pending)
        return effects

    def _end_unsettled(
        self, pending: _pending_write.PendingWrite
    ) -> list[object]:
        if not pending.answer_lost:
            return self._end(pending, _Status.REFUSED)
        if pending.was_refused:
            return self._end(pending, _Status.CONFLICT, True)
        return self._end(pending, _Status.UNKNOWN)

    def _send_calls(self, now: float) -> list[object]:
        effects: list[object] = []
        for queue in list(self._queues.values()):
            if not self._may_send(now):
                break
            pending = queue[0]
            if not pending.is_waiting or now < pending.wait_until:
                continue
            budget = self._reads if pending.must_read else self._writes
            if budget.take(now):
                effects += self._send(pending, now)
        return effects

    def _may_send(self, now: float) -> bool:
        if now < self._backoff.retry_at:
            return False
        limit = 1 if self._backoff.failures else self._settings.maximum_calls
        return len(self._calls) < limit

    def _send(
        self, pending: _pending_write.PendingWrite, now: float
    ) -> list[object]:
        self._last_call += 1
        pending.call = self._last_call
        pending.sent_at = now
        self._calls[pending.call] = pending
        kind = 'reads' if pending.must_read else 'writes'
        return [
            effect.CountMetric(f'{metric.STORE_CALLS}.{kind}'),
            effect.CallPlatform(
                pending.call,
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
        self._rotate(pending.write.path)
        self._count -= 1
        return self._report(pending, status, may_have_stood)

    def _rotate(self, path: str) -> None:
        queue = self._queues.pop(path)
        if queue:
            # At the end, so that no object keeps the others waiting.
            self._queues[path] = queue

    def _report(
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


def _find_written(
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
