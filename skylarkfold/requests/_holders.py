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
COPIES = 3


class Holder(msgspec.Struct, frozen=True, array_like=True):
    """A process that votes on keys.

    :param name: the instance's name.
    :param zone: its availability zone.
    :param boot: a number that the process drew at its start.
    """

    name: str
    zone: str
    boot: int


class Generation(msgspec.Struct, frozen=True, array_like=True):
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
    previous: tuple[Generation, ...] = ()
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

    __slots__ = ('_bases', '_by_name', '_sets', 'label', 'value', 'version')

    def __init__(
        self,
        label: int,
        version: int,
        value: HolderValue,
        before: HolderList | None = None,
    ) -> None:
        self.label = label
        self.version = version
        self.value = value
        self._by_name = {each.name: each for each in value.current}
        self._bases = {
            number: generation.holders
            for generation in value.previous
            for number in generation.ranges
        }
        all_holders = [value.current]
        all_holders += [each.holders for each in value.previous]
        self._sets: dict[HolderSet, dict[int, HolderSet]] = {
            holders: before._derive(holders) if before is not None else {}
            for holders in all_holders
        }

    @property
    def is_joint(self) -> bool:
        """Tell whether a claim still needs a majority of two sets."""
        return bool(self.value.previous)

    def get_current(self, number: int) -> HolderSet:
        """Get the holders in force for a range of keys.

        :param number: the range.
        :returns: its holders.
        """
        return self._get(self.value.current, number)

    def get_previous(self, number: int) -> HolderSet:
        """Get the holders that a range of keys still depends on.

        :param number: the range.
        :returns: its holders before; none where all is taken over.
        """
        holders = self._bases.get(number)
        return () if holders is None else self._get(holders, number)

    def list_sets(self, number: int) -> tuple[HolderSet, ...]:
        """List the sets of which a claim needs a majority each.

        :param number: the range of the key.
        :returns: one set or two.
        """
        current = self.get_current(number)
        if number not in self._bases:
            return (current,)
        return (current, self.get_previous(number))

    def list_moved(self) -> list[int]:
        """List the ranges that are not taken over yet."""
        return sorted(self._bases)

    def list_identities(self) -> set[tuple[str, int]]:
        """List all processes that anything depends on, name and boot."""
        listed = {(each.name, each.boot) for each in self.value.current}
        for generation in self.value.previous:
            listed.update((one.name, one.boot) for one in generation.holders)
        return listed

    def change(self, wanted: HolderSet) -> HolderValue:
        """Make the value that brings other holders in force.

        :param wanted: the holders, sorted by name.
        :returns: the value; ranges that move depend on their holders of
            now, or on those that they depended on already.
        """
        after = HolderList(0, 0, HolderValue(wanted), self)
        kept = (
            Generation(
                each.holders,
                tuple(
                    number
                    for number in each.ranges
                    if self.get_previous(number) != after.get_current(number)
                ),
            )
            for each in self.value.previous
        )
        moved = tuple(
            number
            for number in range(RANGES)
            if number not in self._bases
            and self.get_current(number) != after.get_current(number)
        )
        added = Generation(self.value.current, moved)
        previous = _drop_empty((*kept, added))
        return HolderValue(wanted, previous, self.value.serial + 1)

    def settle(self, numbers: frozenset[int]) -> HolderValue:
        """Make the value in which ranges depend on no past holders.

        :param numbers: ranges that are taken over.
        :returns: the value.
        """
        kept = (
            Generation(
                each.holders,
                tuple(one for one in each.ranges if one not in numbers),
            )
            for each in self.value.previous
        )
        previous = _drop_empty(kept)
        return HolderValue(self.value.current, previous, self.value.serial + 1)

    def _get(self, holders: HolderSet, number: int) -> HolderSet:
        cache = self._sets[holders]
        found = cache.get(number)
        if found is None:
            found = cache[number] = choose_holders(holders, number)
        return found

    def _derive(self, holders: HolderSet) -> dict[int, HolderSet]:
        known = self._sets.get(holders)
        if known is not None:
            return known
        current = self.value.current
        return _derive(self._sets[current], current, holders)

    def find(self, name: str) -> Holder | None:
        """Find the holder in force under a name.

        :param name: the instance's name.
        :returns: the holder, or None.
        """
        return self._by_name.get(name)


def find_range(key: bytes) -> int:
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


def read_list(
    changed: platform_api.StoredObject, before: HolderList | None = None
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
    return HolderList(changed.revision, changed.version, value, before)


def read_gone(value: bytes) -> frozenset[str]:
    """Read the names that operators declare gone for good.

    :param value: a JSON list of instances' names.
    :returns: the names.
    :raises DecodeError: if the value is no list of names.
    """
    try:
        return _gone_decoder.decode(value)
    except msgspec.MsgspecError as error:
        raise errors.DecodeError(str(error)) from error


def write_value(value: HolderValue) -> bytes:
    """Give the stored form of a list.

    :param value: the holders.
    :returns: its bytes.
    """
    return _encoder.encode(value)


def choose_holders(holders: Iterable[Holder], number: int) -> HolderSet:
    """Choose the holders of a range by rendezvous hash, zones apart.

    :param holders: all holders.
    :param number: the range.
    :returns: at most ``COPIES`` of them; of one zone only where there
        are too few zones.
    """
    ranked = sorted(
        holders,
        key=lambda each: _score(number, each),
        reverse=True,
    )
    zones: set[str] = set()
    first = []
    rest = []
    for holder in ranked:
        (rest if holder.zone in zones else first).append(holder)
        zones.add(holder.zone)
    return tuple((first + rest)[:COPIES])


def _score(number: int, holder: Holder) -> int:
    return xxhash.xxh3_64_intdigest(f'{number}|{holder.name}'.encode())


def _drop_empty(
    generations: Iterable[Generation],
) -> tuple[Generation, ...]:
    return tuple(each for each in generations if each.ranges)


def _derive(
    cache: dict[int, HolderSet], before: HolderSet, after: HolderSet
) -> dict[int, HolderSet]:
    """Keep the sets that a change of the holders leaves as they are."""
    removed = set(before).difference(after)
    added = [each for each in after if each not in set(before)]
    known_zones = {each.zone for each in before}
    if any(each.zone not in known_zones for each in added):
        return {}
    return {
        number: chosen
        for number, chosen in cache.items()
        if not removed.intersection(chosen)
        and not _is_displaced(number, chosen, added)
    }


def _is_displaced(number: int, chosen: HolderSet, added: list[Holder]) -> bool:
    if not added:
        return False
    if len(chosen) < COPIES:
        return True
    least = min(_score(number, each) for each in chosen)
    return any(_score(number, each) >= least for each in added)
