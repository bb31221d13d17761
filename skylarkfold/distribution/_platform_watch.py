"""The stream of changes from the platform to a watcher."""

from __future__ import annotations

import dataclasses
import random

from skylarkfold.distribution import _settings
from skylarkfold import effect
from skylarkfold import platform_api

FIRST_CALL_NUMBER = 1 << 41


@dataclasses.dataclass(frozen=True, slots=True)
class News:
    """What a call to the platform brought.

    :param base: the answer holds every change after this revision; 0
        for a listing, which holds everything.
    :param revision: the store's revision at the answer.
    :param objects: the objects.
    :param is_listing: whether absent objects are deleted.
    """

    base: int
    revision: int
    objects: tuple[platform_api.StoredObject, ...]
    is_listing: bool


class Feed:
    """One call at a time: a listing first, then waiting watches.

    :param settings: the distribution's settings.
    :param seed: spreads the pauses of this instance against the others'.
    """

    __slots__ = (
        '_backoff',
        '_call',
        '_is_listed',
        '_must_list',
        '_next_call',
        '_next_time',
        '_random',
        '_request',
        '_settings',
    )

    def __init__(
        self, settings: _settings.DistributionSettings, seed: int
    ) -> None:
        self._settings = settings
        self._random = random.Random(seed)
        self._next_call = FIRST_CALL_NUMBER
        self._call: int | None = None
        self._request: platform_api.PlatformCall | None = None
        self._next_time = 0.0
        self._backoff = settings.least_backoff_seconds
        self._is_listed = False
        self._must_list = False

    @property
    def must_list(self) -> bool:
        """Whether everything has to be listed again."""
        return self._must_list

    def want_listing(self) -> None:
        """List everything with the next call."""
        self._must_list = True

    def call(self, now: float, position: int) -> list[object]:
        """Begin the next call if none is under way.

        :param now: the time in seconds.
        :param position: the position on this instance.
        :returns: at most one call.
        """
        if self._call is not None or now < self._next_time:
            return []
        self._request = self._choose_request(position)
        self._call = self._next_call
        self._next_call += 1
        timeout = self._settings.call_timeout_seconds
        if isinstance(self._request, platform_api.WatchObjects):
            timeout += self._request.wait_seconds
        return [effect.CallPlatform(self._call, self._request, timeout)]

    def take(
        self, now: float, call: int, answer: platform_api.PlatformAnswer
    ) -> News | None:
        """Take the answer to a call.

        :param now: the time in seconds.
        :param call: the call's number.
        :param answer: its outcome.
        :returns: what it brought, or None if it failed, was older than
            what was asked for or belongs to no call under way.
        """
        if call != self._call:
            return None
        request, self._call = self._request, None
        if answer.status is not platform_api.PlatformStatus.OK:
            refused = answer.status is platform_api.PlatformStatus.REFUSED
            self._must_list |= refused
            self._pause(now)
            return None
        if isinstance(request, platform_api.WatchObjects):
            return self._take_watch(now, request, answer)
        return self._take_listing(now, answer)

    def _choose_request(self, position: int) -> platform_api.PlatformCall:
        settings = self._settings
        is_new = position == 0 and not self._is_listed
        if is_new or self._must_list:
            return platform_api.ListObjects(settings.prefix)
        return platform_api.WatchObjects(
            settings.prefix, position, settings.wait_seconds
        )

    def _take_watch(
        self,
        now: float,
        request: platform_api.WatchObjects,
        answer: platform_api.PlatformAnswer,
    ) -> News | None:
        if answer.revision < request.revision:
            self._pause(now)
            return None
        self._backoff = self._settings.least_backoff_seconds
        return News(request.revision, answer.revision, answer.objects, False)

    def _take_listing(
        self, now: float, answer: platform_api.PlatformAnswer
    ) -> News | None:
        self._is_listed = True
        self._must_list = False
        self._backoff = self._settings.least_backoff_seconds
        return News(0, answer.revision, answer.objects, True)

    def _pause(self, now: float) -> None:
        settings = self._settings
        self._next_time = now + self._backoff * self._random.uniform(0.5, 1.5)
        self._backoff = min(self._backoff * 2, settings.most_backoff_seconds)
