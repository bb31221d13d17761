"""The list of holders: which instances vote on the claims to a key.

Keys are hashed into ranges, and each range has up to three holders, which
follow from the list by rendezvous hashing. The list is one object of the
platform's store. Its writes are conditional, so all instances see the same
sequence of lists, identified by the store's revision. As in joint consensus,
a claim needs a majority of the previous holders as well until they have
transferred their votes on the range.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import xxhash

from skylarkfold import errors
from skylarkfold import platform_api

PATH = '/leases/requests/holders'
GONE_PATH = '/leases/requests/gone'
RANGES = 1024
HOLDERS_PER_RANGE = 3


class Holder(msgspec.Struct, frozen=True, array_like=True):
    """A process that votes on claims to keys.

    :param name: the instance's name.
    :param zone: its availability zone.
    :param boot_id: a number that identifies the process, drawn at its start.
    """

    name: str
    zone: str
    boot_id: int


class PreviousHolders(msgspec.Struct, frozen=True, array_like=True):
    """Former holders whose votes some ranges still depend on.

    :param holders: the holders, sorted by name.
    :param ranges: the ranges, sorted; no range is in two such groups.
    """

    holders: tuple[Holder, ...]
    ranges: tuple[int, ...]


class HolderValue(msgspec.Struct, frozen=True):
    """The stored form of the list.

    :param current: the present holders, sorted by name.
    :param previous: former holders, for ranges whose votes are not
        transferred yet.
    :param serial: the number of changes so far; 0 in lists that were written
        before this field existed.
    """

    current: tuple[Holder, ...]
    previous: tuple[PreviousHolders, ...] = ()
    serial: int = 0


HolderSet = tuple[Holder, ...]
_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(HolderValue)
_gone_decoder = msgspec.json.Decoder(frozenset[str])


class HolderList:
    """One version of the list, with the holders of each range.

    :param list_revision: the store's revision of the object; increases.
    :param version: the object's own version, for a conditional write.
    :param value: the holders.
    :param known: the list known so far; cached sets that the change leaves
        as they are get copied from it.
    """

    __slots__ = (
        '_by_name',
        '_previous_by_range',
        '_sets_by_holders',
        'list_revision',
        'value',
        'version',
    )

    def __init__(
        self,
        list_revision: int,
        version: int,
        value: HolderValue,
        known: HolderList | None = None,
    ) -> None:
        self.list_revision = list_revision
        self.version = version
        self.value = value
        self._by_name = {each.name: each for each in value.current}
        self._previous_by_range = {
            range_number: former.holders
            for former in value.previous
            for range_number in former.ranges
        }
        all_holders = [value.current]
        all_holders += [each.holders for each in value.previous]
        self._sets_by_holders: dict[HolderSet, dict[int, HolderSet]] = {
            holders: known._reuse_sets(holders) if known is not None else {}
            for holders in all_holders
        }

    @property
    def is_joint(self) -> bool:
        """Return whether claims to some ranges need two majorities."""
        return bool(self.value.previous)

    def get_current(self, range_number: int) -> HolderSet:
        """Return the present holders of a range of keys.

        :param range_number: the range.
        :returns: its holders.
        """
        return self._get_holders(self.value.current, range_number)

    def get_previous(self, range_number: int) -> HolderSet:
        """Return the former holders that a range still depends on.

        :param range_number: the range.
        :returns: the holders; none if their votes are transferred.
        """
        holders = self._previous_by_range.get(range_number)
        return (
            () if holders is None else self._get_holders(holders, range_number)
        )

    def list_sets(self, range_number: int) -> tuple[HolderSet, ...]:
        """List the sets of holders of which a claim needs a majority each.

        :param range_number: the range of the key.
        :returns: the present holders and, where needed, the former ones.
        """
        current = self.get_current(range_number)
        if range_number not in self._previous_by_range:
            return (current,)
        return (current, self.get_previous(range_number))

    def list_pending(self) -> list[int]:
        """List the ranges whose votes are not transferred yet."""
        return sorted(self._previous_by_range)

    def list_processes(self) -> set[tuple[str, int]]:
        """List the name and boot ID of all present and former holders."""
        listed = {(each.name, each.boot_id) for each in self.value.current}
        for former in self.value.previous:
            listed.update(
                (holder.name, holder.boot_id) for holder in former.holders
            )
        return listed

    def build_replacement(self, holders: HolderSet) -> HolderValue:
        """Build the next value of the list with other holders.

        :param holders: the new holders, sorted by name.
        :returns: the value. A range that moves depends on its holders of
            this list, or on the former ones if it already does.
        """
        after = HolderList(0, 0, HolderValue(holders), self)
        kept = (
            PreviousHolders(
                each.holders,
                tuple(
                    range_number
                    for range_number in each.ranges
                    if self.get_previous(range_number)
                    != after.get_current(range_number)
                ),
            )
            for each in self.value.previous
        )
        pending = tuple(
            range_number
            for range_number in range(RANGES)
            if range_number not in self._previous_by_range
            and self.get_current(range_number)
            != after.get_current(range_number)
        )
        added = PreviousHolders(self.value.current, pending)
        previous = _drop_empty((*kept, added))
        return HolderValue(holders, previous, self.value.serial + 1)

    def build_completion(self, transferred: frozenset[int]) -> HolderValue:
        """Build the next value of the list after votes were transferred.

        :param transferred: the ranges whose votes are transferred.
        :returns: the value, in which they depend on no former holders.
        """
        kept = (
            PreviousHolders(
                each.holders,
                tuple(
                    range_number
                    for range_number in each.ranges
                    if range_number not in transferred
                ),
            )
            for each in self.value.previous
        )
        previous = _drop_empty(kept)
        return HolderValue(self.value.current, previous, self.value.serial + 1)

    def _get_holders(self, holders: HolderSet, range_number: int) -> HolderSet:
        cache = self._sets_by_holders[holders]
        found = cache.get(range_number)
        if found is None:
            found = cache[range_number] = choose_holders(holders, range_number)
        return found

    def _reuse_sets(self, holders: HolderSet) -> dict[int, HolderSet]:
        known = self._sets_by_holders.get(holders)
        if known is not None:
            return known
        current = self.value.current
        return _keep_unchanged_sets(
            self._sets_by_holders[current], current, holders
        )

    def find(self, name: str) -> Holder | None:
        """Return the present holder of a name.

        :param name: the instance's name.
        :returns: the holder, or None.
        """
        return self._by_name.get(name)


def compute_range(key: bytes) -> int:
    """Return the range of a key.

    :param key: the key's digest.
    :returns: a number from 0 to ``RANGES - 1``.
    """
    return int.from_bytes(key[:2], 'big') % RANGES


def count_majority(holders: HolderSet) -> int:
    """Return the number of votes that a claim needs in a set of holders.

    :param holders: the set.
    :returns: the smallest majority.
    """
    return len(holders) // 2 + 1


def decode_list(
    changed: platform_api.StoredObject, known: HolderList | None = None
) -> HolderList:
    """Decode the stored list.

    :param changed: the object, not deleted.
    :param known: the list known so far, see :class:`HolderList`.
    :returns: the list.
    :raises DecodeError: if the value is not a list of holders.
    """
    try:
        value = _decoder.decode(changed.value)
    except msgspec.MsgspecError as error:
        raise errors.DecodeError(str(error)) from error
    return HolderList(changed.revision, changed.version, value, known)


def decode_gone(value: bytes) -> frozenset[str]:
    """Decode the names of instances that operators declare gone for good.

    :param value: a JSON list of instances' names.
    :returns: the names.
    :raises DecodeError: if the value is not a list of names.
    """
    try:
        return _gone_decoder.decode(value)
    except msgspec.MsgspecError as error:
        raise errors.DecodeError(str(error)) from error


def encode_value(value: HolderValue) -> bytes:
    """Encode a list for the store.

    :param value: the list.
    :returns: its JSON form.
    """
    return _encoder.encode(value)


def choose_holders(holders: Iterable[Holder], range_number: int) -> HolderSet:
    """Choose the holders of a range by rendezvous hashing.

    :param holders: all holders.
    :param range_number: the range.
    :returns: at most ``HOLDERS_PER_RANGE`` of them, from different zones as
        far as there are enough zones.
    """
    ranked = sorted(
        holders,
        key=lambda each: _score(range_number, each),
        reverse=True,
    )
    zones: set[str] = set()
    first = []
    rest = []
    for holder in ranked:
        (rest if holder.zone in zones else first).append(holder)
        zones.add(holder.zone)
    return tuple((first + rest)[:HOLDERS_PER_RANGE])


def _score(range_number: int, holder: Holder) -> int:
    return xxhash.xxh3_64_intdigest(f'{range_number}|{holder.name}'.encode())


def _drop_empty(
    groups: Iterable[PreviousHolders],
) -> tuple[PreviousHolders, ...]:
    return tuple(each for each in groups if each.ranges)


def _keep_unchanged_sets(
    cache: dict[int, HolderSet], before: HolderSet, after: HolderSet
) -> dict[int, HolderSet]:
    """Return the cached sets that a change of the holders does not affect."""
    removed = set(before).difference(after)
    added = [each for each in after if each not in set(before)]
    known_zones = {each.zone for each in before}
    if any(each.zone not in known_zones for each in added):
        return {}
    return {
        range_number: chosen
        for range_number, chosen in cache.items()
        if not removed.intersection(chosen)
        and not _is_displaced(range_number, chosen, added)
    }


def _is_displaced(
    range_number: int, chosen: HolderSet, added: list[Holder]
) -> bool:
    if not added:
        return False
    if len(chosen) < HOLDERS_PER_RANGE:
        return True
    lowest_score = min(_score(range_number, each) for each in chosen)
    return any(_score(range_number, each) >= lowest_score for each in added)
