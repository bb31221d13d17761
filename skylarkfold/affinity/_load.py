"""What others carry of each upstream's flows."""

from __future__ import annotations

from skylarkfold.affinity import _directory
from skylarkfold.affinity import _settings


class PeerLoads:
    """The newest word of each instance and zone, summed up by upstream.

    :param settings: how long a word counts.
    :param directory: all upstreams; their ``remote_flows`` are kept here.
    """

    __slots__ = ('_directory', '_reports', '_settings')

    def __init__(
        self,
        settings: _settings.AffinitySettings,
        directory: _directory.Directory,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._reports: dict[str, tuple[float, dict[int, int]]] = {}

    def take(self, now: float, source: str, flows: dict[int, int]) -> None:
        """Take what an instance or zone says.

        :param now: the time.
        :param source: who says so.
        :param flows: by token of their upstream.
        """
        _, before = self._reports.get(source, (now, {}))
        self._reports[source] = (now, flows)
        for token in before.keys() | flows.keys():
            change = flows.get(token, 0) - before.get(token, 0)
            self._add(token, change)

    def expire(self, now: float) -> None:
        """Forget what those said that are silent now.

        :param now: the time.
        """
        oldest = now - self._settings.load_seconds
        for source, (at, report) in list(self._reports.items()):
            if at < oldest:
                del self._reports[source]
                for token, flows in report.items():
                    self._add(token, -flows)

    def apply(self) -> None:
        """Sum up again after the upstreams have changed."""
        for standing in self._directory:
            standing.remote_flows = 0
        for _, report in self._reports.values():
            for token, flows in report.items():
                self._add(token, flows)

    def _add(self, token: int, change: int) -> None:
        standing = self._directory.find(token)
        if standing is not None:
            standing.remote_flows += change
