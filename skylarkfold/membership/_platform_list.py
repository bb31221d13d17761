"""Reader of the platform's list of instances."""

from __future__ import annotations

import random

from skylarkfold import effect
from skylarkfold import event
from skylarkfold.membership import _settings
from skylarkfold import platform_api

FIRST_CALL_NUMBER = 1 << 40


class InstanceListReader:
    """Reads the list at jittered intervals, with at most one pending call.

    :param settings: the membership's settings.
    :param random_source: the source of the jitter.
    """

    __slots__ = (
        '_next_call_number',
        '_next_call_time',
        '_pending_call',
        '_random',
        '_settings',
    )

    def __init__(
        self,
        settings: _settings.MembershipSettings,
        random_source: random.Random,
    ) -> None:
        self._settings = settings
        self._random = random_source
        self._next_call_number = FIRST_CALL_NUMBER
        self._pending_call: int | None = None
        self._next_call_time = 0.0

    def schedule_first_call(self, now: float) -> None:
        """Schedule the first call after a random delay.

        It spreads the calls of a fleet whose instances start together.

        :param now: the time in seconds.
        """
        self._next_call_time = now + self._random.uniform(0, 1)

    def call_if_due(self, now: float, is_reader: bool) -> list[object]:
        """Call the platform for the list if a call is due.

        :param now: the time in seconds.
        :param is_reader: whether this instance reads it regularly.
        :returns: at most one call.
        """
        if (
            now < self._next_call_time
            or not is_reader
            or self._pending_call is not None
        ):
            return []
        jitter = self._random.uniform(0.75, 1.25)
        self._next_call_time = now + self._settings.list_seconds * jitter
        self._pending_call = self._next_call_number
        self._next_call_number += 1
        return [
            effect.CallPlatform(
                self._pending_call,
                platform_api.ListInstances(),
                self._settings.list_timeout_seconds,
            )
        ]

    def take_answer(
        self, answered: event.PlatformAnswered
    ) -> tuple[platform_api.ListedInstance, ...] | None:
        """Handle the answer to a platform call.

        :param answered: the answer to any platform call.
        :returns: the listed instances, or None if the call failed or was
            not made here.
        """
        if answered.call != self._pending_call:
            return None
        self._pending_call = None
        if answered.answer.status is not platform_api.PlatformStatus.OK:
            return None
        return answered.answer.instances
