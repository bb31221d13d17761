"""The settings that identify an instance."""

from __future__ import annotations

import dataclasses

from skylarkfold import endpoint


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceSettings:
    """The identity and addresses of one instance.

    :param name: unique among instances that run at the same time.
    :param zone: its availability zone.
    :param region: its region.
    :param peer_address: the address that accepts streams from peers.
    :param bind_host: the address to bind for callers' traffic; empty to
        bind each service's own address.
    """

    name: str
    zone: str
    region: str
    peer_address: endpoint.Endpoint
    bind_host: str = ''
