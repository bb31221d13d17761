"""Services and their upstreams, as the configuration describes them."""

from __future__ import annotations

import dataclasses
import enum

from skylarkfold import endpoint


class Preference(enum.StrEnum):
    """The goal for which a service uses its control budget."""

    CONTINUITY = 'continuity'
    BALANCE = 'balance'


class UpstreamState(enum.StrEnum):
    """The administrative state of an upstream, set by operators."""

    ACTIVE = 'active'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One back-end process of a service.

    :param name: its name, which is unique within the service and never
        reused for another process.
    :param address: its address for datagrams and streams.
    :param zone: the availability zone that it runs in.
    :param request_port: its HTTP port on the same host; 0 for none.
    :param slots: the number of requests that it runs concurrently.
    :param connections: the number of concurrent flows that it supports.
    :param weight: its share of new work relative to the other upstreams.
    :param state: its administrative state.
    """

    name: str
    address: endpoint.Endpoint
    zone: str
    request_port: int = 0
    slots: int = 2
    connections: int = 2000
    weight: float = 1.0
    state: UpstreamState = UpstreamState.ACTIVE

    @property
    def takes_new_work(self) -> bool:
        """Whether it may be given new flows and requests."""
        return self.state is UpstreamState.ACTIVE and self.weight > 0


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service: an address that callers use, and its upstreams.

    :param name: its name, which is unique in the whole system.
    :param team: the team whose subtree defines it.
    :param address: the address that callers send datagrams and streams to.
    :param upstreams: all upstreams, sorted by name.
    :param request_port: its HTTP port on the same host; 0 for none.
    :param preference: the goal for which the control budget is used.
    :param flow_idle_seconds: the idle time after which a flow has ended.
    :param first_datagram: the prefix of the first datagram of a flow; empty
        if the protocol does not mark it.
    """

    name: str
    team: str
    address: endpoint.Endpoint
    upstreams: tuple[Upstream, ...]
    request_port: int = 0
    preference: Preference = Preference.CONTINUITY
    flow_idle_seconds: float = 60.0
    first_datagram: bytes = b''

    def get_upstream(self, name: str) -> Upstream | None:
        """Find an upstream by name.

        :param name: the upstream's name.
        :returns: the upstream; None if the service has none of that name.
        """
        for upstream in self.upstreams:
            if upstream.name == name:
                return upstream
        return None
