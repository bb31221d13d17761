"""A stand-in of the platform's store for objects of the system's own."""

from __future__ import annotations

import dataclasses
import functools
import random

from collections.abc import Callable

from skylarkfold.measure import _flow_schedule
from skylarkfold import platform_api

Ended = Callable[
    [
        platform_api.WriteObject,
        platform_api.PlatformStatus,
        platform_api.StoredObject | None,
    ],
    None,
]
Changed = Callable[[platform_api.StoredObject], None]


@dataclasses.dataclass(slots=True)
class PlatformSettings:
    """How the store behaves.

    :param delay_seconds: the time each way.
    :param is_down: whether calls fail.
    :param lost_answer_share: writes that take effect and whose answer
        never comes.
    """

    delay_seconds: float = 0.005
    is_down: bool = False
    lost_answer_share: float = 0.0


class Platform:
    """Keeps objects and changes them by conditional writes.

    :param schedule: the clock.
    :param settings: delays and faults; its fields may be changed.
    :param changed: called with each new version of an object.
    :param source: the random numbers.
    """

    def __init__(
        self,
        schedule: _flow_schedule.Schedule,
        settings: PlatformSettings,
        changed: Changed,
        source: random.Random,
    ) -> None:
        self.settings = settings
        self.objects: dict[str, platform_api.StoredObject] = {}
        self.revision = 0
        self.writes = 0
        self._schedule = schedule
        self._changed = changed
        self._source = source

    def request(self, write: platform_api.WriteObject, ended: Ended) -> None:
        """Take a write.

        :param write: what to write.
        :param ended: called when the outcome is known to the writer.
        """
        action = functools.partial(self._execute, write, ended)
        self._schedule.add(self.settings.delay_seconds, action)

    def take_revision(self) -> int:
        """Number one more change of the store.

        :returns: the new revision.
        """
        self.revision += 1
        return self.revision

    def _execute(self, write: platform_api.WriteObject, ended: Ended) -> None:
        self.writes += 1
        if self.settings.is_down:
            self._answer(
                write, ended, platform_api.PlatformStatus.UNKNOWN, None
            )
            return
        current = self.objects.get(write.path)
        version = current.version if current else 0
        if write.expected_version != version:
            conflict = platform_api.PlatformStatus.CONFLICT
            self._answer(write, ended, conflict, current)
            return
        written = self._store(write, version + 1)
        if self._source.random() < self.settings.lost_answer_share:
            self._answer(
                write, ended, platform_api.PlatformStatus.UNKNOWN, None
            )
            return
        self._answer(write, ended, platform_api.PlatformStatus.OK, written)

    def _store(
        self, write: platform_api.WriteObject, version: int
    ) -> platform_api.StoredObject:
        revision = self.take_revision()
        written = platform_api.StoredObject(
            write.path, version, revision, write.value
        )
        self.objects[write.path] = written
        self._changed(written)
        return written

    def _answer(
        self,
        write: platform_api.WriteObject,
        ended: Ended,
        status: platform_api.PlatformStatus,
        current: platform_api.StoredObject | None,
    ) -> None:
        action = functools.partial(ended, write, status, current)
        self._schedule.add(self.settings.delay_seconds, action)
