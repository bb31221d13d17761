"""An upstream whose flows carry its token."""

from __future__ import annotations

import xxhash

from skylarkfold import revision as revisions

# A token has 32 bits; 0 stands for a packet without one.
TOKEN_MASK = 0xFFFFFFFF


class Upstream:
    """One process that serves a service, from its start to its end.

    :param name: names the process; a later start may have the same name.
    :param number: the name as a number of up to 64 bits; its lowest 32 are the
        token.
    :param service: the service's name.
    :param address: the host and port for packets and probes.
    :param zone: its availability zone.
    :param slots: the number of requests that it runs at the same time.
    :param is_draining: whether it takes no new flows.
    :param warm_up_seconds: the remaining warm-up when the entry was written.
    :param created: the store revision at which its entry was created.
    :param revision: the store revision at which its entry was last written.
    :param born: the Unix time of its start in milliseconds by its own clock;
        None if not known. It is only compared for equality, as clocks differ
        and may be set back.
    :param sequence: how often its process had written its entry by then.
    :ivar incarnation: a 32-bit identifier of this start, the same on all
        instances.
    """

    __slots__ = (
        'address',
        'born',
        'created',
        'incarnation',
        'is_draining',
        'name',
        'number',
        'revision',
        'sequence',
        'service',
        'slots',
        'warm_up_seconds',
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
        warm_up_seconds: float = 0.0,
        created: revisions.Revision = revisions.ZERO,
        revision: revisions.Revision = revisions.ZERO,
        born: int | None = None,
        sequence: int = 0,
    ) -> None:
        self.sequence = sequence
        self.name = name
        self.number = number
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.is_draining = is_draining
        self.warm_up_seconds = warm_up_seconds
        self.created = created
        self.revision = revision
        self.born = born
        self.incarnation = self._compute_incarnation()

    @property
    def token(self) -> int:
        """The token that the packets of its flows carry."""
        return self.number & TOKEN_MASK

    def is_same_start(self, other: Upstream) -> bool:
        """Return whether two entries are of the same start of the process.

        A process changes neither its address nor its service.

        :param other: another entry of the same name.
        :returns: whether start time, service and address are equal.
        """
        return (self.born, self.service, self.address) == (
            other.born,
            other.service,
            other.address,
        )

    def _compute_incarnation(self) -> int:
        if self.born is None:
            return self.token
        start = f'{self.number}|{self.born}'
        return xxhash.xxh32_intdigest(start.encode())

    def __repr__(self) -> str:
        return f'Upstream({self.name!r}, {self.service!r})'
