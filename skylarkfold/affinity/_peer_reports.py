"""What instances tell one another of upstreams."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold.affinity import _directory
from skylarkfold.affinity import _failure_detector
from skylarkfold.affinity import _peer_loads
from skylarkfold.affinity import _settings
from skylarkfold import upstream_load


class PeerReports:
    """Takes the words of peers, and says what is known here.

    Upstreams are named by incarnation: a word of an earlier start that is
    still under way is none of the present one.

    :param settings: how long what was heard is worth telling.
    :param directory: all upstreams.
    :param suspects: told of what peers heard, or found out of reach.
    :param peer_loads: keeps what they carry.
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
        """Take what others carry.

        :param now: the time.
        :param source: who they are; a later word replaces an earlier one.
        :param loads: by incarnation of their upstream.
        """
        self._peer_loads.update_report(now, source, loads)

    def list_loads(self, now: float) -> dict[int, upstream_load.UpstreamLoad]:
        """List what this instance carries, for its peers.

        :param now: the time.
        :returns: by incarnation of their upstream; requests on average
            since this was last asked.
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
        """Answer a peer that doubts some upstreams.

        :param now: the time.
        :param incarnations: of the upstreams.
        :returns: for those heard here, how many seconds ago, by
            incarnation.
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
        """Take what a peer has heard of upstreams in doubt.

        :param now: the time.
        :param heard: how many seconds ago, by incarnation.
        """
        for incarnation, age in heard.items():
            state = self._directory.find_by_incarnation(incarnation)
            if state is not None:
                self._failure_detector.handle_last_seen(now, state, now - age)

    def handle_unreachable(
        self, now: float, incarnations: Iterable[int]
    ) -> list[object]:
        """Take that a peer of this zone found upstreams out of reach.

        :param now: the time.
        :param incarnations: of the upstreams.
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
