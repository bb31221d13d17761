"""Which upstream a flow is bound to that its packets name."""

from __future__ import annotations

from skylarkfold.affinity import _directory
from skylarkfold.affinity import _flow
from skylarkfold.affinity import _health
from skylarkfold.affinity import _packet
from skylarkfold.affinity import _route
from skylarkfold.affinity import _tally


class Binding:
    """Binds flows to the upstreams of their tokens.

    :param directory: all upstreams.
    :param flows: the flows carried here.
    :param health: told of upstreams that are heard.
    :param tally: where durations are counted.
    """

    __slots__ = ('_directory', '_flows', '_health', '_tally')

    def __init__(
        self,
        directory: _directory.Directory,
        flows: _flow.FlowTable,
        health: _health.HealthWatch,
        tally: _tally.Tally,
    ) -> None:
        self._directory = directory
        self._flows = flows
        self._health = health
        self._tally = tally

    def bind(
        self,
        now: float,
        packet: _packet.Packet,
        flow: _flow.Flow | None,
        routes: _route.RouteTable,
    ) -> _flow.Flow | None:
        """Bind a flow to the upstream of its token.

        :param now: the time.
        :param packet: a packet of it.
        :param flow: the flow, None if it is not known here.
        :param routes: the routes in force.
        :returns: the flow, None where its upstream is not known.
        """
        if packet.token == 0:
            return flow
        standing = self._directory.find(packet.token)
        if standing is None:
            return None
        if flow is None:
            flow = _flow.Flow(packet.flow, standing, now)
            route = routes.get(packet.address)
            if route is not None:
                flow.is_idempotent = route.is_idempotent
            # Its former instance may have passed on a request.
            flow.acknowledged = packet.acknowledged
            flow.is_open = True
            if not self._flows.add(flow):
                return flow
            _flow.count_in(flow, standing)
            return flow
        if flow.standing.is_former:
            _flow.move(flow, standing, packet.acknowledged, now)
            return flow
        _flow.count_in(flow, standing)
        self.open(now, flow, packet)
        return flow

    def open(
        self, now: float, flow: _flow.Flow, packet: _packet.Packet
    ) -> None:
        """Take the packet with which a caller answers its upstream.

        :param now: the time.
        :param flow: its flow.
        :param packet: the packet.
        """
        opened = self._tally.histograms[_tally.OPEN_SECONDS]
        opened.observe(now - flow.begun_at)
        flow.is_open = True
        flow.first = b''
        # Its upstream's numbers begin anywhere.
        flow.acknowledged = packet.acknowledged
        self._health.note_opened(now, flow)


def is_bound(flow: _flow.Flow, packet: _packet.Packet) -> bool:
    """Tell whether a flow is bound to the upstream that a packet names.

    :param flow: the flow.
    :param packet: a packet of it.
    :returns: whether it is.
    """
    standing = flow.standing
    return packet.token == standing.upstream.token and not standing.is_former
