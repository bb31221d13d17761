"""An upstream whose flows carry its token."""

from __future__ import annotations

# A token has 32 bits; 0 stands for a packet without one.
TOKEN_MASK = 0xFFFFFFFF


class Upstream:
    """One process that serves a service, from its start to its end.

    :param name: names this process alone; a restart has another one.
    :param number: the same as a number of up to 64 bits; its lowest 32
        are the token.
    :param service: the service's name.
    :param address: host and port where it takes packets and probes.
    :param zone: its availability zone.
    :param slots: requests that it runs at the same time.
    :param is_draining: whether it takes no new flow.
    :param slow_seconds: how much longer it was slow from its start when
        that was said.
    :param created: the store's revision at which its entry was created.
    """

    __slots__ = (
        'address',
        'created',
        'is_draining',
        'name',
        'number',
        'service',
        'slots',
        'slow_seconds',
        'zone',
    )

    def __init__(
        self,
        name: str,
        number: int,
        service: str,
        address: tuple[str, int],
        zone: str,
        slots: int = 1,
        is_draining: bool = False,
        slow_seconds: float = 0.0,
        created: int = 0,
    ) -> None:
        self.name = name
        self.number = number
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.is_draining = is_draining
        self.slow_seconds = slow_seconds
        self.created = created

    @property
    def token(self) -> int:
        """What the packets of its flows carry."""
        return self.number & TOKEN_MASK

    def __repr__(self) -> str:
        return f'Upstream({self.name!r}, {self.service!r})'
