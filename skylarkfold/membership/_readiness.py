"""Readiness of this instance after a start or a pause."""

from __future__ import annotations

from skylarkfold import member
from skylarkfold.membership import _messages
from skylarkfold.membership import _settings


class Readiness:
    """Tracks whether a started or resumed instance has synced with others.

    It needs a peer's complete roster, and the highest revision reported
    by the members that it met has to be in force here. An instance that
    finds no other becomes ready after a timeout.

    :param settings: the membership's settings.
    """

    __slots__ = (
        '_is_synced',
        '_last_tick',
        '_required_revision',
        '_settings',
        '_syncing_since',
        'is_syncing',
    )

    def __init__(self, settings: _settings.MembershipSettings) -> None:
        self._settings = settings
        self._last_tick: float | None = None
        self._syncing_since = 0.0
        self._required_revision = 0
        self._is_synced = False
        self.is_syncing = True

    def record_tick(self, now: float) -> bool:
        """Record a tick, and start to sync again after a pause.

        :param now: the time in seconds.
        :returns: whether the process was paused before this tick.
        """
        last, self._last_tick = self._last_tick, now
        if last is None:
            self._syncing_since = now
            return False
        if now - last <= self._settings.pause_seconds:
            return False
        self._syncing_since = now
        self._required_revision = 0
        self._is_synced = False
        self.is_syncing = True
        return True

    def record_hello(self, update: _messages.MemberUpdate) -> bool:
        """Record the Hello message of a member.

        :param update: the member's own update.
        :returns: whether to request its roster.
        """
        if not self.is_syncing:
            return False
        if update.state is member.MemberState.ALIVE:
            self._required_revision = max(
                self._required_revision, update.revision
            )
        return not self._is_synced

    def record_roster(self) -> None:
        """Record that a peer's complete roster was received."""
        self._is_synced = True

    def try_finish_sync(
        self, now: float, revision: int, is_isolated: bool
    ) -> bool:
        """End the sync if its conditions are met.

        :param now: the time in seconds.
        :param revision: the revision in force here.
        :param is_isolated: whether no instance was heard from recently.
        :returns: whether this call ended the sync.
        """
        if not self.is_syncing:
            return False
        if is_isolated:
            is_finished = (
                now - self._syncing_since >= self._settings.alone_seconds
            )
        else:
            is_finished = (
                self._is_synced and revision >= self._required_revision
            )
        self.is_syncing = not is_finished
        return is_finished
