"""Which instances vote on a key: one list that the platform orders.

The list is one object. Its writes are conditional, so all instances agree
on one sequence of lists, and the store's revision labels each of them.
While the holders of a range still take over what those before them know,
a claim needs a majority of both.
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
    """A process that votes on keys.

    :param name: the instance's name.
    :param zone: its availability zone.
    :param boot: a number that the process drew at its start.
    """

    name: str
    zone: str
    boot_id: int


class PreviousHolders(msgspec.Struct, frozen=True, array_like=True):
    """Holders of the past that some ranges still depend on.

    :param holders: the holders, sorted by name.
    :param ranges: the ranges, sorted; each is in one generation at most.
    """

    holders: tuple[Holder, ...]
    ranges: tuple[int, ...]


class HolderValue(msgspec.Struct, frozen=True):
    """The stored form of the list.

    :param current: the holders in force, sorted by name.
    :param previous: those before them, for ranges not taken over yet.
    :param serial: how often the list has been changed; 0 in lists that were
        written before there was one.
    """

    current: tuple[Holder, ...]
    previous: tuple[PreviousHolders, ...] = ()
    serial: int = 0


HolderSet = tuple[Holder, ...]
_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(HolderValue)
_gone_decoder = msgspec.json.Decoder(frozenset[str])


class HolderList:
    """A version of the list.

    :param label: the store's revision of the object; rises.
    :param version: the object's own version, for a conditional write.
    :param value: the holders.
    :param before: the list known so far, whose sets are used again.
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
            range_number: generation.holders
            for generation in value.previous
            for range_number in generation.ranges
        }
        all_holders = [value.current]
        all_holders += [each.holders for each in value.previous]
        self._sets_by_holders: dict[HolderSet, dict[int, HolderSet]] = {
            holders: known._reuse_sets(holders) if known is not None else {}
            for holders in all_holders
        }

    @property
    def is_joint(self) -> bool:
        """Tell whether a claim still needs a majority of two sets."""
        return bool(self.value.previous)

    def get_current(self, range_number: int) -> HolderSet:
        """Get the holders in force for a range of keys.

        :param number: the range.
        :returns: its holders.
        """
        return self._get_holders(self.value.current, range_number)

    def get_previous(self, range_number: int) -> HolderSet:
        """Get the holders that a range of keys still depends on.

        :param number: the range.
        :returns: its holders before; none where all is taken over.
        """
        holders = self._previous_by_range.get(range_number)
        return (
            () if holders is None else self._get_holders(holders, range_number)
        )

    def list_sets(self, range_number: int) -> tuple[HolderSet, ...]:
        """List the sets of which a claim needs a majority each.

        :param number: the range of the key.
        :returns: one set or two.
        """
        current = self.get_current(range_number)
        if range_number not in self._previous_by_range:
            return (current,)
        return (current, self.get_previous(range_number))

    def list_pending(self) -> list[int]:
        """List the ranges that are not taken over yet."""
        return sorted(self._previous_by_range)

    def list_processes(self) -> set[tuple[str, int]]:
        """List all processes that anything depends on, name and boot."""
        listed = {(each.name, each.boot_id) for each in self.value.current}
        for generation in self.value.previous:
            listed.update(
                (one.name, one.boot_id) for one in generation.holders
            )
        return listed

    def build_replacement(self, holders: HolderSet) -> HolderValue:
        """Make the value that brings other holders in force.

        :param wanted: the holders, sorted by name.
        :returns: the value; ranges that move depend on their holders of
            now, or on those that they depended on already.
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

    def build_completion(self, numbers: frozenset[int]) -> HolderValue:
        """Make the value in which ranges depend on no past holders.

        :param numbers: ranges that are taken over.
        :returns: the value.
        """
        kept = (
            PreviousHolders(
                each.holders,
                tuple(one for one in each.ranges if one not in numbers),
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
        """Find the holder in force under a name.

        :param name: the instance's name.
        :returns: the holder, or None.
        """
        return self._by_name.get(name)


def compute_range(key: bytes) -> int:
    """Find the range of a key.

    :param key: the key's digest.
    :returns: a number from 0 to ``RANGES - 1``.
    """
    return int.from_bytes(key[:2], 'big') % RANGES


def count_majority(holders: HolderSet) -> int:
    """Count the votes that a claim needs in a set.

    :param holders: the set.
    :returns: more than half of it.
    """
    return len(holders) // 2 + 1


def decode_list(
    changed: platform_api.StoredObject, known: HolderList | None = None
) -> HolderList:
    """Read the stored list.

    :param changed: the object, not deleted.
    :param before: the list known so far.
    :returns: the list.
    :raises DecodeError: if the value is no list of holders.
    """
    try:
        value = _decoder.decode(changed.value)
    except msgspec.MsgspecError as error:
        raise errors.DecodeError(str(error)) from error
    return HolderList(changed.revision, changed.version, value, known)


def decode_gone(value: bytes) -> frozenset[str]:
    """Read the names that operators declare gone for good.

    :param value: a JSON list of instances' names.
    :returns: the names.
    :raises DecodeError: if the value is no list of names.
    """
    try:
        return _gone_decoder.decode(value)
    except msgspec.MsgspecError as error:
        raise errors.DecodeError(str(error)) from error


def encode_value(value: HolderValue) -> bytes:
    """Give the stored form of a list.

    :param value: the holders.
    :returns: its bytes.
    """
    return _encoder.encode(value)


def choose_holders(holders: Iterable[Holder], range_number: int) -> HolderSet:
    """Choose the holders of a range by rendezvous hash, zones apart.

    :param holders: all holders.
    :param number: the range.
    :returns: at most ``COPIES`` of them; of one zone only where there
        are too few zones.
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
    generations: Iterable[PreviousHolders],
) -> tuple[PreviousHolders, ...]:
    return tuple(each for each in generations if each.ranges)


def _keep_unchanged_sets(
    cache: dict[int, HolderSet], before: HolderSet, after: HolderSet
) -> dict[int, HolderSet]:
    """Keep the sets that a change of the holders leaves as they are."""
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
