"""The decisions on flows whose packets carry a token."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold.affinity import _admission
from skylarkfold.affinity import _binding
from skylarkfold.affinity import _certainty
from skylarkfold.affinity import _destination
from skylarkfold.affinity import _directory
from skylarkfold.affinity import _effect
from skylarkfold.affinity import _ending
from skylarkfold.affinity import _evacuation
from skylarkfold.affinity import _flow
from skylarkfold.affinity import _health
from skylarkfold.affinity import _held
from skylarkfold.affinity import _link
from skylarkfold.affinity import _load
from skylarkfold.affinity import _opening
from skylarkfold.affinity import _packet
from skylarkfold.affinity import _placement
from skylarkfold.affinity import _presence
from skylarkfold.affinity import _refusal
from skylarkfold.affinity import _route
from skylarkfold.affinity import _settings
from skylarkfold.affinity import _share_switch
from skylarkfold.affinity import _standing
from skylarkfold.affinity import _suspects
from skylarkfold.affinity import _tally
from skylarkfold.affinity import _upstream
from skylarkfold.affinity import _warm_up
from skylarkfold.affinity import _words
from skylarkfold import room as rooms

Reason = _effect.Reason


class AffinityCore:
    """Places new flows, forwards known ones, finds what has failed.

    What peers say and are told goes through methods of
    :class:`._words.PeerWords`, the ends of probes through one of
    :class:`._suspects.Suspects`; they stand here under their names.

    :param zone: this instance's availability zone.
    :param settings: the limits.
    :param room: the instance's own; None for one that nothing is told of.
    :ivar shares: whether callers are kept to shares.
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
        self._routes = _route.EMPTY
        self._directory = _directory.Directory(settings)
        self._flows = _flow.FlowTable(settings.flow_limit)
        self._ending = _ending.Ending(settings, self._flows, self.tally)
        self._admission = _admission.Admission(settings, self._directory)
        self._suspects = _suspects.Suspects(
            zone,
            settings,
            self._directory,
            self._ending,
            self.tally,
            self.room,
        )
        self._health = _health.HealthWatch(
            settings, self._suspects, self._admission, self.tally
        )
        self._peer_loads = _load.PeerLoads(settings, self._directory)
        self._limit = _warm_up.WarmUpLimit(zone, settings)
        self._refusals = _refusal.Refusals(self.tally)
        self.set_mates = self._limit.set_mates
        self._opener = _opening.Opener(
            zone,
            settings,
            self._directory,
            self._health,
            self._limit,
            self._refusals,
            self.tally,
            self.room,
            self._peer_loads.unseen,
        )
        self._binding = _binding.Binding(
            self._directory, self._flows, self._health
        )
        self.link = _link.build_gate(self.room, self._refusals, self.tally)
        self.shares = _share_switch.ShareSwitch(
            self._directory,
            self._admission,
            self._refusals,
            self._health,
            lambda address: self._routes.get(address),
        )
        self._held = _held.HeldPackets()
        self._presence = _presence.Presence(
            settings,
            self._directory,
            self._health,
            self._ending,
            self._peer_loads,
            self._limit,
        )
        words = _words.PeerWords(
            settings, self._directory, self._suspects, self._peer_loads
        )
        self.handle_load = words.handle_load
        self.list_loads = words.list_loads
        self.handle_last_seen = words.handle_last_seen
        self.list_last_seen = words.list_last_seen
        self.handle_unreachable = words.handle_unreachable
        self.handle_probe_result = self._suspects.handle_probe_result
        self.note_present = self._presence.note_present
        self._certainty = _certainty.Certainty(settings)
        self.note_confirmed = self._certainty.note
        self._next_active = float('-inf')
        self._next_dormant = float('-inf')

    @property
    def is_ready(self) -> bool:
        """Whether all that a new flow needs is known."""
        return self._presence.is_known and self._routes.version >= 0

    @property
    def version(self) -> int:
        """The version of the routes in force; -1 before the first."""
        return self._routes.version

    @property
    def directory(self) -> _directory.Directory:
        """All upstreams that may hold flows."""
        return self._directory

    def set_routes(
        self, now: float, routes: _route.RouteTable
    ) -> list[object]:
        """Put routes in force.

        :param now: the time in seconds of a monotonic clock.
        :param routes: the routes; an older version than the one in force
            is ignored, unless the two are of different eras of the store: a
            version may be gone for good then.
        :returns: effects.
        """
        is_same_era = routes.revision.era == self._routes.revision.era
        if is_same_era and routes.version <= self._routes.version:
            return []
        self._routes = routes
        self._limit.set_warm_ups(routes.warm_ups)
        if self.link is not None:
            self.link.set_routes(routes)
        details = {'version': routes.version, 'routes': len(routes)}
        effects: list[object] = [
            _effect.RecordDecision('routes', 'in-force', details=details)
        ]
        effects += self._presence.set_services(now, routes.services)
        return effects + self._release(now)

    def set_upstreams(
        self, now: float, present: Iterable[_upstream.Upstream]
    ) -> list[object]:
        """Take the list of all upstreams.

        :param now: the time in seconds.
        :param present: every upstream that has an entry.
        :returns: effects.
        """
        effects = self._presence.set_present(now, present)
        return effects + self._release(now)

    def set_evacuations(
        self, now: float, evacuations: _evacuation.Evacuations
    ) -> list[object]:
        """Take which availability zones are evacuated.

        :param now: the time in seconds.
        :param evacuations: all of them.
        :returns: effects.
        """
        effects = self._presence.set_evacuations(now, evacuations)
        return effects + self._release(now)

    def handle_packet(
        self, now: float, packet: _packet.Packet
    ) -> list[object]:
        """Decide on one packet of a caller.

        :param now: the time in seconds.
        :param packet: the packet.
        :returns: effects.
        """
        if packet.is_first:
            return self._take_first(now, packet)
        flow = self._flows.get(packet.flow)
        if flow is None or not _binding.is_bound(flow, packet):
            flow = self._binding.bind(now, packet, flow, self._routes)
            if flow is None:
                return self._take_unknown(now, packet)
        elif not flow.is_open:
            self._health.note_open(now, flow, packet)
        route = self._routes.get(packet.address)
        if route is not None:
            flow.is_routed = True
            if self.link is not None and not route.is_preferred:
                self.link.handle_packet(now, flow, packet, route)
        elif self._is_removed(now, flow):
            self._flows.remove(flow)
            return self._refuse(packet, Reason.ROUTE_REMOVED)
        return self._carry(now, packet, flow)

    def tick(self, now: float) -> list[object]:
        """Do what is due.

        :param now: the time in seconds; a few dozen times a second.
        :returns: effects.
        """
        if now >= self._next_active:
            self._next_active = now + self._settings.active_seconds / 2
            self._flows.rotate_active()
        if now >= self._next_dormant:
            self._next_dormant = now + self._routes.idle_seconds / 2
            self._flows.rotate_dormant()
            self._directory.forget(now)
        self._peer_loads.expire(now)
        effects = self._opener.repeat(now, self._routes)
        effects += self._health.tick(now)
        if self.link is not None:
            effects += self._release_link(now, self.link)
        for _ in range(self._held.expire(now)):
            self.tally.count(_tally.DROPPED, _tally.HELD_TOO_LONG)
        return effects

    def find_due(self, now: float) -> float | None:
        """Find when a tick has something to do that can't wait.

        :param now: the time in seconds.
        :returns: the time, at once for a probe; None if nothing waits.
        """
        if self._suspects.has_any:
            return now
        waiting = (
            self._opener.find_due(),
            self._health.find_due(),
            self._held.find_due(),
            None if self.link is None else self.link.find_due(now),
        )
        return min((at for at in waiting if at is not None), default=None)

    def _take_first(self, now: float, packet: _packet.Packet) -> list[object]:
        flow = self._flows.get(packet.flow)
        if flow is not None:
            return self._take_copy(now, packet, flow)
        if not self.is_ready:
            return self._hold(now, packet, Reason.ROUTE_UNKNOWN)
        route = self._routes.get(packet.address)
        if route is None:
            return self._refuse_route(now, packet)
        return self._place(now, packet, route)

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
        hashed = _placement.hash_flow(packet.flow)
        found = _destination.find_destination(
            now, route, hashed, self._opener, self._admission
        )
        # Of a copy, another instance may have placed the first one.
        is_copy = packet.acknowledged > 0
        sharing = self.shares.sharing
        if sharing is not None and not is_copy and not has_waited:
            service = found and found.standing.upstream.service
            refused = sharing.take_first(
                now, packet, route, service, hashed, self._routes.version
            )
            if refused:
                return refused
        if found is None:
            return self._refuse(packet, Reason.NO_UPSTREAM)
        standing = found.standing
        if not has_waited:
            self.tally.observe(
                _tally.WAIT_SECONDS, found.expected.wait_seconds
            )
        if not is_copy and found.is_crowded:
            return self._refusals.refuse_crowded(
                packet, self._routes.version, route, standing, found.expected
            )
        if link is not None and not route.is_preferred:
            if not has_waited:
                held = link.hold(now, packet, route, self._routes.version)
                if held is not None:
                    return held
            link.begin(now, packet)
        flow = _flow.Flow(packet.flow, standing, now)
        flow.is_idempotent = route.is_idempotent
        flow.is_routed = True
        flow.first = packet.data
        self._flows.add(flow)
        return self._opener.send(
            now, flow, standing, Reason.PLACED, self._routes.version
        )

    def _take_copy(
        self, now: float, packet: _packet.Packet, flow: _flow.Flow
    ) -> list[object]:
        patience = self._settings.open_patience_seconds
        if flow.is_open or now < flow.placed_at + patience:
            return self._drop(Reason.REPEATED)
        route = self._routes.get(packet.address)
        if route is None:
            return self._refuse_route(now, packet)
        return self._opener.take_copy(now, flow, packet, self._routes)

    def _carry(
        self, now: float, packet: _packet.Packet, flow: _flow.Flow
    ) -> list[object]:
        flow.seen_at = now
        standing = flow.standing
        if standing.health != _standing.Health.GOOD or standing.is_replaced:
            ended = self._ending.end_flow(now, flow, packet)
            if ended is not None:
                return ended
            self._suspects.recheck(standing)
        self._health.handle_packet(now, flow, packet)
        if packet.is_last:
            flow.is_closed = True
            _flow.end_work(flow, now)
            _flow.count_out(flow)
        return [_effect.Forward(standing.upstream, packet.data)]

    def _take_unknown(
        self, now: float, packet: _packet.Packet
    ) -> list[object]:
        if packet.token == 0:
            return self._drop(Reason.NO_TOKEN)
        return self._hold(now, packet, Reason.TOKEN_UNKNOWN)

    def _is_removed(self, now: float, flow: _flow.Flow) -> bool:
        """Tell whether a flow's route is there no more.

        One that was never known here may be too new for this instance:
        whoever opened the flow knew it.
        """
        if not self.is_ready:
            return False
        return flow.is_routed or self._certainty.is_certain(now)

    def _refuse_route(
        self, now: float, packet: _packet.Packet
    ) -> list[object]:
        if not self._certainty.is_certain(now):
            return self._drop(Reason.ROUTE_UNKNOWN)
        return self._refuse(packet, Reason.NO_ROUTE)

    def _refuse(self, packet: _packet.Packet, reason: str) -> list[object]:
        return self._refusals.refuse(packet, reason, self._routes.version)

    def _drop(self, reason: str) -> list[object]:
        self.tally.count(_tally.DROPPED, reason)
        return [_effect.Drop(reason)]

    def _hold(
        self, now: float, packet: _packet.Packet, reason: str
    ) -> list[object]:
        if not self._held.add(now, packet):
            return self._drop(reason)
        self.tally.count(_tally.HELD, reason)
        return []

    def _release_link(self, now: float, link: _link.LinkGate) -> list[object]:
        effects: list[object] = []
        for packet in link.release(now):
            route = self._routes.get(packet.address)
            if route is None:
                effects += self._refuse_route(now, packet)
            else:
                effects += self._place(now, packet, route, True)
        return effects + link.expire(now, self._routes.version)

    def _release(self, now: float) -> list[object]:
        if not self.is_ready:
            return []
        effects: list[object] = []
        for packet in self._held.release(now):
            effects += self.handle_packet(now, packet)
        return effects
