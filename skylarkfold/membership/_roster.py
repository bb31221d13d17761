"""Roster of all known instances."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from skylarkfold import member
from skylarkfold.membership import _messages

_State = member.MemberState
_STATE_PRECEDENCE = {
    _State.JOINING: 0,
    _State.ALIVE: 1,
    _State.SUSPECT: 1,
    _State.LEAVING: 2,
    _State.DEAD: 3,
    _State.LEFT: 4,
}
_GONE = (_State.DEAD, _State.LEFT)


def is_gone(update: _messages.MemberUpdate) -> bool:
    """Return whether the instance is dead or has left."""
    return update.state in _GONE


def takes_traffic(update: _messages.MemberUpdate) -> bool:
    """Return whether the instance is neither joining nor gone."""
    return not is_gone(update) and update.state is not _State.JOINING


def get_precedence(update: _messages.MemberUpdate) -> tuple[int, int, bool]:
    """Return the sort key of an update: the highest of a member wins."""
    return (
        update.incarnation,
        _STATE_PRECEDENCE[update.state],
        update.is_suspect,
    )


class Roster:
    """The latest update of each member; updates may arrive in any order."""

    __slots__ = (
        '_digests',
        '_gone_since',
        '_live_zones',
        '_serving_zones',
        '_updates',
        '_updates_by_zone',
        '_zone_versions',
    )

    def __init__(self) -> None:
        self._updates: dict[str, _messages.MemberUpdate] = {}
        self._updates_by_zone: dict[
            str, dict[str, _messages.MemberUpdate]
        ] = {}
        self._gone_since: dict[str, float] = {}
        self._digests: dict[str, int] = {}
        self._live_zones: list[str] | None = None
        self._serving_zones: set[str] | None = None
        self._zone_versions: dict[str, int] = {}

    def get(self, name: str) -> _messages.MemberUpdate | None:
        """Return the latest update of an instance, None if unknown."""
        return self._updates.get(name)

    def list_updates(self) -> Iterable[_messages.MemberUpdate]:
        """List the updates of all members, including those that are gone."""
        return self._updates.values()

    def list_zone_updates(self, zone: str) -> list[_messages.MemberUpdate]:
        """List the updates of a zone's members, sorted by name."""
        updates = self._updates_by_zone.get(zone, {})
        return [updates[name] for name in sorted(updates)]

    def list_live_zones(self) -> list[str]:
        """List the zones that have members that are not gone, sorted."""
        if self._live_zones is None:
            self._live_zones = sorted(
                zone
                for zone, updates in self._updates_by_zone.items()
                if not all(map(is_gone, updates.values()))
            )
        return self._live_zones

    def list_all_zones(self) -> list[str]:
        """List the zones of all members, including gone ones, sorted."""
        return sorted(self._updates_by_zone)

    def get_zone_version(self, zone: str) -> int:
        """Return a zone's version, which rises with each change in it."""
        return self._zone_versions.get(zone, 0)

    def list_serving_zones(self) -> set[str]:
        """List the zones that have members that take traffic."""
        if self._serving_zones is None:
            self._serving_zones = {
                update.zone
                for update in self._updates.values()
                if takes_traffic(update)
            }
        return self._serving_zones

    def merge(self, update: _messages.MemberUpdate, now: float) -> bool:
        """Store an update if it is newer than the known one.

        :param update: the update.
        :param now: the time in seconds.
        :returns: whether it was newer.
        """
        known = self._updates.get(update.name)
        if known is not None and get_precedence(update) <= get_precedence(
            known
        ):
            return False
        self.put(update, now)
        return True

    def put(self, update: _messages.MemberUpdate, now: float) -> None:
        """Store an update without comparing it to the known one.

        :param update: the update.
        :param now: the time in seconds.
        """
        known = self._updates.get(update.name)
        if known is not None and known.zone != update.zone:
            self.remove(update.name)
        self._updates[update.name] = update
        self._updates_by_zone.setdefault(update.zone, {})[update.name] = update
        if known is None or not _is_same_except_revision(update, known):
            self._invalidate_caches(update.zone)
        if is_gone(update):
            self._gone_since.setdefault(update.name, now)
        else:
            self._gone_since.pop(update.name, None)

    def remove(self, name: str) -> None:
        """Remove an instance."""
        update = self._updates.pop(name)
        del self._updates_by_zone[update.zone][name]
        if not self._updates_by_zone[update.zone]:
            del self._updates_by_zone[update.zone]
        self._gone_since.pop(name, None)
        self._invalidate_caches(update.zone)

    def expire(self, cutoff: float) -> None:
        """Remove the instances that have been gone since before a cutoff.

        :param cutoff: the time in seconds.
        """
        for name, since in list(self._gone_since.items()):
            if since < cutoff:
                self.remove(name)

    def compute_zone_digest(self, zone: str) -> int:
        """Compute a digest of a zone's members that are not gone.

        :param zone: the zone.
        :returns: 32 bits, equal on instances that know the same members.
        """
        digest = self._digests.get(zone)
        if digest is None:
            texts = [
                f'{each.name}|{each.incarnation}|{each.state}'
                for each in self.list_zone_updates(zone)
                if not is_gone(each)
            ]
            digest = xxhash.xxh32_intdigest('\n'.join(texts).encode())
            self._digests[zone] = digest
        return digest

    def compute_full_digest(self) -> int:
        """Compute a digest of all members that are not gone."""
        digest = self._digests.get('')
        if digest is None:
            parts = [
                f'{zone}|{self.compute_zone_digest(zone)}'
                for zone in self.list_live_zones()
            ]
            digest = xxhash.xxh32_intdigest('\n'.join(parts).encode())
            self._digests[''] = digest
        return digest

    def _invalidate_caches(self, zone: str) -> None:
        self._digests.pop(zone, None)
        self._digests.pop('', None)
        self._live_zones = None
        self._serving_zones = None
        self._zone_versions[zone] = self.get_zone_version(zone) + 1


def _is_same_except_revision(
    update: _messages.MemberUpdate, known: _messages.MemberUpdate
) -> bool:
    """Return whether two updates differ at most in the revision."""
    where = (update.zone, update.region, update.address)
    return where == (known.zone, known.region, known.address) and (
        get_precedence(update) == get_precedence(known)
    )
