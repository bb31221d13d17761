"""Whether this instance may rely on its view yet."""

from __future__ import annotations

from skylarkfold import member
from skylarkfold.membership import _messages
from skylarkfold.membership import _settings


class Readiness:
    """A new or woken instance hears from others before it is ready.

    It needs a peer's whole roster and, in force here, the revision that
    was in force on the members it met. Who finds nobody is alone.

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
        """Note a tick.

        :param now: the time in seconds.
        :returns: whether the process was paused before it; learning has
            begun again then.
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
        """Note the introduction of a member.

        :param fact: its own fact.
        :returns: whether to ask it for its roster.
        """
        if not self.is_syncing:
            return False
        if update.state is member.MemberState.ALIVE:
            self._required_revision = max(
                self._required_revision, update.revision
            )
        return not self._is_synced

    def record_roster(self) -> None:
        """Note that a peer's whole roster was taken."""
        self._is_synced = True

    def finish_sync(
        self, now: float, revision: int, is_isolated: bool
    ) -> bool:
        """Be ready if enough is known.

        :param now: the time in seconds.
        :param revision: the revision in force here.
        :param is_alone: whether nobody was heard of late.
        :returns: whether it has become ready just now.
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
