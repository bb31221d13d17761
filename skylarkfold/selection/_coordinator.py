"""Choice of the instance that coordinates the slots of a service."""

from __future__ import annotations

import dataclasses

import xxhash


@dataclasses.dataclass(frozen=True, slots=True)
class Coordinator:
    """The coordinator of one service.

    :param name: the name of the instance.
    :param weight: its rendezvous hash for the service.
    :param version: the version of the set of owners that it was chosen
        from.
    """

    name: str
    weight: int
    version: int


class CoordinatorFinder:
    """Finds the coordinators of services by rendezvous hashing.

    All instances with the same set of owners find the same coordinator.
    The last change of the set is kept, so that after an instance joins or
    leaves, most services need at most one hash rather than one per owner.
    """

    __slots__ = ('_added', '_encoded', '_owners', '_removed', '_version')

    def __init__(self) -> None:
        self._added: tuple[str, ...] = ()
        self._encoded: dict[str, bytes] = {}
        self._owners: tuple[str, ...] = ()
        self._removed: frozenset[str] = frozenset()
        self._version = 0

    def update_owners(self, owners: tuple[str, ...]) -> None:
        """Replace the set of owners.

        :param owners: the instances that may be coordinators.
        """
        if owners is self._owners:
            return
        self._owners = owners
        new = frozenset(owners)
        if new == self._encoded.keys():
            return
        self._removed = frozenset(self._encoded.keys() - new)
        self._added = tuple(sorted(new - self._encoded.keys()))
        self._encoded = {name: name.encode() for name in sorted(new)}
        self._version += 1

    def find(
        self, service_number: int, previous: Coordinator | None
    ) -> Coordinator | None:
        """Find the coordinator of a service among the current owners.

        :param service_number: the service's number.
        :param previous: the last result of this method for the service.
        :returns: the coordinator, None if there are no owners.
        """
        if previous is not None and previous.version == self._version:
            return previous
        if not self._encoded:
            return None
        candidates = list(self._encoded)
        if self._is_previous_usable(previous):
            candidates = [previous.name, *self._added]
        weight, name = max(
            (self._compute_weight(service_number, each), each)
            for each in candidates
        )
        return Coordinator(name, weight, self._version)

    def _is_previous_usable(self, previous: Coordinator | None) -> bool:
        """Tell whether only added owners need comparing with the old one."""
        if previous is None or previous.version != self._version - 1:
            return False
        return previous.name not in self._removed

    def _compute_weight(self, service_number: int, owner: str) -> int:
        return xxhash.xxh3_64_intdigest(
            self._encoded[owner], seed=service_number
        )
