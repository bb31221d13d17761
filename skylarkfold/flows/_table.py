"""Bucket tables, which map hash buckets of flows to upstreams.

A flow's hash determines its bucket. A bucket has an *unpinned* upstream, which
gets flows without a pin, and a target for new flows. It is in one of these
states:

- *closed*: all flows go to the unpinned upstream;
- *preparing*: the same, but every instance asks the bucket's home;
- *open*: a flow with a pin goes to its pinned upstream, a new flow to the
  target (or to an upstream chosen by load, if the target is ``BY_LOAD``), and
  any other flow to the unpinned upstream.
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
    """How the upstream of a bucket's flows is found; see the module."""

    CLOSED = 0
    PREPARING = 1
    OPEN = 2


class TableUpstream(msgspec.Struct, frozen=True, array_like=True):
    """An upstream of a table.

    With its address, flows can be forwarded to it even if this instance's
    configuration does not have it yet or any more.
    """

    name: str
    address: str
    zone: str


class BucketTable(msgspec.Struct, frozen=True, array_like=True):
    """The bucket table of a service.

    :param upstreams: all upstreams that the service has ever had; their
        indexes never change.
    :param dead: the indexes of dead upstreams, whose flows are reassigned.
    :param states: the :class:`BucketState` of each bucket.
    :param unpinned: the index of each bucket's upstream for flows without a
        pin.
    :param targets: the index of each bucket's upstream for new flows, or
        ``BY_LOAD``.
    :param serial: the number of changes of the table; the higher serial is
        newer. Unlike the store's version it does not go back when the store
        is restored from an older copy. 0 in tables of an older format, for
        which the version is used instead.
    """

    upstreams: list[TableUpstream]
    dead: list[int]
    states: list[int]
    unpinned: list[int]
    targets: list[int]
    serial: int = 0

    def find_index(self, name: str) -> int:
        """Return the index of an upstream.

        :param name: the upstream's name.
        :returns: the index, or ``NO_UPSTREAM``.
        """
        for index, upstream in enumerate(self.upstreams):
            if upstream.name == name:
                return index
        return NO_UPSTREAM

    def count_balanced(self) -> int:
        """Return the number of buckets that place new flows by load."""
        closed = BucketState.CLOSED
        return sum(
            target == BY_LOAD and state != closed
            for state, target in zip(self.states, self.targets)
        )


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(BucketTable)


def build_path(service_name: str) -> str:
    """Return the path at which a service's table is stored.

    :param service_name: the service's name.
    :returns: the object's path.
    """
    return f'{PATH_PREFIX}{service_name}'


def encode(table: BucketTable) -> bytes:
    """Encode a table for the platform's store.

    :param table: the table.
    :returns: the object's value.
    """
    return _encoder.encode(table)


def decode(value: bytes) -> BucketTable:
    """Decode and validate a table.

    :param value: the object's value.
    :returns: the table.
    :raises DecodeError: if the value is not a valid table.
    """
    try:
        table = _decoder.decode(value)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.DecodeError(str(error)) from error
    _check(table)
    return table


def _check(table: BucketTable) -> None:
    if table.serial < 0:
        raise errors.DecodeError(f'negative serial {table.serial}')
    count = len(table.states)
    if count == 0 or count & (count - 1):
        raise errors.DecodeError(f'{count} buckets are not a power of two')
    if len(table.unpinned) != count or len(table.targets) != count:
        raise errors.DecodeError('bucket columns differ in length')
    indexes = {*table.unpinned, *table.targets, *table.dead}
    if min(indexes) < BY_LOAD or max(indexes) >= len(table.upstreams):
        raise errors.DecodeError('upstream index is out of range')
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
    """List the upstreams that may get new flows.

    :param service: the service.
    :param dead: the names of dead upstreams.
    :returns: the live upstreams that take new work; if there is none, all
        live upstreams, because draining them all can't be intended.
    """
    alive = [each for each in service.upstreams if each.name not in dead]
    return [each for each in alive if each.takes_new_work] or alive


def apportion(weights: dict[str, float], count: int) -> dict[str, int]:
    """Divide a number of buckets by weight.

    Uses the largest remainder method; ties are broken by name.

    :param weights: the weight of each upstream, by name.
    :param count: the number of buckets.
    :returns: the number of buckets of each upstream, by name; they add up to
        ``count``.
    """
    total = sum(weights.values())
    if total <= 0:
        weights = dict.fromkeys(weights, 1.0)
        total = float(len(weights))
    exact = {name: count * each / total for name, each in weights.items()}
    shares = {name: int(each) for name, each in exact.items()}
    remaining = count - sum(shares.values())
    remainders = sorted(
        exact, key=lambda name: (shares[name] - exact[name], name)
    )
    for name in remainders[:remaining]:
        shares[name] += 1
    return shares


def describe_upstream(upstream: service_module.Upstream) -> TableUpstream:
    """Convert a configured upstream to a table's upstream.

    :param upstream: the configured upstream.
    :returns: the table's upstream.
    """
    return TableUpstream(upstream.name, str(upstream.address), upstream.zone)


def build_initial(
    service: service_module.Service, settings: _settings.FlowSettings
) -> BucketTable:
    """Build the initial table of a service; the same on all instances.

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
    """Return how many buckets place new flows by load by default.

    :param service: the service.
    :param settings: the flow settings.
    :returns: the number of buckets; 0 if the service prefers continuity.
    """
    if service.preference is not service_module.Preference.BALANCE:
        return 0
    if len(service.upstreams) < 2:
        return 0
    return int(settings.bucket_count * settings.balance_free_share)


def spread_evenly(part: int, count: int) -> list[int]:
    """Pick evenly spaced buckets.

    :param part: how many to pick.
    :param count: the number of buckets.
    :returns: the numbers of the picked buckets in ascending order.
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
