"""Flows and requests of each upstream that peers report."""

from __future__ import annotations

from skylarkfold.affinity import _directory
from skylarkfold.affinity import _load_trust
from skylarkfold.affinity import _settings
from skylarkfold.affinity import _upstream_state
from skylarkfold import upstream_load

_Load = upstream_load.UpstreamLoad
_NO_LOAD = upstream_load.NO_LOAD


class PeerLoads:
    """The latest report of each instance and zone, summed by upstream.

    :param settings: how long a report is valid.
    :param directory: all upstreams, whose ``remote_*`` sums are updated.
    :ivar load_trust: how far reported loads are trusted; None for fully.
    """

    __slots__ = ('_directory', '_reports', '_settings', 'load_trust')

    def __init__(
        self,
        settings: _settings.AffinitySettings,
        directory: _directory.Directory,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self.load_trust: _load_trust.LoadTrust | None = None
        if settings.unseen_trust:
            self.load_trust = _load_trust.LoadTrust(
                settings.unseen_trust, directory
            )
        self._reports: dict[str, tuple[float, dict[int, _Load]]] = {}

    def update_report(
        self, now: float, source: str, loads: dict[int, _Load]
    ) -> None:
        """Replace the report of an instance or zone.

        :param now: the time.
        :param source: the name of the instance or zone.
        :param loads: loads by incarnation of the upstream.
        """
        at, before = self._reports.get(source, (now, {}))
        if before:
            self._directory.record_report_interval(now - at)
        self._reports[source] = (now, loads)
        for incarnation in before.keys() | loads.keys():
            known = before.get(incarnation, _NO_LOAD)
            self._add_difference(
                incarnation, loads.get(incarnation, _NO_LOAD), known
            )

    def expire(self, now: float) -> None:
        """Remove the reports of instances and zones that have fallen silent.

        :param now: the time.
        """
        oldest = now - self._settings.load_seconds
        for source, (at, report) in list(self._reports.items()):
            if at < oldest:
                del self._reports[source]
                for incarnation, load in report.items():
                    self._add_difference(incarnation, _NO_LOAD, load)

    def recompute(self) -> None:
        """Recompute the sums after the upstreams have changed."""
        for state in self._directory:
            state.remote_flows = 0
            state.remote_answers = state.remote_slowness = 0.0
            state.remote_busy = 0.0
        for _, report in self._reports.values():
            for incarnation, load in report.items():
                self._add_difference(incarnation, load)

    def _add_difference(
        self, incarnation: int, load: _Load, before: _Load = _NO_LOAD
    ) -> None:
        state = self._directory.find_by_incarnation(incarnation)
        if state is not None:
            state.remote_flows += load.flows - before.flows
            busy = state.remote_busy + load.busy - before.busy
            # Additions and subtractions leave rounding errors.
            state.remote_busy = max(0.0, busy)
            if load.answers or before.answers:
                _add_answers(state, load, before)


def _add_answers(
    state: _upstream_state.UpstreamState, load: _Load, before: _Load
) -> None:
    answers = state.remote_answers + load.answers - before.answers
    if answers < upstream_load.MINIMUM_ANSWERS:
        state.remote_answers = state.remote_slowness = 0.0
        return
    state.remote_answers = answers
    state.remote_slowness += load.slowness - before.slowness
