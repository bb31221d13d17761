"""What a forwarding instance is told by its surroundings."""

from __future__ import annotations

from skylarkfold import affinity
from skylarkfold import relay


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
    :param affinity: limits of placement and health.
    :param relay: how the store's objects are followed.
    """

    __slots__ = (
        'affinity',
        'capacity',
        'grace_seconds',
        'name',
        'packet_address',
        'peer_address',
        'ready_address',
        'relay',
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
        affinity: affinity.AffinitySettings | None = None,
        relay: relay.RelaySettings | None = None,
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
        self.affinity = affinity or _make_affinity()
        self.relay = relay or _make_relay()

    def list_addresses(self) -> tuple[tuple[str, int], ...]:
        """List what sockets are bound to or opened towards."""
        return (
            self.packet_address,
            self.ready_address,
            self.peer_address,
            self.store_address,
        )


def _make_affinity() -> affinity.AffinitySettings:
    return affinity.AffinitySettings()


def _make_relay() -> relay.RelaySettings:
    return relay.RelaySettings()
