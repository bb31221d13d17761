"""First packets of new flows, until an upstream answers."""

from __future__ import annotations

import collections

from skylarkfold.affinity import _directory
from skylarkfold.affinity import _effect
from skylarkfold.affinity import _flow
from skylarkfold.affinity import _health
from skylarkfold.affinity import _load_trust
from skylarkfold.affinity import _packet
from skylarkfold.affinity import _placement
from skylarkfold.affinity import _refusal
from skylarkfold.affinity import _route
from skylarkfold.affinity import _settings
from skylarkfold.affinity import _tally
from skylarkfold.affinity import _upstream_state
from skylarkfold.affinity import _warm_up
from skylarkfold import room as rooms

Reason = _effect.Reason


class FlowOpener:
    """Sends first packets to upstreams until one of them answers.

    :param zone: this instance's availability zone.
    :param settings: limits and timeouts.
    :param directory: all upstreams.
    :param health: notified of first packets that are not answered.
    :param warm_up_limiter: limits first packets to upstreams that warm up.
    :param refusals: refuses flows that no upstream may take.
    :param tally: where opened flows are counted.
    :param room: the headroom of this instance's own link.
    :param load_trust: how far reported loads are trusted.
    """

    __slots__ = (
        '_directory',
        '_health',
        '_load_trust',
        '_refusals',
        '_room',
        '_settings',
        '_tally',
        '_waiting',
        '_warm_up_limiter',
        '_zone',
    )

    def __init__(
        self,
        zone: str,
        settings: _settings.AffinitySettings,
        directory: _directory.Directory,
        health: _health.HealthMonitor,
        warm_up_limiter: _warm_up.WarmUpLimiter,
        refusals: _refusal.Refusals,
        tally: _tally.Tally,
        room: rooms.InstanceHeadroom,
        load_trust: _load_trust.LoadTrust | None,
    ) -> None:
        self._zone = zone
        self._settings = settings
        self._directory = directory
        self._health = health
        self._warm_up_limiter = warm_up_limiter
        self._refusals = refusals
        self._tally = tally
        self._room = room
        self._load_trust = load_trust
        self._waiting: collections.deque[tuple[float, _flow.Flow]] = (
            collections.deque()
        )

    def choose_upstream(
        self,
        now: float,
        service: str | None,
        flow_hash: int,
        tried: tuple[str, ...] = (),
    ) -> _upstream_state.UpstreamState | None:
        """Choose an upstream for a new flow.

        :param now: the time.
        :param service: its service; None if its route has none.
        :param flow_hash: the flow's hash.
        :param tried: names of the upstreams that have got the packet already.
        :returns: the upstream, None if none may be tried.
        """
        if service is None:
            return None
        return _placement.choose_upstream(
            now,
            self._directory.list_states(service),
            self._zone,
            flow_hash >> 16,
            tried,
            self._settings,
            self._warm_up_limiter,
            self._load_trust,
        )

    def send_first_packet(
        self,
        now: float,
        flow: _flow.Flow,
        state: _upstream_state.UpstreamState,
        reason: str,
        version: int,
    ) -> list[object]:
        """Send a flow's first packet to an upstream.

        :param now: the time.
        :param flow: the flow.
        :param state: the upstream.
        :param reason: why the upstream was chosen.
        :param version: the version of the routes that were used.
        :returns: effects.
        """
        _flow.bind_flow(flow, state)
        _flow.start_request(flow, now)
        self._warm_up_limiter.record_first_packet(now, state)
        flow.placed_at = now
        flow.tried = (*flow.tried, state.upstream.name)
        due = now + self._settings.open_patience_seconds
        self._waiting.append((due, flow))
        self._tally.count(_tally.OPENED, reason)
        details = {
            'version': version,
            'load': state.load,
            'health': state.health,
            'try': len(flow.tried),
        }
        if state.speed != 1.0:
            details['speed'] = round(state.speed, 2)
        name = state.upstream.name
        return [
            _effect.RecordDecision('open', reason, flow.key, name, details),
            _effect.Forward(state.upstream, flow.first_packet),
        ]

    def handle_retransmission(
        self,
        now: float,
        flow: _flow.Flow,
        packet: _packet.Packet,
        routes: _route.RouteTable,
    ) -> list[object]:
        """Handle a caller's repetition of an unanswered first packet.

        :param now: the time.
        :param flow: the packet's flow.
        :param packet: the repeated packet.
        :param routes: the active routes.
        :returns: effects.
        """
        effects = self._health.suspect_unopened(now, flow)
        state = self._choose_retry(now, flow, routes, flow.tried)
        if state is not None:
            return effects + self.send_first_packet(
                now, flow, state, Reason.REPEATED, routes.version
            )
        # All upstreams have got it: send it once more to one that may still
        # take new flows, so not to one that is draining or evacuated by now.
        again = self._choose_retry(now, flow, routes, ())
        if again is None:
            flow.is_closed = True
            _flow.finish_request(flow, now)
            _flow.unbind_flow(flow)
            return effects + self._refusals.refuse(
                packet,
                Reason.NO_UPSTREAM,
                routes.version,
                {'try': len(flow.tried)},
            )
        self._warm_up_limiter.record_first_packet(now, again)
        return [*effects, _effect.Forward(again.upstream, packet.data)]

    def find_due(self) -> float | None:
        """Return when the next first packet times out; None without any."""
        while self._waiting:
            due, flow = self._waiting[0]
            if not flow.is_open and not flow.is_closed:
                return due
            self._waiting.popleft()
        return None

    def retry_unanswered(
        self, now: float, routes: _route.RouteTable
    ) -> list[object]:
        """Send first packets that timed out to another upstream.

        :param now: the time.
        :param routes: the active routes.
        :returns: effects.
        """
        effects: list[object] = []
        while self._waiting and self._waiting[0][0] <= now:
            _, flow = self._waiting.popleft()
            if flow.is_open or flow.is_closed:
                continue
            if self._room.is_short(now):
                # A copy would add to the load of a saturated link; the
                # caller's own retransmission may go to another upstream.
                continue
            effects += self._health.suspect_unopened(now, flow)
            if len(flow.tried) >= self._settings.open_tries:
                _flow.finish_request(flow, now)
                continue
            state = self._choose_retry(now, flow, routes, flow.tried)
            if state is not None:
                effects += self.send_first_packet(
                    now, flow, state, Reason.PLACED_AGAIN, routes.version
                )
        return effects

    def _choose_retry(
        self,
        now: float,
        flow: _flow.Flow,
        routes: _route.RouteTable,
        tried: tuple[str, ...],
    ) -> _upstream_state.UpstreamState | None:
        route = routes.get(_packet.get_address(flow.key))
        if route is None:
            return None
        flow_hash = _placement.hash_flow(flow.key)
        service = flow.state.upstream.service
        if not route.has_service(service):
            service = route.choose_service(flow_hash)
        return self.choose_upstream(now, service, flow_hash, tried)
