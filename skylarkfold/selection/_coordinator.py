"""Which instance is the home of a service."""

from __future__ import annotations

import dataclasses

import xxhash


@dataclasses.dataclass(frozen=True, slots=True)
class Home:
    """The home of one service among the owners of one version.

    :param name: the instance.
    :param weight: its rendezvous weight for the service.
    :param version: of the owners among which it was found.
    """

    name: str
    weight: int
    version: int


class HomeFinder:
    """Finds homes by rendezvous hash, alike on every instance.

    It remembers how the owners changed last, so that one instance's
    coming or going costs a hash or none for each service instead of one
    for each owner.
    """

    __slots__ = ('_added', '_encoded', '_given', '_removed', '_version')

    def __init__(self) -> None:
        self._added: tuple[str, ...] = ()
        self._encoded: dict[str, bytes] = {}
        self._given: tuple[str, ...] = ()
        self._removed: frozenset[str] = frozenset()
        self._version = 0

    def follow(self, owners: tuple[str, ...]) -> None:
        """Take the newest owners.

        :param owners: the members that may own state.
        """
        if owners is self._given:
            return
        self._given = owners
        new = frozenset(owners)
        if new == self._encoded.keys():
            return
        self._removed = frozenset(self._encoded.keys() - new)
        self._added = tuple(sorted(new - self._encoded.keys()))
        self._encoded = {name: name.encode() for name in sorted(new)}
        self._version += 1

    def find(self, service_number: int, known: Home | None) -> Home | None:
        """Find a service's home among the newest owners.

        :param service_number: the service's number.
        :param known: what this method returned for the service before.
        :returns: the home, None without owners.
        """
        if known is not None and known.version == self._version:
            return known
        if not self._encoded:
            return None
        candidates = list(self._encoded)
        if self._is_recent(known):
            candidates = [known.name, *self._added]
        weight, name = max(
            (self._weigh(service_number, each), each) for each in candidates
        )
        return Home(name, weight, self._version)

    def _is_recent(self, known: Home | None) -> bool:
        if known is None or known.version != self._version - 1:
            return False
        return known.name not in self._removed

    def _weigh(self, service_number: int, owner: str) -> int:
        return xxhash.xxh3_64_intdigest(
            self._encoded[owner], seed=service_number
        )
