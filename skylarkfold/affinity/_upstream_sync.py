"""Which upstreams there are, and what becomes of their flows."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold.affinity import _directory
from skylarkfold.affinity import _effect
from skylarkfold.affinity import _evacuation
from skylarkfold.affinity import _flow_reset
from skylarkfold.affinity import _health
from skylarkfold.affinity import _peer_loads
from skylarkfold.affinity import _settings
from skylarkfold.affinity import _upstream
from skylarkfold.affinity import _upstream_state
from skylarkfold.affinity import _warm_up
from skylarkfold import revision as revisions

_NEVER = float('-inf')
# More upstreams than these are said in one line when a start first hears of
# them: lines are held then, 4,096 at most, and callers wait.
_MAXIMUM_RECORDS = 256


class UpstreamSync:
    """Keeps the directory at the entries of the services that there are.

    :param settings: how long an entry may outlive its process.
    :param directory: all upstreams.
    :param health: told of entries that disappear.
    :param ending: ends flows of upstreams that are gone.
    :param peer_loads: summed up again after a change.
    :param limit: knows how upstreams start.
    """

    __slots__ = (
        '_directory',
        '_entries',
        '_evacuations',
        '_flow_resetter',
        '_health',
        '_is_listed',
        '_listed_at',
        '_peer_loads',
        '_services',
        '_settings',
        '_warm_up_limiter',
    )

    def __init__(
        self,
        settings: _settings.AffinitySettings,
        directory: _directory.Directory,
        health: _health.HealthMonitor,
        flow_resetter: _flow_reset.FlowResetter,
        peer_loads: _peer_loads.PeerLoads,
        warm_up_limiter: _warm_up.WarmUpLimiter,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._health = health
        self._flow_resetter = flow_resetter
        self._peer_loads = peer_loads
        self._warm_up_limiter = warm_up_limiter
        self._services: frozenset[str] = frozenset()
        self._entries: tuple[_upstream.Upstream, ...] = ()
        self._listed_at = _NEVER
        self._is_listed = False
        self._evacuations: _evacuation.Evacuations | None = None
        if not settings.follows_evacuations:
            self._evacuations = _evacuation.NO_EVACUATIONS

    @property
    def is_known(self) -> bool:
        """Whether entries and evacuations were ever listed."""
        return self._is_listed and self._evacuations is not None

    def set_services(
        self, now: float, services: frozenset[str]
    ) -> list[object]:
        """Take which services there are.

        An entry of another one names no upstream, and so takes neither
        token nor address from those that do.

        :param now: the time.
        :param services: their names; empty where that is not said.
        :returns: effects.
        """
        before, self._services = self._services, services
        if services == before or not self._is_listed:
            return []
        return self._apply(now)

    def set_upstreams(
        self, now: float, present: Iterable[_upstream.Upstream]
    ) -> list[object]:
        """Take the list of all upstreams.

        :param now: the time.
        :param present: every upstream that has an entry.
        :returns: effects.
        """
        self._entries = tuple(present)
        self._is_listed = True
        return self._apply(now)

    def set_evacuations(
        self, now: float, evacuations: _evacuation.Evacuations
    ) -> list[object]:
        """Take which availability zones are evacuated.

        Open flows stay where they are until they end.

        :param now: the time.
        :param evacuations: all of them.
        :returns: effects.
        """
        before = self._evacuations or _evacuation.NO_EVACUATIONS
        self._evacuations = evacuations
        self._mark_evacuated()
        effects: list[object] = []
        for zone in sorted(set(evacuations) - set(before)):
            revision = evacuations.get_revision(zone)
            effects.append(
                self._build_evacuation_record('started', zone, revision)
            )
        for zone in sorted(set(before) - set(evacuations)):
            revision = before.get_revision(zone)
            self._expect_warm_up(now, zone)
            effects.append(
                self._build_evacuation_record('ended', zone, revision)
            )
        return effects

    def note_present(self, at: float) -> None:
        """Note when the list was the newest.

        :param at: when it was.
        """
        self._listed_at = max(self._listed_at, at)

    def _apply(self, now: float) -> list[object]:
        effects: list[object] = []
        restarted: dict[_upstream_state.UpstreamState, float] = {}
        is_first = not self._directory
        changes = self._directory.replace(now, self._list_served())
        self._mark_evacuated()
        self._peer_loads.recompute()
        if is_first and len(changes) > _MAXIMUM_RECORDS:
            effects.append(_build_list_record(changes))
        else:
            effects += map(_build_change_record, changes)
        for change in changes:
            if change.kind == _directory.ChangeKind.LAPSED:
                change.state.last_listed_at = self._listed_at
                effects += self._health.handle_lapse(now, change.state)
            elif change.previous is not None:
                restarted[change.previous] = self._compute_last_present(
                    change.previous
                )
        effects += self._flow_resetter.reset_superseded(now, restarted)
        replaced = [each for each in self._directory if each.is_replaced]
        return effects + self._flow_resetter.reset_flows(now, replaced)

    def _list_served(self) -> list[_upstream.Upstream]:
        return [
            each
            for each in self._entries
            if not self._services or each.service in self._services
        ]

    def _mark_evacuated(self) -> None:
        evacuations = self._evacuations or _evacuation.NO_EVACUATIONS
        for state in self._directory:
            state.is_evacuated = state.upstream.zone in evacuations

    def _expect_warm_up(self, now: float, zone: str) -> None:
        """Take that a zone's upstreams are idle, and slow for all we know.

        Whether they are is in their entries within a heartbeat.
        """
        for state in self._directory:
            if state.upstream.zone == zone:
                service = state.upstream.service
                seconds = self._warm_up_limiter.get_warm_up_seconds(service)
                state.expect_warm_up(now, seconds)

    def _build_evacuation_record(
        self, reason: str, zone: str, revision: revisions.Revision
    ) -> _effect.RecordDecision:
        here = [each for each in self._directory if each.upstream.zone == zone]
        details = {
            'zone': zone,
            'revision': str(revision),
            'upstreams': len(here),
            'flows': sum(each.flows for each in here),
        }
        return _effect.RecordDecision('evacuation', reason, details=details)

    def _compute_last_present(
        self, previous: _upstream_state.UpstreamState
    ) -> float:
        """Tell when a start that has ended was there for certain.

        A flow that is open since before then is of that start; a later one
        may be of the next, which serves before its entry is known here.
        """
        listed_at = self._listed_at
        if previous.lapsed_at is not None:
            listed_at = previous.last_listed_at
        return listed_at - self._settings.entry_seconds


def _build_list_record(
    changes: list[_directory.EntryChange],
) -> _effect.RecordDecision:
    zones: dict[str, int] = {}
    for change in changes:
        zone = change.state.upstream.zone
        zones[zone] = zones.get(zone, 0) + 1
    details = {'upstreams': len(changes), 'zones': zones}
    return _effect.RecordDecision('upstream', 'listed', details=details)


def _build_change_record(
    change: _directory.EntryChange,
) -> _effect.RecordDecision:
    state = change.state if change.previous is None else change.previous
    upstream = change.state.upstream
    details = {
        'service': upstream.service,
        'zone': upstream.zone,
        'address': f'{upstream.address[0]}:{upstream.address[1]}',
        'flows': state.flows,
        'revision': str(upstream.revision),
    }
    if upstream.born is not None:
        details['born'] = upstream.born
    return _effect.RecordDecision(
        'upstream', change.kind, upstream=upstream.name, details=details
    )
