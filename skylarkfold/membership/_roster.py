"""All facts that an instance knows."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from skylarkfold import member
from skylarkfold.membership import _messages

_State = member.MemberState
_RANKS = {
    _State.JOINING: 0,
    _State.ALIVE: 1,
    _State.SUSPECT: 1,
    _State.LEAVING: 2,
    _State.DEAD: 3,
    _State.LEFT: 4,
}
_GONE = (_State.DEAD, _State.LEFT)


def is_gone(fact: _messages.MemberUpdate) -> bool:
    """Tell whether a fact says that its instance is no more."""
    return fact.state in _GONE


def takes_traffic(fact: _messages.MemberUpdate) -> bool:
    """Tell whether an instance is neither joining nor gone."""
    return not is_gone(fact) and fact.state is not _State.JOINING


def rank(fact: _messages.MemberUpdate) -> tuple[int, int, bool]:
    """Order the facts of one instance; the highest counts."""
    return (fact.incarnation, _RANKS[fact.state], fact.is_suspect)


class Roster:
    """The latest fact of each instance, merged in any order."""

    __slots__ = (
        '_digests',
        '_facts',
        '_gone',
        '_live_zones',
        '_taking',
        '_versions',
        '_zones',
    )

    def __init__(self) -> None:
        self._facts: dict[str, _messages.MemberUpdate] = {}
        self._zones: dict[str, dict[str, _messages.MemberUpdate]] = {}
        self._gone: dict[str, float] = {}
        self._digests: dict[str, int] = {}
        self._live_zones: list[str] | None = None
        self._taking: set[str] | None = None
        self._versions: dict[str, int] = {}

    def get(self, name: str) -> _messages.MemberUpdate | None:
        """Find an instance's fact."""
        return self._facts.get(name)

    def list_facts(self) -> Iterable[_messages.MemberUpdate]:
        """List all facts, those of gone members included."""
        return self._facts.values()

    def list_zone(self, zone: str) -> list[_messages.MemberUpdate]:
        """List a zone's facts in a fixed order."""
        found = self._zones.get(zone, {})
        return [found[name] for name in sorted(found)]

    def list_zones(self) -> list[str]:
        """List the zones of all members that are not gone, sorted."""
        if self._live_zones is None:
            self._live_zones = sorted(
                zone
                for zone, facts in self._zones.items()
                if not all(map(is_gone, facts.values()))
            )
        return self._live_zones

    def list_all_zones(self) -> list[str]:
        """List the zones of all members, gone ones included, sorted."""
        return sorted(self._zones)

    def get_version(self, zone: str) -> int:
        """Find a number that rises with each change of a zone's facts."""
        return self._versions.get(zone, 0)

    def list_taking(self) -> set[str]:
        """List the zones that have members which take traffic."""
        if self._taking is None:
            self._taking = {
                fact.zone
                for fact in self._facts.values()
                if takes_traffic(fact)
            }
        return self._taking

    def merge(self, fact: _messages.MemberUpdate, now: float) -> bool:
        """Keep a fact if it is later than what is known.

        :param fact: the fact.
        :param now: the time in seconds.
        :returns: whether it was later.
        """
        known = self._facts.get(fact.name)
        if known is not None and rank(fact) <= rank(known):
            return False
        self.put(fact, now)
        return True

    def put(self, fact: _messages.MemberUpdate, now: float) -> None:
        """Keep a fact whatever is known, for the instance's own.

        :param fact: the fact.
        :param now: the time in seconds.
        """
        known = self._facts.get(fact.name)
        if known is not None and known.zone != fact.zone:
            self.drop(fact.name)
        self._facts[fact.name] = fact
        self._zones.setdefault(fact.zone, {})[fact.name] = fact
        if known is None or not _is_same(fact, known):
            self._forget_digests(fact.zone)
        if is_gone(fact):
            self._gone.setdefault(fact.name, now)
        else:
            self._gone.pop(fact.name, None)

    def drop(self, name: str) -> None:
        """Forget an instance."""
        fact = self._facts.pop(name)
        del self._zones[fact.zone][name]
        if not self._zones[fact.zone]:
            del self._zones[fact.zone]
        self._gone.pop(name, None)
        self._forget_digests(fact.zone)

    def expire(self, before: float) -> None:
        """Forget the instances that are gone since long.

        :param before: the time in seconds before which they went.
        """
        for name, since in list(self._gone.items()):
            if since < before:
                self.drop(name)

    def compute_digest(self, zone: str) -> int:
        """Compute a digest of a zone's members that are not gone.

        :param zone: the zone.
        :returns: 32 bits, equal on instances that agree.
        """
        digest = self._digests.get(zone)
        if digest is None:
            texts = [
                f'{each.name}|{each.incarnation}|{each.state}'
                for each in self.list_zone(zone)
                if not is_gone(each)
            ]
            digest = xxhash.xxh32_intdigest('\n'.join(texts).encode())
            self._digests[zone] = digest
        return digest

    def compute_whole_digest(self) -> int:
        """Compute a digest of all members that are not gone."""
        digest = self._digests.get('')
        if digest is None:
            parts = [
                f'{zone}|{self.compute_digest(zone)}'
                for zone in self.list_zones()
            ]
            digest = xxhash.xxh32_intdigest('\n'.join(parts).encode())
            self._digests[''] = digest
        return digest

    def _forget_digests(self, zone: str) -> None:
        self._digests.pop(zone, None)
        self._digests.pop('', None)
        self._live_zones = None
        self._taking = None
        self._versions[zone] = self.get_version(zone) + 1


def _is_same(
    fact: _messages.MemberUpdate, known: _messages.MemberUpdate
) -> bool:
    """Tell whether two facts differ in nothing but the revision."""
    where = (fact.zone, fact.region, fact.address)
    return where == (known.zone, known.region, known.address) and (
        rank(fact) == rank(known)
    )
