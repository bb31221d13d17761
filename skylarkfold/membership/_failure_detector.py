"""Judges the silence of the neighbours in the own zone."""

from __future__ import annotations

from collections.abc import Iterable
import math

from skylarkfold.membership import _settings


class Detector:
    """First-hand evidence, probes under way and suspicions.

    :param settings: the membership's settings.
    """

    __slots__ = (
        '_heard',
        '_last_heard',
        '_probes',
        '_settings',
        '_suspicions',
    )

    def __init__(self, settings: _settings.MembershipSettings) -> None:
        self._settings = settings
        self._heard: dict[str, float] = {}
        self._probes: dict[str, float] = {}
        self._suspicions: dict[str, tuple[int, float]] = {}
        self._last_heard = -math.inf

    def note_heard(self, name: str, heard: float) -> None:
        """Note evidence that an instance was alive.

        :param name: the instance.
        :param heard: when, in seconds.
        """
        self._heard[name] = max(heard, self._heard.get(name, heard))
        self._last_heard = max(self._last_heard, heard)
        self._probes.pop(name, None)

    def get_heard(self, name: str) -> float | None:
        """Find when an instance was last heard, None for never."""
        return self._heard.get(name)

    def is_isolated(self, now: float) -> bool:
        """Tell whether nobody at all was heard of late.

        Such an instance rather suspects itself.

        :param now: the time in seconds.
        """
        return now - self._last_heard > self._settings.suspect_seconds

    def doubt(self, name: str, now: float) -> None:
        """Note that the stream to an instance broke: ask at once.

        :param name: the instance.
        :param now: the time in seconds.
        """
        if name in self._heard:
            self._heard[name] = min(
                self._heard[name], now - self._settings.suspect_seconds
            )

    def find_silent(self, names: Iterable[str], now: float) -> list[str]:
        """Find watched instances to ask after, and begin to.

        :param names: the instances that this one watches.
        :param now: the time in seconds.
        :returns: those that were silent for too long just now.
        """
        limit = now - self._settings.suspect_seconds
        silent = [
            name
            for name in names
            if self._heard.setdefault(name, now) <= limit
            and name not in self._probes
            and name not in self._suspicions
        ]
        for name in silent:
            self._probes[name] = now + self._settings.probe_seconds
        return silent

    def list_unanswered(self, now: float) -> list[str]:
        """List instances that nobody heard either; their probes end.

        :param now: the time in seconds.
        """
        overdue = [
            name for name, deadline in self._probes.items() if now >= deadline
        ]
        for name in overdue:
            del self._probes[name]
        return overdue

    def suspect(self, name: str, incarnation: int, now: float) -> None:
        """Begin to wait for a suspect's refutation.

        :param name: the suspect.
        :param incarnation: its incarnation.
        :param now: the time in seconds.
        """
        known = self._suspicions.get(name)
        if known is None or known[0] != incarnation:
            deadline = now + self._settings.dead_seconds
            self._suspicions[name] = (incarnation, deadline)

    def clear(self, name: str) -> None:
        """End a suspicion."""
        self._suspicions.pop(name, None)
        self._probes.pop(name, None)

    def list_overdue(self, now: float) -> list[str]:
        """List suspects whose time to refute is over.

        :param now: the time in seconds.
        """
        return [
            name
            for name, (_, deadline) in self._suspicions.items()
            if now >= deadline
        ]

    def keep(self, names: Iterable[str]) -> None:
        """Forget the evidence about all instances but some."""
        kept = set(names)
        self._heard = {
            name: heard for name, heard in self._heard.items() if name in kept
        }

    def restart(self, now: float) -> None:
        """Count everything as fresh after a pause of this process.

        :param now: the time in seconds.
        """
        self._probes.clear()
        self._heard = dict.fromkeys(self._heard, now)
        self.hold(now)

    def hold(self, now: float) -> None:
        """Give every suspect its whole time again.

        :param now: the time in seconds.
        """
        deadline = now + self._settings.dead_seconds
        self._suspicions = {
            name: (incarnation, deadline)
            for name, (incarnation, _) in self._suspicions.items()
        }
