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
        '_revision',
        '_settings',
        '_since',
        '_ticked',
        'is_learning',
    )

    def __init__(self, settings: _settings.MembershipSettings) -> None:
        self._settings = settings
        self._ticked: float | None = None
        self._since = 0.0
        self._revision = 0
        self._is_synced = False
        self.is_learning = True

    def note_tick(self, now: float) -> bool:
        """Note a tick.

        :param now: the time in seconds.
        :returns: whether the process was paused before it; learning has
            begun again then.
        """
        last, self._ticked = self._ticked, now
        if last is None:
            self._since = now
            return False
        if now - last <= self._settings.pause_seconds:
            return False
        self._since = now
        self._revision = 0
        self._is_synced = False
        self.is_learning = True
        return True

    def note_met(self, fact: _messages.MemberUpdate) -> bool:
        """Note the introduction of a member.

        :param fact: its own fact.
        :returns: whether to ask it for its roster.
        """
        if not self.is_learning:
            return False
        if fact.state is member.MemberState.ALIVE:
            self._revision = max(self._revision, fact.revision)
        return not self._is_synced

    def note_synced(self) -> None:
        """Note that a peer's whole roster was taken."""
        self._is_synced = True

    def settle(self, now: float, revision: int, is_alone: bool) -> bool:
        """Be ready if enough is known.

        :param now: the time in seconds.
        :param revision: the revision in force here.
        :param is_alone: whether nobody was heard of late.
        :returns: whether it has become ready just now.
        """
        if not self.is_learning:
            return False
        if is_alone:
            is_over = now - self._since >= self._settings.alone_seconds
        else:
            is_over = self._is_synced and revision >= self._revision
        self.is_learning = not is_over
        return is_over
