"""Synchronization of the directory with entries and evacuations."""

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
# More upstreams than this are logged in one line at a start: up to 4,096 lines
# are buffered then, while callers wait.
_MAXIMUM_RECORDS = 256


class UpstreamSync:
    """Updates the directory from entries, services and evacuations.

    :param settings: how long an entry may outlive its process.
    :param directory: all upstreams.
    :param health: notified of entries that disappear.
    :param flow_resetter: resets flows of replaced or restarted upstreams.
    :param peer_loads: recomputed after a change.
    :param warm_up_limiter: provides how long upstreams warm up.
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
        """Whether entries and evacuations have been received."""
        return self._is_listed and self._evacuations is not None

    def set_services(
        self, now: float, services: frozenset[str]
    ) -> list[object]:
        """Replace the set of services.

        Entries of unknown services are ignored, so that they claim neither a
        token nor an address.

        :param now: the time.
        :param services: their names; empty if not known.
        :returns: effects.
        """
        before, self._services = self._services, services
        if services == before or not self._is_listed:
            return []
        return self._apply(now)

    def set_upstreams(
        self, now: float, present: Iterable[_upstream.Upstream]
    ) -> list[object]:
        """Replace the list of all upstreams.

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
        """Replace the set of evacuated availability zones.

        Open flows stay on their upstreams until they end.

        :param now: the time.
        :param evacuations: all evacuated zones.
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
        """Record when the list of upstreams was known to be up to date.

        :param at: the time.
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
        """Treat a zone's upstreams as warming up, since they were idle.

        Their entries say within a heartbeat whether they are.
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
        """Return until when an ended start is known to have existed.

        A flow that was open before then belongs to that start; a later one may
        belong to the next start, which serves before its entry is known here.
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
