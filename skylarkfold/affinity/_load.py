"""What others carry of each upstream's flows and requests."""

from __future__ import annotations

from skylarkfold.affinity import _directory
from skylarkfold.affinity import _settings
from skylarkfold.affinity import _standing
from skylarkfold.affinity import _unseen
from skylarkfold import upstream_load

_Load = upstream_load.UpstreamLoad
_NOTHING = upstream_load.NO_LOAD


class PeerLoads:
    """The newest word of each instance and zone, summed up by upstream.

    :param settings: how long a word counts.
    :param directory: all upstreams; their ``remote_flows`` and
        ``remote_busy`` are kept here.
    :ivar unseen: how much is placed between words; None where that does not
        matter.
    """

    __slots__ = ('_directory', '_reports', '_settings', 'unseen')

    def __init__(
        self,
        settings: _settings.AffinitySettings,
        directory: _directory.Directory,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self.unseen: _unseen.Unseen | None = None
        if settings.unseen_trust:
            self.unseen = _unseen.Unseen(settings.unseen_trust, directory)
        self._reports: dict[str, tuple[float, dict[int, _Load]]] = {}

    def take(self, now: float, source: str, loads: dict[int, _Load]) -> None:
        """Take what an instance or zone says.

        :param now: the time.
        :param source: who says so.
        :param loads: by incarnation of their upstream.
        """
        at, before = self._reports.get(source, (now, {}))
        if before:
            self._directory.note_gap(now - at)
        self._reports[source] = (now, loads)
        for incarnation in before.keys() | loads.keys():
            known = before.get(incarnation, _NOTHING)
            self._add(incarnation, loads.get(incarnation, _NOTHING), known)

    def expire(self, now: float) -> None:
        """Forget what those said that are silent now.

        :param now: the time.
        """
        oldest = now - self._settings.load_seconds
        for source, (at, report) in list(self._reports.items()):
            if at < oldest:
                del self._reports[source]
                for incarnation, load in report.items():
                    self._add(incarnation, _NOTHING, load)

    def apply(self) -> None:
        """Sum up again after the upstreams have changed."""
        for standing in self._directory:
            standing.remote_flows = 0
            standing.remote_answers = standing.remote_slowness = 0.0
            standing.remote_busy = 0.0
        for _, report in self._reports.values():
            for incarnation, load in report.items():
                self._add(incarnation, load)

    def _add(
        self, incarnation: int, load: _Load, before: _Load = _NOTHING
    ) -> None:
        standing = self._directory.find_incarnation(incarnation)
        if standing is not None:
            standing.remote_flows += load.flows - before.flows
            busy = standing.remote_busy + load.busy - before.busy
            # What is added and taken away again leaves a rounding error.
            standing.remote_busy = max(0.0, busy)
            if load.answers or before.answers:
                _add_answers(standing, load, before)


def _add_answers(
    standing: _standing.Standing, load: _Load, before: _Load
) -> None:
    answers = standing.remote_answers + load.answers - before.answers
    if answers < upstream_load.MINIMUM_ANSWERS:
        standing.remote_answers = standing.remote_slowness = 0.0
        return
    standing.remote_answers = answers
    standing.remote_slowness += load.slowness - before.slowness
