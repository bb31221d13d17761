"""No policy: each flow to an upstream by its hash, nothing refused."""

from __future__ import annotations

from collections.abc import Container
import zlib

from skylarkfold import affinity
from skylarkfold.measure import _overload_fleet


class RandomPolicy(_overload_fleet.Policy):
    """Builds decisions that look at no load and no health."""

    def build(self, zone: str) -> 'RandomCore':
        """Build the decisions of one instance."""
        return RandomCore()


class RandomCore:
    """Places flows by hash and forwards by token."""

    def __init__(self) -> None:
        self._upstreams: dict[int, affinity.Upstream] = {}
        self._evacuations: Container[str] = ()

    def set_routes(self, now: float, routes: affinity.RouteTable) -> list:
        """Take routes; all lead to the one service."""
        return []

    def set_upstreams(
        self, now: float, present: list[affinity.Upstream]
    ) -> list:
        """Take the list of all upstreams."""
        for each in present:
            self._upstreams[each.token] = each
        return []

    def set_evacuations(self, now: float, evacuations: Container[str]) -> list:
        """Take which zones are evacuated."""
        self._evacuations = evacuations
        return []

    def note_confirmed(self, now: float) -> None:
        """Take that the routes are up to date."""

    def handle_load(self, now: float, source: str, flows: dict) -> None:
        """Take what others carry."""

    def list_flows(self) -> dict[int, int]:
        """List what this instance carries."""
        return {}

    def tick(self, now: float) -> list:
        """Do what is due."""
        return []

    def handle_packet(self, now: float, packet: affinity.Packet) -> list:
        """Decide on one packet of a caller."""
        upstream = self._upstreams.get(packet.token)
        if packet.is_first:
            ready = [
                each
                for each in self._upstreams.values()
                if not each.is_draining and each.zone not in self._evacuations
            ]
            upstream = ready[zlib.crc32(packet.flow[::-1]) % len(ready)]
        if upstream is None:
            return []
        return [affinity.Forward(upstream, packet.data)]
