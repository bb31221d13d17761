"""Binding of flows to the upstreams of their tokens."""

from __future__ import annotations

from skylarkfold.affinity import _directory
from skylarkfold.affinity import _flow
from skylarkfold.affinity import _health
from skylarkfold.affinity import _packet
from skylarkfold.affinity import _route


class FlowBinder:
    """Binds flows to the upstreams that their tokens name.

    :param directory: all upstreams.
    :param flows: the flows that this instance carries.
    :param health: notified of upstreams that have answered.
    """

    __slots__ = ('_directory', '_flows', '_health')

    def __init__(
        self,
        directory: _directory.Directory,
        flows: _flow.FlowTable,
        health: _health.HealthMonitor,
    ) -> None:
        self._directory = directory
        self._flows = flows
        self._health = health

    def bind(
        self,
        now: float,
        packet: _packet.Packet,
        flow: _flow.Flow | None,
        routes: _route.RouteTable,
    ) -> _flow.Flow | None:
        """Bind the flow of a packet to the upstream of its token.

        :param now: the time.
        :param packet: the packet.
        :param flow: the flow, None if it is not known here.
        :param routes: the active routes.
        :returns: the flow, None if its upstream is not known.
        """
        if packet.token == 0:
            return flow
        state = self._directory.find_by_token(packet.token)
        if state is None:
            return None
        if flow is None:
            flow = _flow.Flow(packet.flow, state, now)
            route = routes.get(packet.address)
            if route is not None:
                flow.is_idempotent = route.is_idempotent
            # The instance that carried it before may have forwarded a request.
            flow.acknowledged = packet.acknowledged
            flow.is_open = True
            if not self._flows.add(flow):
                return flow
            _flow.bind_flow(flow, state)
            return flow
        if flow.state.is_superseded:
            _flow.rebind_flow(flow, state, packet.acknowledged, now)
            return flow
        _flow.bind_flow(flow, state)
        self._health.record_open(now, flow, packet)
        return flow


def is_bound(flow: _flow.Flow, packet: _packet.Packet) -> bool:
    """Return whether a flow is bound to the upstream that a packet names.

    :param flow: the flow.
    :param packet: a packet of the flow.
    :returns: whether it is.
    """
    state = flow.state
    return packet.token == state.upstream.token and not state.is_superseded
