"""What a forwarding instance is told by its surroundings."""

from __future__ import annotations

from skylarkfold.forwarder import _own


class ForwarderSettings:
    """An instance's identity, addresses and limits.

    :param name: unique among instances that run at the same time.
    :param zone: its availability zone.
    :param packet_address: where it takes callers' packets.
    :param ready_address: where its readiness is asked for.
    :param peer_address: where it takes beacons and fetches; the port is
        the same on all instances.
    :param seeds: hosts where other instances may be found.
    :param store_address: the platform's store.
    :param capacity: what the machine has to spare; duties go to those
        first that have more of it.
    :param grace_seconds: how long a planned stop may take.
    :param own: what is not the platform's to say.
    """

    __slots__ = (
        'capacity',
        'grace_seconds',
        'name',
        'own',
        'packet_address',
        'peer_address',
        'ready_address',
        'seeds',
        'store_address',
        'zone',
    )

    def __init__(
        self,
        name: str,
        zone: str,
        packet_address: tuple[str, int],
        ready_address: tuple[str, int],
        peer_address: tuple[str, int],
        store_address: tuple[str, int],
        seeds: tuple[str, ...] = (),
        capacity: int = 0,
        grace_seconds: float = 6.0,
        own: _own.OwnSettings | None = None,
    ) -> None:
        self.name = name
        self.zone = zone
        self.packet_address = packet_address
        self.ready_address = ready_address
        self.peer_address = peer_address
        self.seeds = seeds
        self.store_address = store_address
        self.capacity = capacity
        self.grace_seconds = grace_seconds
        self.own = own or _own.OwnSettings()

    def list_addresses(self) -> tuple[tuple[str, int], ...]:
        """List what sockets are bound to or opened towards."""
        return (
            self.packet_address,
            self.ready_address,
            self.peer_address,
            self.store_address,
        )
