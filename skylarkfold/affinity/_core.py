"""Decisions on packets of flows that carry a token."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold.affinity import _admission
from skylarkfold.affinity import _binding
from skylarkfold.affinity import _destination
from skylarkfold.affinity import _directory
from skylarkfold.affinity import _effect
from skylarkfold.affinity import _evacuation
from skylarkfold.affinity import _failure_detector
from skylarkfold.affinity import _flow
from skylarkfold.affinity import _flow_opener
from skylarkfold.affinity import _flow_reset
from skylarkfold.affinity import _health
from skylarkfold.affinity import _held_packets
from skylarkfold.affinity import _link_admission
from skylarkfold.affinity import _packet
from skylarkfold.affinity import _peer_loads
from skylarkfold.affinity import _peer_reports
from skylarkfold.affinity import _pending_verdicts
from skylarkfold.affinity import _placement
from skylarkfold.affinity import _refusal
from skylarkfold.affinity import _route
from skylarkfold.affinity import _route_freshness
from skylarkfold.affinity import _settings
from skylarkfold.affinity import _share_switch
from skylarkfold.affinity import _tally
from skylarkfold.affinity import _upstream
from skylarkfold.affinity import _upstream_state
from skylarkfold.affinity import _upstream_sync
from skylarkfold.affinity import _warm_up
from skylarkfold import room as rooms

Reason = _effect.Reason


class AffinityCore:
    """Places new flows, forwards open ones and detects failed upstreams.

    Several methods are those of its parts and are bound in the constructor:
    reports to and from peers (``_peer_reports.PeerReports``), probe results
    (``_failure_detector.FailureDetector``), the instances of this zone
    (``_warm_up.WarmUpLimiter``) and the times at which the store was known to
    be up to date.

    :param zone: this instance's availability zone.
    :param settings: limits and timeouts.
    :param room: the headroom of this instance's own link; None for a default
        one without any reports.
    :ivar shares: switches the enforcement of callers' shares.
    """

    def __init__(
        self,
        zone: str,
        settings: _settings.AffinitySettings,
        room: rooms.InstanceHeadroom | None = None,
    ) -> None:
        self._zone = zone
        self.room = room or rooms.InstanceHeadroom()
        self._settings = settings
        self.tally = _tally.Tally()
        self._routes = _route.EMPTY_TABLE
        self._directory = _directory.Directory(settings)
        self._flows = _flow.FlowTable(settings.flow_limit)
        self._flow_resetter = _flow_reset.FlowResetter(
            settings, self._flows, self.tally
        )
        self._admission = _admission.Admission(settings, self._directory)
        self._failure_detector = _failure_detector.FailureDetector(
            zone,
            settings,
            self._directory,
            self._flow_resetter,
            self.tally,
            self.room,
        )
        self._health = _health.HealthMonitor(
            settings, self._failure_detector, self._admission, self.tally
        )
        self._peer_loads = _peer_loads.PeerLoads(settings, self._directory)
        self._warm_up_limiter = _warm_up.WarmUpLimiter(zone, settings)
        self._refusals = _refusal.Refusals(self.tally)
        self.set_mates = self._warm_up_limiter.set_mates
        self._flow_opener = _flow_opener.FlowOpener(
            zone,
            settings,
            self._directory,
            self._health,
            self._warm_up_limiter,
            self._refusals,
            self.tally,
            self.room,
            self._peer_loads.load_trust,
        )
        self._flow_binder = _binding.FlowBinder(
            self._directory, self._flows, self._health
        )
        self.link = _link_admission.build_link_admission(
            self.room, self._refusals, self.tally
        )
        self.shares = _share_switch.ShareSwitch(
            self._directory,
            self._admission,
            self._refusals,
            self._health,
            lambda address: self._routes.get(address),
        )
        # Packets whose upstream is not known yet, and all packets before
        # this instance is ready.
        self._held_packets = _held_packets.HeldPackets(
            _held_packets.TOKEN_SECONDS
        )
        # First packets whose route is not known; a queue of their own, so
        # that a flood of them leaves room for open flows.
        self._unrouted_packets = _held_packets.HeldPackets(
            _held_packets.ROUTE_SECONDS
        )
        self._upstream_sync = _upstream_sync.UpstreamSync(
            settings,
            self._directory,
            self._health,
            self._flow_resetter,
            self._peer_loads,
            self._warm_up_limiter,
        )
        peer_reports = _peer_reports.PeerReports(
            settings, self._directory, self._failure_detector, self._peer_loads
        )
        self.handle_load = peer_reports.handle_load
        self.list_loads = peer_reports.list_loads
        self.handle_last_seen = peer_reports.handle_last_seen
        self.list_last_seen = peer_reports.list_last_seen
        self.handle_unreachable = peer_reports.handle_unreachable
        self.handle_probe_result = self._failure_detector.handle_probe_result
        self.note_present = self._upstream_sync.note_present
        self._route_freshness = _route_freshness.RouteFreshness(settings)
        self.note_confirmed = self._route_freshness.record
        self.note_proved = self._route_freshness.record_proof
        self._pending_verdicts = _pending_verdicts.PendingVerdicts()
        self._next_active = float('-inf')
        self._next_dormant = float('-inf')

    @property
    def is_ready(self) -> bool:
        """Whether routes, upstreams and evacuations have all been received."""
        return self._upstream_sync.is_known and self._routes.version >= 0

    @property
    def version(self) -> int:
        """The version of the active routes; -1 before the first."""
        return self._routes.version

    @property
    def directory(self) -> _directory.Directory:
        """All upstreams that may hold flows."""
        return self._directory

    def set_routes(
        self, now: float, routes: _route.RouteTable
    ) -> list[object]:
        """Activate a version of the routes.

        :param now: the time in seconds of a monotonic clock.
        :param routes: the routes; a version older than the active one is
            ignored, unless the two are of different eras of the store: a
            version may be lost for good then.
        :returns: effects.
        """
        is_same_era = routes.revision.era == self._routes.revision.era
        if is_same_era and routes.version <= self._routes.version:
            return []
        routes.record_removed(self._routes)
        self._routes = routes
        self._warm_up_limiter.set_warm_ups(routes.warm_ups)
        if self.link is not None:
            self.link.set_routes(routes)
        details = {'version': routes.version, 'routes': len(routes)}
        effects: list[object] = [
            _effect.RecordDecision('routes', 'in-force', details=details)
        ]
        effects += self._upstream_sync.set_services(now, routes.services)
        effects += self._release_held(now)
        for packet in self._unrouted_packets.take(routes):
            effects += self._handle_first_packet(now, packet)
        return effects + self._release_pending(now)

    def set_upstreams(
        self, now: float, present: Iterable[_upstream.Upstream]
    ) -> list[object]:
        """Replace the list of all upstreams.

        :param now: the time in seconds.
        :param present: every upstream that has an entry in the store.
        :returns: effects.
        """
        effects = self._upstream_sync.set_upstreams(now, present)
        return effects + self._release_held(now)

    def set_evacuations(
        self, now: float, evacuations: _evacuation.Evacuations
    ) -> list[object]:
        """Replace the set of evacuated availability zones.

        :param now: the time in seconds.
        :param evacuations: all evacuated zones.
        :returns: effects.
        """
        effects = self._upstream_sync.set_evacuations(now, evacuations)
        return effects + self._release_held(now)

    def handle_packet(
        self, now: float, packet: _packet.Packet
    ) -> list[object]:
        """Decide on a packet from a caller.

        :param now: the time in seconds.
        :param packet: the packet.
        :returns: effects.
        """
        if packet.is_first:
            return self._handle_first_packet(now, packet)
        if packet.flow in self._pending_verdicts:
            effects = self._release_pending_flow(now, packet.flow)
            return effects + self._handle_later_packet(now, packet)
        return self._handle_later_packet(now, packet)

    def tick(self, now: float) -> list[object]:
        """Run what is due: timeouts, retries, probes and expiry.

        :param now: the time in seconds; a few dozen times a second.
        :returns: effects.
        """
        if now >= self._next_active:
            self._next_active = now + self._settings.active_seconds / 2
            self._flows.rotate_active()
        if now >= self._next_dormant:
            self._next_dormant = now + self._routes.idle_seconds / 2
            self._flows.rotate_dormant()
            self._directory.remove_expired(now)
        self._peer_loads.expire(now)
        effects = self._flow_opener.retry_unanswered(now, self._routes)
        effects += self._health.tick(now)
        effects += self._release_pending(now)
        if self.link is not None:
            effects += self._release_link(now, self.link)
        for _ in self._held_packets.expire(now):
            self.tally.count(_tally.DROPPED, _tally.HELD_TOO_LONG)
        for packet in self._unrouted_packets.expire(now):
            effects += self._refuse_route(now, packet)
        return effects

    def find_due(self, now: float) -> float | None:
        """Return the time at which the next tick is needed.

        :param now: the time in seconds.
        :returns: the time, ``now`` while any upstream is suspected; None if
            nothing is pending.
        """
        if self._failure_detector.has_suspects or self._pending_verdicts:
            return now
        deadlines = (
            self._flow_opener.find_due(),
            self._health.find_due(),
            self._held_packets.find_due(),
            self._unrouted_packets.find_due(),
            None if self.link is None else self.link.find_due(now),
        )
        return min((at for at in deadlines if at is not None), default=None)

    def _handle_first_packet(
        self, now: float, packet: _packet.Packet
    ) -> list[object]:
        flow = self._flows.get(packet.flow)
        if flow is not None:
            return self._handle_retransmission(now, packet, flow)
        if not self.is_ready:
            return self._hold(now, packet, Reason.ROUTE_UNKNOWN)
        route = self._routes.get(packet.address)
        if route is None:
            return self._handle_unrouted_first_packet(now, packet)
        return self._place(now, packet, route)

    def _handle_unrouted_first_packet(
        self, now: float, packet: _packet.Packet
    ) -> list[object]:
        """Hold a first packet for the change that may bring its route.

        Callers take a refusal for a closed port, and many don't come back.
        """
        is_copy = packet.acknowledged > 0
        is_known = is_copy or self._routes.was_removed(packet.address)
        if is_known or not self._unrouted_packets.add(now, packet):
            return self._refuse_route(now, packet)
        self.tally.count(_tally.HELD, Reason.ROUTE_UNKNOWN)
        return []

    def _place(
        self,
        now: float,
        packet: _packet.Packet,
        route: _route.Route,
        has_waited: bool = False,
    ) -> list[object]:
        link = self.link
        if link is not None and link.is_waiting(packet.flow):
            return self._drop(Reason.REPEATED)
        flow_hash = _placement.hash_flow(packet.flow)
        found = _destination.find_destination(
            now, route, flow_hash, self._flow_opener, self._admission
        )
        # Another instance may have placed the first transmission.
        is_retransmission = packet.acknowledged > 0
        sharing = self.shares.sharing
        if sharing is not None and not is_retransmission and not has_waited:
            service = found and found.state.upstream.service
            refused = sharing.check_first_packet(
                now, packet, route, service, flow_hash, self._routes.version
            )
            if refused:
                return refused
        if found is None:
            return self._refuse(packet, Reason.NO_UPSTREAM)
        state = found.state
        if not has_waited:
            self.tally.observe(
                _tally.WAIT_SECONDS, found.expected.wait_seconds
            )
        if not is_retransmission and found.is_crowded:
            return self._refusals.refuse_crowded(
                packet, self._routes.version, route, state, found.expected
            )
        if link is not None and not route.is_preferred:
            if not has_waited:
                held = link.hold(now, packet, route, self._routes.version)
                if held is not None:
                    return held
            link.begin(now, packet)
        flow = _flow.Flow(packet.flow, state, now)
        flow.is_idempotent = route.is_idempotent
        flow.is_routed = True
        flow.first_packet = packet.data
        self._flows.add(flow)
        return self._flow_opener.send_first_packet(
            now, flow, state, Reason.PLACED, self._routes.version
        )

    def _handle_retransmission(
        self, now: float, packet: _packet.Packet, flow: _flow.Flow
    ) -> list[object]:
        open_timeout = self._settings.open_patience_seconds
        if flow.is_open or now < flow.placed_at + open_timeout:
            return self._drop(Reason.REPEATED)
        route = self._routes.get(packet.address)
        if route is None:
            return self._refuse_route(now, packet)
        return self._flow_opener.handle_retransmission(
            now, flow, packet, self._routes
        )

    def _handle_later_packet(
        self, now: float, packet: _packet.Packet
    ) -> list[object]:
        flow = self._flows.get(packet.flow)
        if flow is None or not _binding.is_bound(flow, packet):
            flow = self._flow_binder.bind(now, packet, flow, self._routes)
            if flow is None:
                return self._handle_unknown_token(now, packet)
        elif not flow.is_open:
            self._health.record_open(now, flow, packet)
        route = self._routes.get(packet.address)
        if route is None:
            return self._handle_unrouted(now, packet, flow)
        flow.is_routed = True
        if self.link is not None and not route.is_preferred:
            self.link.handle_packet(now, flow, packet, route)
        return self._forward(now, packet, flow)

    def _handle_unrouted(
        self, now: float, packet: _packet.Packet, flow: _flow.Flow
    ) -> list[object]:
        """Decide on a packet of an open flow whose route is not known."""
        if self._is_removed(flow):
            return self._end_removed(now, packet, flow)
        if not self._must_wait(now, flow):
            return self._forward(now, packet, flow)
        if self._pending_verdicts.add(packet):
            self.tally.count(_tally.HELD, Reason.ROUTE_UNKNOWN)
            return [_effect.ConfirmRoutes()]
        # Packets of this flow that are held were sent before this one.
        effects: list[object] = []
        for each in (*self._pending_verdicts.take(packet.flow), packet):
            effects += self._forward(now, each, flow)
        return effects

    def _forward(
        self, now: float, packet: _packet.Packet, flow: _flow.Flow
    ) -> list[object]:
        flow.last_packet_at = now
        state = flow.state
        if state.health != _upstream_state.Health.GOOD or state.is_replaced:
            resets = self._flow_resetter.reset_flow(now, flow, packet)
            if resets is not None:
                return resets
            self._failure_detector.resume_probing(state)
        self._health.handle_packet(now, flow, packet)
        if packet.is_last:
            flow.is_closed = True
            _flow.finish_request(flow, now)
            _flow.unbind_flow(flow)
        return [_effect.Forward(state.upstream, packet.data)]

    def _handle_unknown_token(
        self, now: float, packet: _packet.Packet
    ) -> list[object]:
        if packet.token == 0:
            return self._drop(Reason.NO_TOKEN)
        return self._hold(now, packet, Reason.TOKEN_UNKNOWN)

    def _is_removed(self, flow: _flow.Flow) -> bool:
        """Return whether a flow's route has been removed.

        A route that was never known here may be newer than this instance's
        configuration: the instance that opened the flow knew it. Only routes
        that are complete up to the flow's arrival here tell that it is gone.
        """
        if not self.is_ready:
            return False
        is_complete = self._route_freshness.is_complete_since(flow.started_at)
        return flow.is_routed or is_complete

    def _must_wait(self, now: float, flow: _flow.Flow) -> bool:
        """Return whether to wait for the store to tell of a flow's route."""
        if not self.is_ready or not self._route_freshness.has_confirmation:
            return False
        if self._flows.get(flow.key) is not flow:
            # Beyond the limit of tracked flows it has no time of arrival.
            return False
        return now - flow.started_at < _pending_verdicts.HELD_SECONDS

    def _release_pending(self, now: float) -> list[object]:
        """Decide on the packets that wait for the store."""
        effects: list[object] = []
        for key in self._pending_verdicts.list_flows():
            effects += self._release_pending_flow(now, key)
        if self._pending_verdicts:
            effects.append(_effect.ConfirmRoutes())
        return effects

    def _release_pending_flow(self, now: float, key: bytes) -> list[object]:
        """Decide on the packets of a flow that wait for the store."""
        flow = self._flows.get(key)
        is_unrouted = _packet.get_address(key) not in self._routes
        if flow is not None and is_unrouted:
            if self._is_removed(flow):
                # One reset answers all of them.
                packet = self._pending_verdicts.take(key)[-1]
                return self._end_removed(now, packet, flow)
            if self._must_wait(now, flow):
                return []
        effects: list[object] = []
        for packet in self._pending_verdicts.take(key):
            effects += self._handle_later_packet(now, packet)
        return effects

    def _refuse_route(
        self, now: float, packet: _packet.Packet
    ) -> list[object]:
        if not self._route_freshness.is_fresh(now):
            return self._drop(Reason.ROUTE_UNKNOWN)
        return self._refusals.refuse(
            packet,
            Reason.NO_ROUTE,
            self._routes.version,
            self._route_freshness.describe(now),
        )

    def _refuse(self, packet: _packet.Packet, reason: str) -> list[object]:
        return self._refusals.refuse(packet, reason, self._routes.version)

    def _end_removed(
        self, now: float, packet: _packet.Packet, flow: _flow.Flow
    ) -> list[object]:
        """End a flow whose route has been removed."""
        self._flows.remove(flow)
        details = {
            'carried_ms': _flow_reset.to_ms(now - flow.started_at),
            'was_known': flow.is_routed,
            **self._route_freshness.describe(now),
        }
        return self._refusals.refuse(
            packet, Reason.ROUTE_REMOVED, self._routes.version, details
        )

    def _drop(self, reason: str) -> list[object]:
        self.tally.count(_tally.DROPPED, reason)
        return [_effect.Drop(reason)]

    def _hold(
        self, now: float, packet: _packet.Packet, reason: str
    ) -> list[object]:
        if not self._held_packets.add(now, packet):
            return self._drop(reason)
        self.tally.count(_tally.HELD, reason)
        return []

    def _release_link(
        self, now: float, link: _link_admission.LinkAdmission
    ) -> list[object]:
        effects: list[object] = []
        for packet in link.release(now):
            route = self._routes.get(packet.address)
            if route is None:
                effects += self._refuse_route(now, packet)
            else:
                effects += self._place(now, packet, route, True)
        return effects + link.expire(now, self._routes.version)

    def _release_held(self, now: float) -> list[object]:
        if not self.is_ready:
            return []
        effects: list[object] = []
        for packet in self._held_packets.release(now):
            effects += self.handle_packet(now, packet)
        return effects
