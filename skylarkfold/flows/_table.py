"""Bucket tables: which upstream a part of a service's flows belongs to.

A flow's hash names its bucket. A bucket is *closed* (all its flows go to
its unpinned upstream), *preparing* (the same, but every instance asks the
bucket's home) or *open*: a flow goes where it is pinned, a new one to the
target or, where the target is free, to the upstream that the load favours,
and one without a pin to the unpinned upstream.
"""

from __future__ import annotations

from collections.abc import Iterable
import enum
import heapq

import msgspec

from skylarkfold import endpoint
from skylarkfold import errors
from skylarkfold.flows import _settings
from skylarkfold import service as service_module

PATH_PREFIX = '/tables/'
BY_LOAD = -1
NO_UPSTREAM = -1


class BucketState(enum.IntEnum):
    """How flows of a bucket find their upstream."""

    CLOSED = 0
    PREPARING = 1
    OPEN = 2


class TableUpstream(msgspec.Struct, frozen=True, array_like=True):
    """An upstream as a table remembers it.

    The address is kept so that flows reach an upstream which the
    configuration in force here does not know yet or no longer.
    """

    name: str
    address: str
    zone: str


class BucketTable(msgspec.Struct, frozen=True, array_like=True):
    """A service's buckets.

    :param upstreams: all upstreams since the table's beginning; their
        indexes never change.
    :param dead: indexes of upstreams whose flows are released.
    :param states: a :class:`BucketState` for each bucket.
    :param unpinned: for each bucket the index of the upstream of flows
        without a pin.
    :param targets: for each bucket the index of the upstream of new
        flows, or ``FREE``.
    :param serial: how often the table has been changed; of two tables the
        one with the higher serial is the later one. The version that the
        store counts goes back when the store does. 0 in tables that were
        written before there was one: their version stands for it.
    """

    upstreams: list[TableUpstream]
    dead: list[int]
    states: list[int]
    unpinned: list[int]
    targets: list[int]
    serial: int = 0

    def find_index(self, name: str) -> int:
        """Find an upstream's index.

        :param name: the upstream's name.
        :returns: its index, or ``NO_UPSTREAM``.
        """
        for index, upstream in enumerate(self.upstreams):
            if upstream.name == name:
                return index
        return NO_UPSTREAM

    def count_balanced(self) -> int:
        """Count the buckets whose new flows are placed by load."""
        closed = BucketState.CLOSED
        return sum(
            target == BY_LOAD and state != closed
            for state, target in zip(self.states, self.targets)
        )


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(BucketTable)


def build_path(service_name: str) -> str:
    """Tell where a service's table is stored.

    :param service_name: the service's name.
    :returns: the object's path.
    """
    return f'{PATH_PREFIX}{service_name}'


def encode(table: BucketTable) -> bytes:
    """Encode a table for the platform.

    :param table: the table.
    :returns: the object's value.
    """
    return _encoder.encode(table)


def decode(value: bytes) -> BucketTable:
    """Decode and check a table.

    :param value: the object's value.
    :returns: the table.
    :raises DecodeError: if it is no table or does not fit together.
    """
    try:
        table = _decoder.decode(value)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.DecodeError(str(error)) from error
    _check(table)
    return table


def _check(table: BucketTable) -> None:
    if table.serial < 0:
        raise errors.DecodeError(f'serial {table.serial}')
    count = len(table.states)
    if count == 0 or count & (count - 1):
        raise errors.DecodeError(f'{count} buckets are no power of two')
    if len(table.unpinned) != count or len(table.targets) != count:
        raise errors.DecodeError('bucket columns differ in length')
    indexes = {*table.unpinned, *table.targets, *table.dead}
    if min(indexes) < BY_LOAD or max(indexes) >= len(table.upstreams):
        raise errors.DecodeError('an index names no upstream')
    if not set(table.states) <= set(BucketState):
        raise errors.DecodeError('unknown bucket state')
    for upstream in table.upstreams:
        _check_address(upstream.address)


def _check_address(address: str) -> None:
    try:
        endpoint.parse_endpoint(address)
    except ValueError as error:
        raise errors.DecodeError(str(error)) from error


def list_eligible(
    service: service_module.Service, dead: Iterable[str] = ()
) -> list[service_module.Upstream]:
    """List the upstreams that may be given new flows.

    :param service: the service.
    :param dead: names of upstreams that are known to be dead.
    :returns: upstreams that take new work; where none does, all that are
        not dead, for a drain of all of them can't be meant.
    """
    alive = [each for each in service.upstreams if each.name not in dead]
    return [each for each in alive if each.takes_new_work] or alive


def apportion(weights: dict[str, float], count: int) -> dict[str, int]:
    """Divide a number of buckets by weight, exactly.

    :param weights: each upstream's weight, by name.
    :param count: how many buckets there are.
    :returns: whole shares that add up to ``count``, by the method of the
        largest remainder; ties go by name.
    """
    total = sum(weights.values())
    if total <= 0:
        weights = dict.fromkeys(weights, 1.0)
        total = float(len(weights))
    exact = {name: count * each / total for name, each in weights.items()}
    shares = {name: int(each) for name, each in exact.items()}
    rest = count - sum(shares.values())
    remainders = sorted(
        exact, key=lambda name: (shares[name] - exact[name], name)
    )
    for name in remainders[:rest]:
        shares[name] += 1
    return shares


def describe_upstream(upstream: service_module.Upstream) -> TableUpstream:
    """Describe an upstream for the table.

    :param upstream: an upstream of the configuration.
    :returns: what the table remembers of it.
    """
    return TableUpstream(upstream.name, str(upstream.address), upstream.zone)


def build_initial(
    service: service_module.Service, settings: _settings.FlowSettings
) -> BucketTable:
    """Build a new service's table, alike on all instances.

    :param service: the service's first configuration.
    :param settings: the flow settings.
    :returns: a table whose buckets are divided by weight and interleaved.
    """
    count = settings.bucket_count
    balanced_count = count_balanced(service, settings)
    eligible = list_eligible(service)
    owners = list(_interleave_owners(service, eligible, count))
    states = [BucketState.CLOSED] * count
    targets = list(owners)
    for bucket in spread_evenly(balanced_count, count):
        states[bucket] = BucketState.OPEN
        targets[bucket] = BY_LOAD
    return BucketTable(
        upstreams=[describe_upstream(each) for each in service.upstreams],
        dead=[],
        states=[int(state) for state in states],
        unpinned=owners,
        targets=targets,
    )


def count_balanced(
    service: service_module.Service, settings: _settings.FlowSettings
) -> int:
    """Tell how many buckets of a service place new flows by load.

    :param service: the service.
    :param settings: the flow settings.
    :returns: a number of buckets, 0 where continuity is preferred.
    """
    if service.preference is not service_module.Preference.BALANCE:
        return 0
    if len(service.upstreams) < 2:
        return 0
    return int(settings.bucket_count * settings.balance_free_share)


def spread_evenly(part: int, count: int) -> list[int]:
    """Pick buckets at even distances.

    :param part: how many to pick.
    :param count: how many there are.
    :returns: their numbers, rising.
    """
    return [number * count // part for number in range(part)]


def _interleave_owners(
    service: service_module.Service,
    eligible: list[service_module.Upstream],
    count: int,
) -> Iterable[int]:
    if not eligible:
        return [NO_UPSTREAM] * count
    names = [each.name for each in service.upstreams]
    weights = {each.name: each.weight for each in eligible}
    shares = apportion(weights, count)
    queue = [
        ((number + 0.5) / share, names.index(name))
        for name, share in shares.items()
        for number in range(share)
    ]
    heapq.heapify(queue)
    return [heapq.heappop(queue)[1] for _ in range(count)]
