"""Reports about upstreams that instances exchange."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold.affinity import _directory
from skylarkfold.affinity import _failure_detector
from skylarkfold.affinity import _peer_loads
from skylarkfold.affinity import _settings
from skylarkfold import upstream_load


class PeerReports:
    """Handles reports of peers and answers their queries.

    Upstreams are identified by incarnation, so that a delayed report about an
    earlier start does not count for the present one.

    :param settings: how old a reported observation may be.
    :param directory: all upstreams.
    :param failure_detector: receives peers' observations and verdicts.
    :param peer_loads: sums the reported loads.
    """

    __slots__ = ('_directory', '_failure_detector', '_peer_loads', '_settings')

    def __init__(
        self,
        settings: _settings.AffinitySettings,
        directory: _directory.Directory,
        failure_detector: _failure_detector.FailureDetector,
        peer_loads: _peer_loads.PeerLoads,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._failure_detector = failure_detector
        self._peer_loads = peer_loads

    def handle_load(
        self,
        now: float,
        source: str,
        loads: dict[int, upstream_load.UpstreamLoad],
    ) -> None:
        """Handle the load report of an instance or zone.

        :param now: the time.
        :param source: its name; a report replaces its previous one.
        :param loads: loads by incarnation of the upstream.
        """
        self._peer_loads.update_report(now, source, loads)

    def list_loads(self, now: float) -> dict[int, upstream_load.UpstreamLoad]:
        """List what this instance carries, for its peers.

        :param now: the time.
        :returns: loads by incarnation of the upstream; requests in flight are
            means since the last call.
        """
        loads = {}
        for state in self._directory:
            answers, slowness = 0.0, 0.0
            if state.answer_statistics is not None:
                answers, slowness = state.answer_statistics.export(now)
            if state.flows > 0 or answers:
                loads[state.upstream.incarnation] = upstream_load.UpstreamLoad(
                    state.flows,
                    state.pop_mean_busy(now),
                    answers,
                    slowness,
                )
        return loads

    def list_last_seen(
        self, now: float, incarnations: Iterable[int]
    ) -> dict[int, float]:
        """Answer a peer's query about suspected upstreams.

        :param now: the time.
        :param incarnations: the incarnations of the upstreams.
        :returns: for those heard here, the seconds since then by incarnation.
        """
        heard = {}
        for incarnation in incarnations:
            state = self._directory.find_by_incarnation(incarnation)
            if state is None:
                continue
            age = now - state.heard_at
            if age <= self._settings.longest_wait_seconds:
                heard[incarnation] = age
        return heard

    def handle_last_seen(self, now: float, heard: dict[int, float]) -> None:
        """Handle a peer's answer about suspected upstreams.

        :param now: the time.
        :param heard: the seconds since the peer heard them, by incarnation.
        """
        for incarnation, age in heard.items():
            state = self._directory.find_by_incarnation(incarnation)
            if state is not None:
                self._failure_detector.handle_last_seen(now, state, now - age)

    def handle_unreachable(
        self, now: float, incarnations: Iterable[int]
    ) -> list[object]:
        """Handle a report that upstreams are unreachable from a peer.

        :param now: the time.
        :param incarnations: the incarnations of the upstreams.
        :returns: effects.
        """
        effects: list[object] = []
        for incarnation in incarnations:
            state = self._directory.find_by_incarnation(incarnation)
            if state is not None:
                effects += self._failure_detector.handle_unreachable(
                    now, state
                )
        return effects
