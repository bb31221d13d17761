"""New flows, from their first packet until an upstream answers."""

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
    :param settings: the limits.
    :param directory: all upstreams.
    :param health: told of first packets that are not answered.
    :param limit: of first packets to upstreams that warm up.
    :param refusals: refuses what no upstream may get.
    :param tally: where flows are counted.
    :param room: this instance's own.
    :param unseen: how much is placed between words of peers.
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
        :param service: its service; None where its route has none.
        :param hashed: the flow's hash.
        :param tried: names of upstreams that got the packet before.
        :returns: the upstream, None where there is none to try.
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
        :param standing: the upstream.
        :param reason: why it was chosen.
        :param version: of the routes that led to it.
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
        """Take a caller's copy of a first packet that was not answered.

        :param now: the time.
        :param flow: its flow.
        :param packet: the copy.
        :param routes: the routes in force.
        :returns: effects.
        """
        effects = self._health.suspect_unopened(now, flow)
        state = self._choose_retry(now, flow, routes, flow.tried)
        if state is not None:
            return effects + self.send_first_packet(
                now, flow, state, Reason.REPEATED, routes.version
            )
        # Every upstream has had it: one that may still have it once more,
        # which one that leaves or is evacuated by now may not.
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
        """Find when the next first packet is to be sent once more."""
        while self._waiting:
            due, flow = self._waiting[0]
            if not flow.is_open and not flow.is_closed:
                return due
            self._waiting.popleft()
        return None

    def retry_unanswered(
        self, now: float, routes: _route.RouteTable
    ) -> list[object]:
        """Send what was not answered in time to another upstream.

        :param now: the time.
        :param routes: the routes in force.
        :returns: effects.
        """
        effects: list[object] = []
        while self._waiting and self._waiting[0][0] <= now:
            _, flow = self._waiting.popleft()
            if flow.is_open or flow.is_closed:
                continue
            if self._room.is_short(now):
                # A copy to another upstream would fill a full link still
                # more; the caller's own one may go there.
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
