"""Watch of the platform's store."""

from __future__ import annotations

import dataclasses
import random

from skylarkfold.distribution import _settings
from skylarkfold import effect
from skylarkfold import platform_api

FIRST_CALL_NUMBER = 1 << 41


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformUpdate:
    """Objects returned by a call to the platform.

    :param base: the revision whose later changes are included; 0 for a
        listing, which includes everything.
    :param revision: the store's revision at the time of the answer.
    :param objects: the objects.
    :param is_listing: whether this is a complete listing, so that absent
        objects are deleted ones.
    """

    base: int
    revision: int
    objects: tuple[platform_api.StoredObject, ...]
    is_listing: bool


class PlatformWatch:
    """Lists all objects once, then watches for changes by long polling.

    At most one call is pending at a time.

    :param settings: the distribution's settings.
    :param seed: seed of the random jitter of the backoff.
    """

    __slots__ = (
        '_backoff_seconds',
        '_has_listed',
        '_must_list',
        '_next_call_number',
        '_next_call_time',
        '_pending_call',
        '_pending_request',
        '_random',
        '_settings',
    )

    def __init__(
        self, settings: _settings.DistributionSettings, seed: int
    ) -> None:
        self._settings = settings
        self._random = random.Random(seed)
        self._next_call_number = FIRST_CALL_NUMBER
        self._pending_call: int | None = None
        self._pending_request: platform_api.PlatformCall | None = None
        self._next_call_time = 0.0
        self._backoff_seconds = settings.least_backoff_seconds
        self._has_listed = False
        self._must_list = False

    @property
    def must_list(self) -> bool:
        """Whether the next call must list all objects."""
        return self._must_list

    def request_listing(self) -> None:
        """Make the next call list all objects."""
        self._must_list = True

    def call_if_due(self, now: float, position: int) -> list[object]:
        """Make the next call if none is pending and no backoff is running.

        :param now: the time in seconds.
        :param position: this instance's position.
        :returns: at most one call.
        """
        if self._pending_call is not None or now < self._next_call_time:
            return []
        self._pending_request = self._build_request(position)
        self._pending_call = self._next_call_number
        self._next_call_number += 1
        timeout = self._settings.call_timeout_seconds
        if isinstance(self._pending_request, platform_api.WatchObjects):
            timeout += self._pending_request.wait_seconds
        return [
            effect.CallPlatform(
                self._pending_call, self._pending_request, timeout
            )
        ]

    def take_answer(
        self, now: float, call: int, answer: platform_api.PlatformAnswer
    ) -> PlatformUpdate | None:
        """Handle the answer to a platform call.

        :param now: the time in seconds.
        :param call: the call's number.
        :param answer: the answer.
        :returns: the returned objects, or None if the call failed, is not
            the pending one or returned an older revision than requested.
        """
        if call != self._pending_call:
            return None
        request, self._pending_call = self._pending_request, None
        if answer.status is not platform_api.PlatformStatus.OK:
            is_refused = answer.status is platform_api.PlatformStatus.REFUSED
            self._must_list |= is_refused
            self._back_off(now)
            return None
        if isinstance(request, platform_api.WatchObjects):
            return self._handle_watch_answer(now, request, answer)
        return self._handle_listing_answer(now, answer)

    def _build_request(self, position: int) -> platform_api.PlatformCall:
        settings = self._settings
        is_first = position == 0 and not self._has_listed
        if is_first or self._must_list:
            return platform_api.ListObjects(settings.prefix)
        return platform_api.WatchObjects(
            settings.prefix, position, settings.wait_seconds
        )

    def _handle_watch_answer(
        self,
        now: float,
        request: platform_api.WatchObjects,
        answer: platform_api.PlatformAnswer,
    ) -> PlatformUpdate | None:
        if answer.revision < request.revision:
            self._back_off(now)
            return None
        self._backoff_seconds = self._settings.least_backoff_seconds
        return PlatformUpdate(
            request.revision, answer.revision, answer.objects, False
        )

    def _handle_listing_answer(
        self, now: float, answer: platform_api.PlatformAnswer
    ) -> PlatformUpdate | None:
        self._has_listed = True
        self._must_list = False
        self._backoff_seconds = self._settings.least_backoff_seconds
        return PlatformUpdate(0, answer.revision, answer.objects, True)

    def _back_off(self, now: float) -> None:
        settings = self._settings
        self._next_call_time = (
            now + self._backoff_seconds * self._random.uniform(0.5, 1.5)
        )
        self._backoff_seconds = min(
            self._backoff_seconds * 2, settings.most_backoff_seconds
        )
