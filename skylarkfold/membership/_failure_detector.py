"""Failure detector for the neighbours in the own zone."""

from __future__ import annotations

from collections.abc import Iterable
import math

from skylarkfold.membership import _settings


class FailureDetector:
    """Tracks last contact, pending indirect probes and suspicions.

    :param settings: the membership's settings.
    """

    __slots__ = (
        '_last_heard',
        '_last_heard_any',
        '_probe_deadlines',
        '_settings',
        '_suspicions',
    )

    def __init__(self, settings: _settings.MembershipSettings) -> None:
        self._settings = settings
        self._last_heard: dict[str, float] = {}
        self._probe_deadlines: dict[str, float] = {}
        self._suspicions: dict[str, tuple[int, float]] = {}
        self._last_heard_any = -math.inf

    def record_heard(self, name: str, heard_at: float) -> None:
        """Record that an instance was heard from.

        :param name: the instance.
        :param heard_at: the time in seconds.
        """
        self._last_heard[name] = max(
            heard_at, self._last_heard.get(name, heard_at)
        )
        self._last_heard_any = max(self._last_heard_any, heard_at)
        self._probe_deadlines.pop(name, None)

    def get_last_heard(self, name: str) -> float | None:
        """Return when an instance was last heard from, None if never."""
        return self._last_heard.get(name)

    def is_isolated(self, now: float) -> bool:
        """Return whether no instance was heard from recently.

        The fault is then likely on this side, so no neighbour should be
        declared suspect or dead.

        :param now: the time in seconds.
        """
        return now - self._last_heard_any > self._settings.suspect_seconds

    def record_disconnect(self, name: str, now: float) -> None:
        """Record that the stream to an instance broke.

        The instance counts as silent, so it is probed in the next round.

        :param name: the instance.
        :param now: the time in seconds.
        """
        if name in self._last_heard:
            self._last_heard[name] = min(
                self._last_heard[name], now - self._settings.suspect_seconds
            )

    def start_probes(self, names: Iterable[str], now: float) -> list[str]:
        """Start the probe deadline of each instance that fell silent.

        :param names: the instances that this one monitors.
        :param now: the time in seconds.
        :returns: the instances to probe.
        """
        limit = now - self._settings.suspect_seconds
        silent = [
            name
            for name in names
            if self._last_heard.setdefault(name, now) <= limit
            and name not in self._probe_deadlines
            and name not in self._suspicions
        ]
        for name in silent:
            self._probe_deadlines[name] = now + self._settings.probe_seconds
        return silent

    def pop_failed_probes(self, now: float) -> list[str]:
        """Remove and return the instances whose probes timed out.

        :param now: the time in seconds.
        """
        failed = [
            name
            for name, deadline in self._probe_deadlines.items()
            if now >= deadline
        ]
        for name in failed:
            del self._probe_deadlines[name]
        return failed

    def start_suspicion(self, name: str, incarnation: int, now: float) -> None:
        """Start the refutation deadline of a suspect.

        Does nothing if the same incarnation is suspected already.

        :param name: the suspect.
        :param incarnation: its incarnation.
        :param now: the time in seconds.
        """
        known = self._suspicions.get(name)
        if known is None or known[0] != incarnation:
            deadline = now + self._settings.dead_seconds
            self._suspicions[name] = (incarnation, deadline)

    def clear_suspicion(self, name: str) -> None:
        """Clear the suspicion and the probe of an instance."""
        self._suspicions.pop(name, None)
        self._probe_deadlines.pop(name, None)

    def list_expired_suspicions(self, now: float) -> list[str]:
        """List the suspects whose refutation deadline has passed.

        :param now: the time in seconds.
        """
        return [
            name
            for name, (_, deadline) in self._suspicions.items()
            if now >= deadline
        ]

    def retain(self, names: Iterable[str]) -> None:
        """Drop the last contact of all instances but the named ones."""
        kept = set(names)
        self._last_heard = {
            name: heard
            for name, heard in self._last_heard.items()
            if name in kept
        }

    def reset(self, now: float) -> None:
        """Restart all deadlines, after a pause of this process.

        Every instance counts as heard from now.

        :param now: the time in seconds.
        """
        self._probe_deadlines.clear()
        self._last_heard = dict.fromkeys(self._last_heard, now)
        self.extend_suspicions(now)

    def extend_suspicions(self, now: float) -> None:
        """Restart the refutation deadline of every suspect.

        :param now: the time in seconds.
        """
        deadline = now + self._settings.dead_seconds
        self._suspicions = {
            name: (incarnation, deadline)
            for name, (incarnation, _) in self._suspicions.items()
        }
